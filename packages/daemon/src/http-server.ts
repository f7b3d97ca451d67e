/**
 * The HTTP server of all programs: routes by polka, limited body sizes, and a response for every error.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import polka, {type Request} from 'polka';
import {LayerError} from '@wasabiusher/shared';
import {Connections} from './connections.js';
import {listen} from './listen.js';

/** Timeout for the headers of a request, in milliseconds, so that slow senders do not occupy connections. */
const headersTimeoutMs = 10_000;

/** Timeout for a complete request, in milliseconds; enough for 8 MiB at 2.3 Mbit/s. */
const requestTimeoutMs = 30_000;

/** Maximum number of open connections of one server; the file descriptors of a process are limited to some thousand. */
const maxConnections = 10_000;

/**
 * Time after the start of the shutdown in which connections without an exchange may still deliver a request in transit, in milliseconds; equals
 * many round trips between data centres.
 */
const closeGraceMs = 1000;

/** Interval of the check for slow senders, in milliseconds. */
const checkMs = 1000;

/** Maximum size of a request body, in bytes. */
export const maxBodyBytes = 8 * 1024 * 1024;

/**
 * - `too-large`: the body exceeds the limit
 * - `malformed`: the body is not JSON
 * - `cut-off`: the request was aborted before its body was complete
 */
export type HttpErrorCode = 'too-large' | 'malformed' | 'cut-off';

/** An error of a request that can't be read. */
export class HttpError extends LayerError<HttpErrorCode> {
	override readonly name = 'HttpError';
}

/** The argument of a route's handler. */
export type Exchange = {
	request: IncomingMessage;
	response: ServerResponse;
	/** Decoded path parameters by their names in the route's pattern. */
	parameters: Record<string, string>;
	query: URLSearchParams;
};

type RoutedRequest = IncomingMessage & {params: Readonly<Record<string, unknown>>; originalUrl: string};

export type Handler = (exchange: Exchange) => void | Promise<void>;

export type Method = 'get' | 'post' | 'put' | 'delete' | 'all';

/** Sends the response to an exchange whose handler has thrown; its headers may already have been sent. */
export type ErrorHandler = (error: unknown, exchange: Exchange) => void;

/** Limits of a server; times are in milliseconds. */
export type HttpLimits = {
	headersTimeoutMs: number;
	requestTimeoutMs: number;
	/** Interval of the check for slow senders. */
	checkMs: number;
	maxConnections: number;
	/** Time after the start of the shutdown in which connections without an exchange are kept open. */
	closeGraceMs: number;
};

const defaultLimits: HttpLimits = {
	headersTimeoutMs, requestTimeoutMs, checkMs, maxConnections, closeGraceMs,
};

/** An HTTP server with routes. */
export class HttpServer {
	readonly server: Server;
	readonly #routes = polka();
	readonly #onError: ErrorHandler;
	readonly #limits: HttpLimits;
	readonly #connections: Connections;

	constructor(onError: ErrorHandler = sendPlainError, limits: Partial<HttpLimits> = {}) {
		this.#onError = onError;
		this.#limits = {...defaultLimits, ...limits};
		this.server = createServer({
			headersTimeout: this.#limits.headersTimeoutMs, requestTimeout: this.#limits.requestTimeoutMs, connectionsCheckingInterval: this.#limits.checkMs,
		}, (request, response) => {
			this.#route(request, response);
		});
		this.server.maxConnections = this.#limits.maxConnections;
		this.#connections = new Connections(this.server);
	}

	/** Adds a route; `:name` in the path is a parameter, a final `*` matches the rest of the path. */
	on(method: Method, path: string, handler: Handler): this {
		this.#routes[method](path, (request, response) => {
			void this.#handle(request, response, handler);
		});
		return this;
	}

	/** Listens on `ip:port`; resolves to the bound address. */
	async listen(address: string): Promise<string> {
		return listen(this.server, address);
	}

	/** Stops accepting connections and closes idle ones; resolves when the open exchanges have ended. */
	async close(): Promise<void> {
		await this.#connections.close(this.#limits.closeGraceMs, this.#limits.requestTimeoutMs);
	}

	/** Aborts all exchanges; for tests and stand-ins. */
	async kill(): Promise<void> {
		const closed = this.close();
		this.server.closeAllConnections();
		await closed;
	}

	#route(request: IncomingMessage, response: ServerResponse): void {
		try {
			// Polka adds the fields that it needs to the request of Node.js.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
			this.#routes.handler(request as Request, response);
		} catch (error) {
			this.#fail(new HttpError('malformed', 'the path can not be read', error), {
				request, response, parameters: {}, query: new URLSearchParams(),
			});
		}
	}

	async #handle(request: RoutedRequest, response: ServerResponse, handler: Handler): Promise<void> {
		const exchange: Exchange = {
			request, response, parameters: {}, query: new URLSearchParams(),
		};
		try {
			exchange.parameters = decodeParameters(request.params);
			exchange.query = readQuery(request.originalUrl);
			await handler(exchange);
		} catch (error) {
			this.#fail(error, exchange);
		}
	}

	#fail(error: unknown, exchange: Exchange): void {
		if (!exchange.request.complete && !exchange.response.headersSent) {
			// The remaining body is not read, so the connection can't be reused.
			exchange.response.setHeader('connection', 'close');
		}

		try {
			this.#onError(error, exchange);
		} catch {
			exchange.response.destroy();
		}
	}
}

function decodeParameters(encoded: Readonly<Record<string, unknown>>): Record<string, string> {
	try {
		return Object.fromEntries(Object.entries(encoded).map(([name, value]) => [name, decodeURIComponent(String(value))]));
	} catch (error) {
		throw new HttpError('malformed', 'the path is not encoded as expected', error);
	}
}

/** Parses the query without `URL`, which would treat a path that begins with `//` as a host. */
function readQuery(url: string): URLSearchParams {
	const mark = url.indexOf('?');
	return new URLSearchParams(mark === -1 ? '' : url.slice(mark));
}

function sendPlainError(error: unknown, {response}: Exchange): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	sendJson(response, 400, {detail: String(error)});
}

/** Reads a complete body; throws `HttpError`. */
export async function readBytes(request: IncomingMessage, limitBytes = maxBodyBytes): Promise<Uint8Array> {
	if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
		throw createTooLarge(limitBytes);
	}

	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		// The request is not destroyed when the loop ends early, so that the error response can still be sent.
		for await (const chunk of request.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			size += chunk.length;
			if (size > limitBytes) {
				break;
			}

			chunks.push(chunk);
		}
	} catch (error) {
		throw new HttpError('cut-off', 'the request ended before its body was whole', error);
	}

	if (size > limitBytes) {
		throw createTooLarge(limitBytes);
	}

	return Buffer.concat(chunks);
}

function createTooLarge(limitBytes: number): HttpError {
	return new HttpError('too-large', `the body exceeds ${limitBytes} bytes`);
}

/** Reads a JSON body; resolves to undefined if it is empty. Throws `HttpError`. */
export async function readJson(request: IncomingMessage, limitBytes = maxBodyBytes): Promise<unknown> {
	const bytes = await readBytes(request, limitBytes);
	if (bytes.length === 0) {
		return undefined;
	}

	try {
		return JSON.parse(Buffer.from(bytes).toString());
	} catch (error) {
		throw new HttpError('malformed', 'the body is not JSON', error);
	}
}

export function sendJson(response: ServerResponse, status: number, value: unknown, headers: Record<string, string> = {}): void {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(`${JSON.stringify(value)}\n`);
}
