/**
 * HTTP calls whose failures are classified by whether the call may have had an effect.
 */
import {finished} from 'node:stream/promises';
import type {Dispatcher} from 'undici';
import type {z} from 'zod';
import {connections} from './connections.js';
import {PlatformError, type PlatformErrorCode} from './errors.js';
import {DeadlineError, isSilence, toPlatformError} from './failures.js';

/** Default timeout of a call, in milliseconds. */
const defaultTimeoutMs = 3000;

/** Largest status of a success; smaller ones than 200 are informational, and no final status. */
export const maxSuccessStatus = 299;

/** Maximum length of the text of an error response that is kept, in characters. */
const maxDetailLength = 200;

/**
 * Error codes of the platform's and the engines' HTTP statuses. Any other status that is no success is `unknown`: a 500, a 502 of a proxy or a redirect
 * may be sent after the effect.
 */
const statusCodes: ReadonlyMap<number, PlatformErrorCode> = new Map([
	[400, 'refused'],
	[401, 'refused'],
	[403, 'refused'],
	[404, 'missing'],
	[405, 'refused'],
	[409, 'conflict'],
	[412, 'fenced'],
	[413, 'refused'],
	[422, 'refused'],
	[429, 'limited'],
	[503, 'unavailable'],
]);

export type HttpCall = {
	origin: string;
	method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	/** Begins with a slash. */
	path: string;
	/** Sent as is if it is a `Uint8Array`, otherwise as JSON. */
	body?: unknown;
	/** Largest status that counts as a success; 299 by default. */
	maxStatus?: number;
	/** Maximum wait for the headers of the response, and between two chunks of its body, in milliseconds. */
	timeoutMs?: number;
	signal?: AbortSignal;
};

/** A call whose complete response must be received within `timeoutMs`. */
export type WholeCall = Omit<HttpCall, 'signal'>;

function encodeBody(body: unknown): Pick<Dispatcher.RequestOptions, 'body' | 'headers'> {
	if (body === undefined) {
		return {};
	}

	return body instanceof Uint8Array
		? {body, headers: {'content-type': 'application/octet-stream'}}
		: {body: JSON.stringify(body), headers: {'content-type': 'application/json'}};
}

export type SentRequest = Omit<Dispatcher.RequestOptions, 'signal'> & {signal?: AbortSignal};

/** Sends a request. If its connection goes silent, all open connections of the origin are retired. */
export async function sendRequest(origin: string, options: SentRequest): Promise<Dispatcher.ResponseData> {
	if (options.signal?.aborted) {
		throw new PlatformError('unavailable', 'the call was aborted before it was sent');
	}

	try {
		return await connections.send(origin, options);
	} catch (error) {
		throw handleFailure(origin, error);
	}
}

/** Converts a failure to a `PlatformError`, and retires the connections of the origin if a connection went silent. */
export function handleFailure(origin: string, error: unknown): PlatformError {
	if (isSilence(error)) {
		connections.retire(origin);
	}

	return toPlatformError(error);
}

/**
 * Makes a call and returns its response with the unread body; the status is a success.
 *
 * @throws {PlatformError} by the status; `unavailable` if nothing was sent, `unknown` if that is not certain
 */
export async function callHttp({origin, method, path, body, maxStatus = maxSuccessStatus, timeoutMs = defaultTimeoutMs, signal}: HttpCall): Promise<Dispatcher.ResponseData> {
	const response = await sendRequest(origin, {
		method, path, ...encodeBody(body), headersTimeout: timeoutMs, bodyTimeout: timeoutMs, signal,
	});
	if (response.statusCode > maxStatus) {
		const detail = await response.body.text().catch(() => '');
		const code = statusCodes.get(response.statusCode) ?? 'unknown';
		throw new PlatformError(code, `${method} ${path}: status ${response.statusCode} ${detail.slice(0, maxDetailLength)}`);
	}

	return response;
}

/**
 * Makes a call and reads its complete response, all within `timeoutMs`.
 *
 * @param read - reads the content from the body
 */
async function callWhole<Content>(call: WholeCall, read: (body: Dispatcher.ResponseData['body']) => Promise<Content>): Promise<Content> {
	const {origin, timeoutMs = defaultTimeoutMs} = call;
	const deadline = new AbortController();
	const timer = setTimeout(() => {
		deadline.abort(new DeadlineError('deadline', `${call.method} ${call.path}: expected a complete response within ${timeoutMs} ms`));
	}, timeoutMs);
	try {
		const {body} = await callHttp({...call, signal: deadline.signal});
		return await read(body);
	} catch (error) {
		throw handleFailure(origin, error);
	} finally {
		clearTimeout(timer);
	}
}

/** Reads a body to its end and discards it; throws if it breaks off, which undici's `dump` does not. */
export async function discardBody(body: Dispatcher.ResponseData['body']): Promise<void> {
	body.resume();
	await finished(body);
}

/**
 * Makes a call and validates its JSON response.
 *
 * @throws {PlatformError} if the response does not match the schema: `invalid` for a read, `unknown` for a write, which may have taken effect
 */
export async function callJson<Schema extends z.ZodType>(schema: Schema, call: WholeCall): Promise<z.infer<Schema>> {
	const text = await callWhole(call, async body => body.text());
	return parseAnswer(schema, text, `${call.method} ${call.path}`, call.method === 'GET' ? 'invalid' : 'unknown');
}

/** Makes a call and discards the body of its response. */
export async function callEmpty(call: WholeCall): Promise<void> {
	await callWhole(call, discardBody);
}

/** Makes a call and returns the bytes of its response. */
export async function callBytes(call: WholeCall): Promise<Uint8Array> {
	return callWhole(call, async body => body.bytes());
}

/** Awaits a call; resolves to undefined if it throws `missing`. */
export async function orUndefined<Content>(call: Promise<Content>): Promise<Content | undefined> {
	try {
		return await call;
	} catch (error) {
		if (error instanceof PlatformError && error.code === 'missing') {
			return undefined;
		}

		throw error;
	}
}

/** Parses and validates the text of a response; throws `PlatformError` with the given code. */
export function parseAnswer<Schema extends z.ZodType>(schema: Schema, text: string, subject: string, code: PlatformErrorCode): z.infer<Schema> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		throw new PlatformError(code, `${subject}: expected a JSON response`, error);
	}

	const parsed = schema.safeParse(value);
	if (!parsed.success) {
		const issue = parsed.error.issues[0]!;
		throw new PlatformError(code, `${subject}: response field ${issue.path.join('.')}: ${issue.message}`, parsed.error);
	}

	return parsed.data;
}
