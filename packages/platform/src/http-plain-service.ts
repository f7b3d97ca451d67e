/**
 * A plain service over HTTP: forwarded as it was sent.
 */
import {request as send, type Dispatcher} from 'undici';
import type {PlainEvent, PlainRequest, PlainService} from './endpoint.js';
import {toPlatformError} from './http.js';

/** Longest wait for headers and between pieces of a body, in milliseconds; the caller's deadline is shorter. */
const forwardTimeoutMs = 60_000;

/** Headers that belong to one connection, not to the request (RFC 9110, section 7.6.1). */
const connectionHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect']);

/** Headers that travel with a request or an answer. */
export function listEndToEndHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
	const kept: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !connectionHeaders.has(name.toLowerCase())) {
			kept[name] = Array.isArray(value) ? value.join(', ') : value;
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
		try {
			// Joined as text: resolved against the origin, a path that begins with two slashes would name another host.
			const response = await send(new URL(this.#origin + path), {
				method,
				headers: listEndToEndHeaders(headers),
				body,
				signal,
				headersTimeout: forwardTimeoutMs,
				bodyTimeout: forwardTimeoutMs,
			});
			yield {kind: 'head', status: response.statusCode, headers: listEndToEndHeaders(response.headers)};
			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				yield {kind: 'body', chunk};
			}

			yield {kind: 'finished'};
		} catch (error) {
			throw toPlatformError(error);
		}
	}

	async check(): Promise<boolean> {
		try {
			const {statusCode, body} = await send(new URL('/healthz', this.#origin), {headersTimeout: 1000, bodyTimeout: 1000});
			await body.dump();
			return statusCode < 500;
		} catch {
			return false;
		}
	}
}
