/**
 * Client of a plain service over HTTP, which forwards requests unmodified except for connection-specific headers.
 */
import type {Dispatcher} from 'undici';
import type {PlainEvent, PlainRequest, PlainService} from './endpoint.js';
import {PlatformError} from './errors.js';
import {callEmpty, handleFailure, sendRequest} from './http.js';

/** Maximum wait for the headers and between two chunks of the body, in milliseconds; the caller's deadline is shorter. */
const forwardTimeoutMs = 60_000;

/** Maximum time for a health check, in milliseconds. */
const checkTimeoutMs = 1000;

/** Largest status of a health check that shows a service that is up; a redirect does. */
const maxUpStatus = 399;

/** Connection-specific (hop-by-hop) headers, which must not be forwarded (RFC 9110, section 7.6.1). */
const connectionHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect']);

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Lists the headers that the sender has declared as connection-specific. */
function listNamedHeaders(headers: Headers): string[] {
	return String(headers.connection ?? '').split(',').map(name => name.trim().toLowerCase());
}

/** Separator of several cookies of one response: a cookie may contain a comma, but no line break (RFC 6265, section 3). */
const cookieSeparator = '\n';

function joinValues(name: string, values: readonly string[]): string {
	return values.join(name === 'set-cookie' ? cookieSeparator : ', ');
}

/** Splits the `set-cookie` headers that `listEndToEndHeaders` has joined, because they can't be sent as one header. */
export function splitCookies(headers: Readonly<Record<string, string>>): Record<string, string | string[]> {
	const cookies = headers['set-cookie'];
	return cookies === undefined ? {...headers} : {...headers, 'set-cookie': cookies.split(cookieSeparator)};
}

/** Returns the headers that are forwarded with a request or a response. */
export function listEndToEndHeaders(headers: Headers): Record<string, string> {
	const named = new Set(listNamedHeaders(headers));
	const kept: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		const lowerName = name.toLowerCase();
		if (value !== undefined && !connectionHeaders.has(lowerName) && !named.has(lowerName)) {
			kept[name] = Array.isArray(value) ? joinValues(lowerName, value) : value;
		}
	}

	return kept;
}

export class HttpPlainService implements PlainService {
	readonly #origin: string;

	constructor(origin: string) {
		this.#origin = origin;
	}

	async * forward({method, path, headers, body}: PlainRequest, signal: AbortSignal): AsyncIterable<PlainEvent> {
		if (!path.startsWith('/')) {
			throw new PlatformError('refused', 'expected a path that begins with a slash');
		}

		const response = await sendRequest(this.#origin, {
			method,
			path,
			headers: listEndToEndHeaders(headers),
			body,
			signal,
			headersTimeout: forwardTimeoutMs,
			bodyTimeout: forwardTimeoutMs,
		});
		try {
			yield {kind: 'head', status: response.statusCode, headers: listEndToEndHeaders(response.headers)};
			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				yield {kind: 'body', chunk};
			}
		} catch (error) {
			throw handleFailure(this.#origin, error);
		} finally {
			// If the consumer stops early, an unread body would occupy the connection. Destroying a body that was read to its end has no effect.
			response.body.destroy();
		}

		yield {kind: 'finished'};
	}

	async check(): Promise<boolean> {
		try {
			await callEmpty({
				origin: this.#origin, method: 'GET', path: '/healthz', timeoutMs: checkTimeoutMs, maxStatus: maxUpStatus,
			});
			return true;
		} catch (error) {
			// A service without this path is up if it answers with an error of the request instead of its own.
			return error instanceof PlatformError && (error.code === 'missing' || error.code === 'refused');
		}
	}
}
