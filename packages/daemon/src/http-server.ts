/**
 * HTTP servers of all programs: polka for the routes, with bounded bodies and errors that end in an answer.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import polka, {type Request} from 'polka';
import {LayerError} from '@wasabiusher/shared';
import {closeServer, listen} from './listen.js';

/** Longest time for a request's headers, in milliseconds; slow senders do not hold a connection longer. */
const headersTimeoutMs = 10_000;

/** Most open connections of one server; a process has some thousand file descriptors. */
const maxConnections = 10_000;

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

/** A server with routes. */
export class HttpServer {
	readonly server: Server;
	readonly #routes = polka();
	readonly #onError: ErrorHandler;

	constructor(onError: ErrorHandler = answerPlainly) {
		this.#onError = onError;
		this.server = createServer({headersTimeout: headersTimeoutMs, connectionsCheckingInterval: 1000}, (request, response) => {
			// Polka adds the fields that it needs to node's request.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
			this.#routes.handler(request as Request, response);
		});
		this.server.maxConnections = maxConnections;
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

	/** Takes no new connections; resolves when the open exchanges have ended. */
	async close(): Promise<void> {
		await closeServer(this.server);
	}

	/** Ends all exchanges at once; for tests and stand-ins. */
	async kill(): Promise<void> {
		const closed = this.close();
		this.server.closeAllConnections();
		await closed;
	}

	async #handle(request: RoutedRequest, response: ServerResponse, handler: Handler): Promise<void> {
		const parameters = Object.fromEntries(Object.entries(request.params).map(([name, value]) => [name, String(value)]));
		const query = readQuery(request.originalUrl);
		const exchange = {
			request, response, parameters, query,
		};
		try {
			await handler(exchange);
		} catch (error) {
			this.#onError(error, exchange);
		}
	}
}

/** A request's target need not be a valid URL, so only what follows its question mark is looked at. */
function readQuery(target: string): URLSearchParams {
	const mark = target.indexOf('?');
	return new URLSearchParams(mark === -1 ? '' : target.slice(mark + 1));
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
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		// The connection must outlive a body that is too large, so that its sender can be told.
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
		throw new HttpError('too-large', `the body exceeds ${limitBytes} bytes`);
	}

	return Buffer.concat(chunks);
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
