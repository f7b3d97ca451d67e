/**
 * A TCP relay in front of a server, whose open connections can go silent for good while new ones work.
 */
import {connect, createServer, type Socket} from 'node:net';
import {parseAddress} from '@wasabiusher/daemon';

type Pair = {near: Socket; far: Socket};

export class Relay {
	readonly #target: {host: string; port: number};
	readonly #pairs = new Set<Pair>();
	readonly #server;

	/** @param target - `ip:port` to which connections are relayed */
	constructor(target: string) {
		this.#target = parseAddress(target);
		this.#server = createServer(near => {
			this.#open(near);
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

	/** Relays nothing more on the connections that are open now, and closes none of them. Returns how many they are. */
	silence(): number {
		for (const {near, far} of this.#pairs) {
			near.unpipe(far);
			far.unpipe(near);
			// Keeps reading, so that neither end sees a full window.
			near.resume();
			far.resume();
		}

		return this.#pairs.size;
	}

	async stop(): Promise<void> {
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		for (const pair of this.#pairs) {
			this.#cut(pair);
		}

		await closed;
	}

	#open(near: Socket): void {
		const pair = {near, far: connect(this.#target.port, this.#target.host)};
		this.#pairs.add(pair);
		for (const socket of [pair.near, pair.far]) {
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.#cut(pair);
			});
		}

		pair.near.pipe(pair.far).pipe(pair.near);
	}

	#cut(pair: Pair): void {
		this.#pairs.delete(pair);
		pair.near.destroy();
		pair.far.destroy();
	}
}
