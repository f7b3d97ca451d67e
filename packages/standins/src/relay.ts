/**
 * A TCP relay in front of a server. It can stop relaying on its open connections for good while new connections work.
 */
import {connect, createServer, type Socket} from 'node:net';
import {parseAddress} from '@wasabiusher/daemon';

type ConnectionPair = {downstream: Socket; upstream: Socket};

/** TCP relay that can silence its open connections. */
export class Relay {
	readonly #target: {host: string; port: number};
	readonly #connections = new Set<ConnectionPair>();
	readonly #server;

	/** @param target - `ip:port` to which connections are relayed */
	constructor(target: string) {
		this.#target = parseAddress(target);
		this.#server = createServer(downstream => {
			this.#open(downstream);
		});
	}

	/** Resolves to the `ip:port` to connect to. */
	async start(): Promise<string> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		const bound = this.#server.address();
		if (bound === null || typeof bound === 'string') {
			throw new TypeError('expected the relay to listen on an ip:port address');
		}

		return `127.0.0.1:${bound.port}`;
	}

	/** Stops relaying on all open connections without closing them. Returns the number of connections. */
	silence(): number {
		for (const {downstream, upstream} of this.#connections) {
			downstream.unpipe(upstream);
			upstream.unpipe(downstream);
			// Continues to read, so that neither end observes a full TCP window.
			downstream.resume();
			upstream.resume();
		}

		return this.#connections.size;
	}

	async stop(): Promise<void> {
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		for (const pair of this.#connections) {
			this.#close(pair);
		}

		await closed;
	}

	#open(downstream: Socket): void {
		const pair = {downstream, upstream: connect(this.#target.port, this.#target.host)};
		this.#connections.add(pair);
		for (const socket of [pair.downstream, pair.upstream]) {
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.#close(pair);
			});
		}

		pair.downstream.pipe(pair.upstream).pipe(pair.downstream);
	}

	#close(pair: ConnectionPair): void {
		this.#connections.delete(pair);
		pair.downstream.destroy();
		pair.upstream.destroy();
	}
}
