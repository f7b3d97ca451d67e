/**
 * Calls to the platform over HTTP, with each failure turned into what is known of its effect.
 */
import {request as send, type Dispatcher} from 'undici';
import {describeError} from '@wasabiusher/shared';
import {PlatformError, type PlatformErrorCode} from './errors.js';

/** Longest wait for an answer of the platform, in milliseconds. */
const defaultTimeoutMs = 3000;

/** Errors of connecting: nothing was sent. */
const connectCodes = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Statuses with a meaning of their own. */
const statusCodes = new Map<number, PlatformErrorCode>([
	[409, 'conflict'],
	[412, 'fenced'],
	[422, 'refused'],
	[429, 'limited'],
	[503, 'unavailable'],
]);

export type HttpCall = {
	origin: string;
	method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	path: string;
	/** Sent as JSON unless it is bytes. */
	body?: unknown;
	timeoutMs?: number;
	signal?: AbortSignal;
};

/** Tells by the error whether anything was sent. */
export function toPlatformError(error: unknown): PlatformError {
	if (error instanceof PlatformError) {
		return error;
	}

	const code = error instanceof Error && 'code' in error ? String(error.code) : '';
	return new PlatformError(connectCodes.has(code) ? 'unavailable' : 'unknown', describeError(error), error);
}

function encodeBody(body: unknown): Pick<Dispatcher.RequestOptions, 'body' | 'headers'> {
	if (body === undefined) {
		return {};
	}

	return body instanceof Uint8Array
		? {body, headers: {'content-type': 'application/octet-stream'}}
		: {body: JSON.stringify(body), headers: {'content-type': 'application/json'}};
}

/**
 * Makes a call and returns the open answer.
 *
 * @throws {PlatformError} `unavailable` if nothing was sent, `unknown` if that is not certain
 */
export async function callHttp({origin, method, path, body, timeoutMs = defaultTimeoutMs, signal}: HttpCall): Promise<Dispatcher.ResponseData> {
	let response: Dispatcher.ResponseData;
	try {
		response = await send(new URL(path, origin), {
			method, ...encodeBody(body), headersTimeout: timeoutMs, bodyTimeout: timeoutMs, signal,
		});
	} catch (error) {
		throw toPlatformError(error);
	}

	if (response.statusCode >= 400 && response.statusCode !== 404) {
		const detail = await response.body.text().catch(() => '');
		throw new PlatformError(statusCodes.get(response.statusCode) ?? 'unknown', `${method} ${path}: status ${response.statusCode} ${detail.slice(0, 200)}`);
	}

	return response;
}

/** Makes a call and returns its JSON; undefined when there is nothing at the path. */
export async function callJson(call: HttpCall): Promise<unknown> {
	const response = await callHttp(call);
	try {
		if (response.statusCode === 404) {
			await response.body.dump();
			return undefined;
		}

		return await response.body.json();
	} catch (error) {
		throw toPlatformError(error);
	}
}
