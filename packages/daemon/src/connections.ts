/**
 * Closes a server's connections on a graceful shutdown: idle ones at once, busy ones when their exchange has ended.
 *
 * Node's own `close` waits for connections that never send anything, and stops enforcing the timeouts for slow senders when it is called.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** The open connections and exchanges of a server. */
export class Connections {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #exchanges = new Map<ServerResponse, IncomingMessage>();
	#isClosing = false;

	constructor(server: Server) {
		this.#server = server;
		server.on('connection', (socket: Socket) => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		server.prependListener('request', (request, response) => {
			this.#begin(request, response);
		});
	}

	/** Number of exchanges that have begun and not ended. */
	get openExchanges(): number {
		return this.#exchanges.size;
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

	#begin(request: IncomingMessage, response: ServerResponse): void {
		this.#exchanges.set(response, request);
		if (this.#isClosing) {
			response.setHeader('connection', 'close');
		}

		response.once('close', () => {
			this.#exchanges.delete(response);
			if (this.#isClosing) {
				// Node.js considers the connection idle only after this event.
				setImmediate(() => {
					this.#server.closeIdleConnections();
				});
			}
		});
	}

	#closeWithoutExchange(): void {
		const busy = new Set([...this.#exchanges.values()].map(({socket}) => socket));
		for (const socket of this.#sockets) {
			if (!busy.has(socket)) {
				socket.destroy();
			}
		}
	}

	#abortIncompleteRequests(): void {
		for (const request of this.#exchanges.values()) {
			if (!request.complete) {
				request.destroy();
			}
		}
	}
}
