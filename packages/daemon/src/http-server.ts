/**
 * The HTTP server of all programs: routes by polka, limited body sizes, and a response for every error.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import polka, {type Request} from 'polka';
import {Connections, type ClosedConnection} from './connections.js';
import type {ConnectionState} from './connection-table.js';
import {HttpError} from './http-error.js';
import {LingeringResponse} from './lingering-response.js';
import {listen} from './listen.js';
import {PacedRequest} from './paced-request.js';
import {MemoryBudget, type BudgetLimits} from './memory-budget.js';
import {
	continueIfExpected, hasBody, RequestBodies, type IncomingBody, type RefusalListener,
} from './request-bodies.js';

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

/** Memory for the bodies of a server whose settings name none, in bytes. */
export const defaultBudgetLimits: BudgetLimits = {totalBytes: 64 * 1_048_576, reservedBytes: 8 * 1_048_576, smallBytes: 65_536};

/** Most requests of one connection that are not answered; clients that wait for each answer have one. */
const maxPipelined = 4;

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
	maxPipelined: number;
	/** Time after the start of the shutdown in which connections without an exchange are kept open. */
	closeGraceMs: number;
};

/** Limits that differ from the defaults, and who is told of what they end. */
export type HttpServerSettings = Partial<HttpLimits> & {
	/** Memory for bodies, which several servers of a process may share. */
	budget?: MemoryBudget;
	onRefuse?: RefusalListener;
	onClose?(closed: ClosedConnection): void;
};

const defaultLimits: HttpLimits = {
	headersTimeoutMs, requestTimeoutMs, checkMs, maxConnections, maxPipelined, closeGraceMs,
};

/** The owner of the body of each request, and its response. */
const contexts = new WeakMap<IncomingMessage, {bodies: RequestBodies; response: ServerResponse}>();

/** An HTTP server with routes. */
export class HttpServer {
	readonly server: Server;
	readonly #routes: ReturnType<typeof polka>;
	readonly #onError: ErrorHandler;
	readonly #limits: HttpLimits;
	readonly #connections: Connections;
	readonly #bodies: RequestBodies;

	constructor(onError: ErrorHandler = sendPlainError, {budget = new MemoryBudget(defaultBudgetLimits), onRefuse, onClose, ...limits}: HttpServerSettings = {}) {
		this.#onError = onError;
		this.#limits = {...defaultLimits, ...limits};
		this.#bodies = new RequestBodies(budget, onRefuse);
		this.#routes = polka({
			onNoMatch(_request, response) {
				sendJson(response, 404, {detail: 'there is no such route'});
			},
		});
		this.server = createServer({
			headersTimeout: this.#limits.headersTimeoutMs, requestTimeout: this.#limits.requestTimeoutMs, connectionsCheckingInterval: this.#limits.checkMs,
			// Names of Node.js.
			// eslint-disable-next-line @typescript-eslint/naming-convention
			IncomingMessage: PacedRequest, ServerResponse: LingeringResponse,
		});
		this.#connections = new Connections(this.server, {
			maxConnections: this.#limits.maxConnections, maxPipelined: this.#limits.maxPipelined, onClose,
			onEnd: request => {
				this.#bodies.end(request);
			},
		});
		const handle = (request: PacedRequest, response: LingeringResponse) => {
			if (this.#connections.begin(request, response)) {
				request.begin();
				response.closeUnlessWhole();
				this.#route(request, response);
			}
		};

		this.server.on('request', handle);
		// With this listener, the client is told to continue only when its body is read.
		this.server.on('checkContinue', handle);
	}

	/** Number of connections in a state. */
	countConnections(state: ConnectionState): number {
		return this.#connections.count(state);
	}

	/** Number of connections by state. */
	get connectionCounts(): Readonly<Record<ConnectionState, number>> {
		return this.#connections.counts;
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

	/** Closes all connections, with a reset where an answer is incomplete; to be called when the process ends. */
	closeAll(): void {
		this.#connections.closeAll();
	}

	/** Aborts all exchanges; for tests and stand-ins. */
	async kill(): Promise<void> {
		const closed = this.close();
		this.server.closeAllConnections();
		await closed;
	}

	#route(request: IncomingMessage, response: ServerResponse): void {
		contexts.set(request, {bodies: this.#bodies, response});
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
			const handled = handler(exchange);
			dropUnlessRead(request);
			await handled;
		} catch (error) {
			this.#fail(error, exchange);
		}
	}

	#fail(error: unknown, exchange: Exchange): void {
		if (!exchange.request.complete && !exchange.response.headersSent) {
			// The remaining body is not read, so the connection can't be reused.
			exchange.response.setHeader('connection', 'close');
		}

		dropUnlessRead(exchange.request);
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

/**
 * Drops the body of a request whose handler has not begun to read it. Unread, its chunks would wait in memory while the handler works.
 */
function dropUnlessRead(request: IncomingMessage): void {
	if (hasBody(request) && request.readableFlowing === null && !request.destroyed) {
		request.resume();
	}
}

/**
 * Begins to read a body; to be called by a handler before it waits for anything.
 *
 * Its memory belongs to the budget of the server until the exchange ends.
 */
export function beginBody(request: IncomingMessage, limitBytes = maxBodyBytes): IncomingBody {
	const context = contexts.get(request);
	if (!context) {
		throw new TypeError('expected a request of an `HttpServer`');
	}

	const body = context.bodies.begin(request, limitBytes);
	continueIfExpected(request, context.response);
	return body;
}

/** Reads a complete body; to be called by a handler before it waits for anything. Throws `HttpError`. */
export async function readBytes(request: IncomingMessage, limitBytes = maxBodyBytes): Promise<Uint8Array> {
	const body = beginBody(request, limitBytes);
	const segments = await body.readSegments();
	if (segments.length === 1) {
		return segments[0]!;
	}

	const length = segments.reduce((sum, segment) => sum + segment.length, 0);
	body.charge(length);
	return Buffer.concat(segments, length);
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
	const content = `${JSON.stringify(value)}\n`;
	// With a length, a client that is still sending sees the whole response before its connection is closed.
	response.writeHead(status, {'content-type': 'application/json', 'content-length': String(Buffer.byteLength(content)), ...headers});
	response.end(content);
}
