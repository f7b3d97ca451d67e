/**
 * HTTP servers of all programs: polka for the routes, with bounded bodies and errors that end in an answer.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import polka, {type Request} from 'polka';
import {LayerError} from '@wasabiusher/shared';
import {Connections} from './connections.js';
import {listen} from './listen.js';

/** Longest time for a request's headers, in milliseconds; slow senders do not hold a connection longer. */
const headersTimeoutMs = 10_000;

/** Longest time for a whole request, in milliseconds; 8 MiB arrive in it at 2.3 Mbit/s. */
const requestTimeoutMs = 30_000;

/** Most open connections of one server; a process has some thousand file descriptors. */
const maxConnections = 10_000;

/**
 * On closing, time for a connection without an exchange to bring the request that may be on its way, in milliseconds;
 * many round trips between data centres.
 */
const closeGraceMs = 1000;

/** How often slow senders are looked for, in milliseconds. */
const checkMs = 1000;

/** Greatest body, in bytes. */
export const maxBodyBytes = 8 * 1024 * 1024;

/**
 * - `too-large`: the body exceeds the limit
 * - `malformed`: the body is not JSON
 * - `cut-off`: the sender went away before the body was whole
 */
export type HttpErrorCode = 'too-large' | 'malformed' | 'cut-off';

/** A request that can not be read. */
export class HttpError extends LayerError<HttpErrorCode> {
	override readonly name = 'HttpError';
}

/** What a route is given. */
export type Exchange = {
	request: IncomingMessage;
	response: ServerResponse;
	/** Parts of the path named in the route's pattern, decoded. */
	parameters: Record<string, string>;
	query: URLSearchParams;
};

type RoutedRequest = IncomingMessage & {params: Readonly<Record<string, unknown>>; originalUrl: string};

export type Handler = (exchange: Exchange) => void | Promise<void>;

export type Method = 'get' | 'post' | 'put' | 'delete' | 'all';

/** Answers an exchange whose handler has thrown; headers may have been sent already. */
export type ErrorHandler = (error: unknown, exchange: Exchange) => void;

/** Limits of a server; times in milliseconds. */
export type HttpLimits = {
	headersTimeoutMs: number;
	requestTimeoutMs: number;
	/** How often slow senders are looked for. */
	checkMs: number;
	maxConnections: number;
	/** On closing, how long a connection that has sent nothing is waited for. */
	closeGraceMs: number;
};

const defaultLimits: HttpLimits = {
	headersTimeoutMs, requestTimeoutMs, checkMs, maxConnections, closeGraceMs,
};

/** A server with routes. */
export class HttpServer {
	readonly server: Server;
	readonly #routes = polka();
	readonly #onError: ErrorHandler;
	readonly #limits: HttpLimits;
	readonly #connections: Connections;

	constructor(onError: ErrorHandler = answerPlainly, limits: Partial<HttpLimits> = {}) {
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

	/** Adds a route; `:name` in the path is a parameter, a final `*` matches the rest. */
	on(method: Method, path: string, handler: Handler): this {
		this.#routes[method](path, (request, response) => {
			void this.#handle(request, response, handler);
		});
		return this;
	}

	/** Listens on `ip:port`; resolves to the address in use. */
	async listen(address: string): Promise<string> {
		return listen(this.server, address);
	}

	/** Takes no new connections, ends idle ones; resolves when the open exchanges have ended. */
	async close(): Promise<void> {
		await this.#connections.close(this.#limits.closeGraceMs, this.#limits.requestTimeoutMs);
	}

	/** Ends all exchanges at once; for tests and stand-ins. */
	async kill(): Promise<void> {
		const closed = this.close();
		this.server.closeAllConnections();
		await closed;
	}

	#route(request: IncomingMessage, response: ServerResponse): void {
		try {
			// Polka adds the fields that it needs to node's request.
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
			// What is left of the body is not read, so the connection can't carry another request.
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

/** Not by `URL`: it takes a path that begins with `//` for a host. */
function readQuery(url: string): URLSearchParams {
	const mark = url.indexOf('?');
	return new URLSearchParams(mark === -1 ? '' : url.slice(mark));
}

function answerPlainly(error: unknown, {response}: Exchange): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	sendJson(response, 400, {detail: String(error)});
}

/** Reads a whole body; throws `HttpError`. */
export async function readBytes(request: IncomingMessage, limitBytes = maxBodyBytes): Promise<Uint8Array> {
	if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
		throw createTooLarge(limitBytes);
	}

	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		// The request is kept open on leaving early, so that the answer can tell why.
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

/** Reads a JSON body, undefined if it is empty; throws `HttpError`. */
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
