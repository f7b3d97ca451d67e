/**
 * Ends a server's connections on a graceful shutdown: idle ones at once, busy ones when their exchange has ended.
 *
 * Node's own `close` waits for connections that never send anything, and no longer
 * enforces the limits for slow senders once it was called.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** What a server has open. */
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

	/** Exchanges that have begun and not ended. */
	get openExchanges(): number {
		return this.#exchanges.size;
	}

	/**
	 * Takes no new connections; resolves when all have ended.
	 *
	 * @param graceMs - time for a connection without an exchange to bring the request that may be on its way, in milliseconds
	 * @param bodyTimeoutMs - time for a request's body that is still being sent, in milliseconds
	 */
	async close(graceMs: number, bodyTimeoutMs: number): Promise<void> {
		this.#isClosing = true;
		const timers = [
			setTimeout(() => {
				this.#endWithoutExchange();
			}, graceMs),
			setTimeout(() => {
				this.#endSlowSenders();
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
				// Node counts the connection as idle only after this event.
				setImmediate(() => {
					this.#server.closeIdleConnections();
				});
			}
		});
	}

	#endWithoutExchange(): void {
		const busy = new Set([...this.#exchanges.values()].map(({socket}) => socket));
		for (const socket of this.#sockets) {
			if (!busy.has(socket)) {
				socket.destroy();
			}
		}
	}

	#endSlowSenders(): void {
		for (const request of this.#exchanges.values()) {
			if (!request.complete) {
				request.destroy();
			}
		}
	}
}
