/**
 * A TCP server whose answers are written byte by byte, for answers that no HTTP library sends.
 */
import {createServer, type Socket} from 'node:net';

/** Writes the answer on a connection, given the first bytes of its request. */
export type RawAnswer = (socket: Socket, request: string) => void;

/** Server that answers once on each connection, and leaves what follows the first bytes of the request unread. */
export class RawServer {
	readonly #sockets = new Set<Socket>();
	readonly #server;

	constructor(answer: RawAnswer) {
		this.#server = createServer(socket => {
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
			socket.once('data', chunk => {
				socket.pause();
				answer(socket, chunk.toString('latin1'));
			});
		});
	}

	/** Resolves to the `ip:port` to connect to. */
	async start(): Promise<string> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		const bound = this.#server.address();
		if (bound === null || typeof bound === 'string') {
			throw new TypeError('expected the server to listen on an ip:port address');
		}

		return `127.0.0.1:${bound.port}`;
	}

	async stop(): Promise<void> {
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await closed;
	}
}
