/**
 * A plain service over HTTP: forwarded as it was sent.
 */
import type {Dispatcher} from 'undici';
import type {PlainEvent, PlainRequest, PlainService} from './endpoint.js';
import {PlatformError} from './errors.js';
import {callEmpty, noteFailure, sendRequest} from './http.js';

/** Longest wait for headers and between pieces of a body, in milliseconds; the caller's deadline is shorter. */
const forwardTimeoutMs = 60_000;

/** Longest wait for a health check, in milliseconds. */
const checkTimeoutMs = 1000;

/** Headers that belong to one connection, not to the request (RFC 9110, section 7.6.1). */
const connectionHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect']);

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Headers that the sender has named as belonging to the connection. */
function listNamedHeaders(headers: Headers): string[] {
	return String(headers.connection ?? '').split(',').map(name => name.trim().toLowerCase());
}

/** Between several cookies of one answer: a comma may stand within one, a line end may not (RFC 6265, section 3). */
const cookieSeparator = '\n';

function joinValues(name: string, values: readonly string[]): string {
	return values.join(name === 'set-cookie' ? cookieSeparator : ', ');
}

/** Takes headers that `listEndToEndHeaders` has joined apart again, where they can't be sent as one. */
export function splitCookies(headers: Readonly<Record<string, string>>): Record<string, string | string[]> {
	const cookies = headers['set-cookie'];
	return cookies === undefined ? {...headers} : {...headers, 'set-cookie': cookies.split(cookieSeparator)};
}

/** Headers that travel with a request or an answer. */
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
			throw noteFailure(this.#origin, error);
		} finally {
			// Left after its head, the body would hold the connection; destroying a whole one changes nothing.
			response.body.destroy();
		}

		yield {kind: 'finished'};
	}

	async check(): Promise<boolean> {
		try {
			await callEmpty({
				origin: this.#origin, method: 'GET', path: '/healthz', timeoutMs: checkTimeoutMs,
			});
			return true;
		} catch (error) {
			// An answer that is no failure of the service's shows that it runs, even without such a path.
			return error instanceof PlatformError && (error.code === 'missing' || error.code === 'refused');
		}
	}
}
