/**
 * The connections of a server: bounds their number and that of requests on one connection, and closes them on a graceful shutdown, idle ones at once
 * and busy ones when their exchange has ended.
 *
 * Node's own `close` waits for connections that never send anything, and stops enforcing the timeouts for slow senders when it is called. Its own
 * limit of connections refuses new ones, whoever occupies the others.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {ConnectionTable, type ConnectionState} from './connection-table.js';
import {stopParsing} from './paced-request.js';
import {closeConnection, refuseUnparsed, resetIfUnfinished} from './partial-answers.js';
import {hasBody} from './request-bodies.js';

/**
 * Reason for which a connection was closed:
 * - `connections`: the server has as many as it may
 * - `pipelining`: it has sent too many requests without waiting for their answers
 */
export type ClosingReason = 'connections' | 'pipelining';

/** A closed connection, its state, and how many connections the server has of those that it may have. */
export type ClosedConnection = {reason: ClosingReason; client: string; state: ConnectionState; connections: number; maxConnections: number};

export type ConnectionsSettings = {
	maxConnections: number;
	/** Most requests of one connection that are not answered. */
	maxPipelined: number;
	/** Called with each connection that is closed for a limit. */
	onClose?(closed: ClosedConnection): void;
	/** Called when an exchange has ended, however it ended. */
	onEnd?(request: IncomingMessage): void;
};

/** The open connections and exchanges of a server. */
export class Connections {
	readonly #server: Server;
	readonly #settings: ConnectionsSettings;
	readonly #table = new ConnectionTable<Socket>();
	/** Open exchanges of each connection, oldest first. */
	readonly #exchanges = new Map<Socket, Map<ServerResponse, IncomingMessage>>();
	#isClosing = false;

	constructor(server: Server, settings: ConnectionsSettings) {
		this.#server = server;
		this.#settings = settings;
		server.on('connection', (socket: Socket) => {
			this.#accept(socket);
		});
		server.on('newListener', this.#followUpgrades);
		server.on('clientError', (error, socket) => {
			// All connections of an HTTP server are sockets.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
			refuseUnparsed(socket as Socket, error, this.#listResponses(socket as Socket));
		});
	}

	/** Number of connections in a state. */
	count(state: ConnectionState): number {
		return this.#table.count(state);
	}

	/** Number of connections by state. */
	get counts(): Readonly<Record<ConnectionState, number>> {
		return this.#table.counts;
	}

	/** Begins an exchange; returns false if its connection is closed or is closed now, so that the request must not be handled. */
	begin(request: IncomingMessage, response: ServerResponse): boolean {
		const {socket} = request;
		const exchanges = this.#exchanges.get(socket);
		if (!exchanges || socket.destroyed) {
			return false;
		}

		if (exchanges.size >= this.#settings.maxPipelined) {
			stopParsing(socket);
			this.#closeForLimit(socket, 'pipelining', this.#findState(exchanges));
			return false;
		}

		exchanges.set(response, request);
		this.#table.set(socket, this.#findState(exchanges));
		if (hasBody(request)) {
			request.once('end', () => {
				this.#update(socket);
			});
		}

		if (this.#isClosing) {
			response.setHeader('connection', 'close');
		}

		response.once('close', () => {
			this.#end(socket, response);
		});
		return true;
	}

	/**
	 * Stops accepting connections; resolves when all have ended.
	 *
	 * @param graceMs - time after which connections without an exchange are closed, in milliseconds; until then, requests in transit are accepted
	 * @param bodyTimeoutMs - time after which requests whose body is still incomplete are aborted, in milliseconds
	 */
	async close(graceMs: number, bodyTimeoutMs: number): Promise<void> {
		this.#isClosing = true;
		const timers = [
			setTimeout(() => {
				this.#closeWithoutExchange();
			}, graceMs),
			setTimeout(() => {
				this.#abortIncompleteRequests();
			}, bodyTimeoutMs),
		];
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeIdleConnections();
		});
		for (const timer of timers) {
			clearTimeout(timer);
		}
	}

	/** Closes all connections, with a reset where an answer is incomplete; for the end of the process, which would end them in order. */
	closeAll(): void {
		for (const socket of this.#exchanges.keys()) {
			closeConnection(socket, this.#listResponses(socket));
		}
	}

	/** Counts upgraded connections as working, once the server has a handler for them; without one, a listener here would make Node.js upgrade them. */
	readonly #followUpgrades = (event: string | symbol): void => {
		if (event !== 'upgrade') {
			return;
		}

		this.#server.off('newListener', this.#followUpgrades);
		this.#server.on('upgrade', ({socket}: IncomingMessage) => {
			if (!socket.destroyed) {
				this.#table.set(socket, 'working');
			}
		});
	};

	#accept(socket: Socket): void {
		this.#exchanges.set(socket, new Map());
		this.#table.set(socket, 'silent');
		// Node.js ends the connection in order once the client has ended its side.
		socket.prependListener('end', () => {
			resetIfUnfinished(socket, this.#listResponses(socket));
		});
		socket.once('close', () => {
			this.#remove(socket);
		});
		if (this.#table.size > this.#settings.maxConnections) {
			const {connection, state} = this.#table.findVictim(socket);
			this.#closeForLimit(connection, 'connections', state);
		}
	}

	#closeForLimit(socket: Socket, reason: ClosingReason, state: ConnectionState): void {
		this.#settings.onClose?.({
			reason, client: socket.remoteAddress ?? '', state, connections: this.#table.size, maxConnections: this.#settings.maxConnections,
		});
		closeConnection(socket, this.#listResponses(socket));
		// The event follows later, and its place is free now.
		this.#remove(socket);
	}

	#listResponses(socket: Socket): ServerResponse[] {
		return [...this.#exchanges.get(socket)?.keys() ?? []];
	}

	#remove(socket: Socket): void {
		this.#table.delete(socket);
		const exchanges = this.#exchanges.get(socket) ?? new Map<ServerResponse, IncomingMessage>();
		this.#exchanges.delete(socket);
		for (const [response, request] of exchanges) {
			this.#settings.onEnd?.(request);
			if (!response.closed) {
				// Node.js emits it only for the response that is being sent, not for those that wait for it.
				response.destroy();
				response.emit('close');
			}
		}
	}

	#end(socket: Socket, response: ServerResponse): void {
		const exchanges = this.#exchanges.get(socket);
		const request = exchanges?.get(response);
		if (!exchanges || !request) {
			return;
		}

		exchanges.delete(response);
		this.#settings.onEnd?.(request);
		this.#update(socket);
		if (this.#isClosing) {
			// Node.js considers the connection idle only after this event.
			setImmediate(() => {
				this.#server.closeIdleConnections();
			});
		}
	}

	#update(socket: Socket): void {
		const exchanges = this.#exchanges.get(socket);
		if (exchanges) {
			this.#table.set(socket, this.#findState(exchanges));
		}
	}

	/** Only the newest request of a connection can be incomplete. */
	#findState(exchanges: ReadonlyMap<ServerResponse, IncomingMessage>): ConnectionState {
		const requests = [...exchanges.values()];
		const newest = requests.at(-1);
		if (!newest) {
			return 'idle';
		}

		return requests.length === 1 && hasBody(newest) && !newest.complete ? 'receiving' : 'working';
	}

	#closeWithoutExchange(): void {
		for (const [socket, exchanges] of this.#exchanges) {
			if (exchanges.size === 0) {
				socket.destroy();
			}
		}
	}

	#abortIncompleteRequests(): void {
		for (const request of [...this.#exchanges.values()].flatMap(exchanges => [...exchanges.values()])) {
			if (!request.complete) {
				request.destroy();
			}
		}
	}
}
