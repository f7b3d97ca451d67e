/**
 * Connection pools by origin, which replace all connections of an origin when one of them goes silent.
 *
 * A middlebox can lose its state for open connections while new ones work, and usually loses it for all connections of the same age. So one
 * silent connection retires the pool of its origin, and the next call, which may be a retry, gets a new connection.
 */
import {writeSync} from 'node:fs';
import type {Socket} from 'node:net';
import {buildConnector, Pool, type Dispatcher} from 'undici';

/** Connect timeout, in milliseconds; a live host answers within a few milliseconds. */
const connectTimeoutMs = 1000;

/** Idle time after which a connection is closed, in milliseconds; servers commonly close theirs after five seconds. */
const keepAliveMs = 4000;

/** Time before the keep-alive timeout from which a connection is not reused, in milliseconds, so that no request races with the server's close. */
const keepAliveMarginMs = 2000;

/** Most bytes of a response that are parsed at once. */
const maxParsedBytes = 4096;

export type ConnectionLimits = {
	connectTimeoutMs: number;
	/** Time before the keep-alive timeout announced by the server from which its connections are not reused, in milliseconds. */
	keepAliveMarginMs: number;
};

/**
 * Creates a connector whose connections report a reset as an error that is not a reset.
 *
 * Undici treats a reset, which it recognises by its code, as the end of a response without a length, so a truncated response would count as
 * complete. The listener runs before that of undici, and undici then handles the error like any other.
 */
function createConnector(timeoutMs: number): buildConnector.connector {
	const connect = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			if (socket) {
				socket.prependListener('error', (error: NodeJS.ErrnoException) => {
					if (error.code === resetCode) {
						error.code = cutCode;
					}
				});
				reportHiddenReset(socket);
				limitReads(socket);
			}

			callback(...result);
		});
	};
}

const resetCode = 'ECONNRESET';
const cutCode = 'ERR_CONNECTION_CUT';
const endedCode = 'EPIPE';

/** Makes a socket fail where libuv reports a reset as an orderly end, which it does if the last bytes and the reset have arrived together. */
function reportHiddenReset(socket: Socket): void {
	const push = socket.push.bind(socket);
	socket.push = (chunk, encoding) => {
		if (chunk === null && hasFailed(socket)) {
			socket.destroy(Object.assign(new Error('the connection was reset'), {code: cutCode}));
			return false;
		}

		return push(chunk, encoding);
	};
}

/**
 * Whether the connection has failed, for example by a reset, before the peer has ended its side in order.
 *
 * A write of no bytes tells, with the code of the failure. After an orderly end it succeeds, or fails with `EPIPE` if a reset has followed. It bypasses the stream
 * of the socket, in which it would wait behind an unfinished upload.
 */
function hasFailed(socket: Socket): boolean {
	const descriptor = findDescriptor(socket);
	if (descriptor === undefined) {
		return false;
	}

	try {
		writeSync(descriptor, new Uint8Array());
		return false;
	} catch (error) {
		return !(error instanceof Error && 'code' in error && error.code === endedCode);
	}
}

/** File descriptor of a connection, which Node.js has on its internal handle only; undefined if the connection is closed. */
function findDescriptor(socket: Socket): number | undefined {
	const handle: unknown = Reflect.get(socket, '_handle');
	const descriptor: unknown = handle instanceof Object ? Reflect.get(handle, 'fd') : undefined;
	return typeof descriptor === 'number' && descriptor >= 0 ? descriptor : undefined;
}

/**
 * Lets a response be parsed in small parts, and no further once its connection was given up.
 *
 * Undici applies its limit for the head of a response after each part, and creates two objects and, beyond the limit, an error for each header line of the
 * part. In a whole read of the system thousands of lines fit, which take megabytes.
 */
function limitReads(socket: Socket): void {
	const read = socket.read.bind(socket);
	socket.read = (size?: number) => {
		if (size !== undefined) {
			return read(size) as unknown;
		}

		// Without a size, an empty buffer asks for more.
		return (socket.destroyed ? null : read(socket.readableLength > maxParsedBytes ? maxParsedBytes : undefined)) as unknown;
	};
}

/** Connection pools by origin. */
export class Connections {
	readonly #limits: ConnectionLimits;
	readonly #pools = new Map<string, Pool>();

	constructor(limits: Partial<ConnectionLimits> = {}) {
		this.#limits = {connectTimeoutMs, keepAliveMarginMs, ...limits};
	}

	/** Sends a request; throws what undici throws. */
	async send(origin: string, options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
		return this.#find(origin).request(options);
	}

	/** Stops using the open connections of the origin for new requests; requests in flight continue. */
	retire(origin: string): void {
		const pool = this.#pools.get(origin);
		this.#pools.delete(origin);
		// Not awaited: `close` waits for the requests in flight, which have their own timeouts.
		void pool?.close();
	}

	#find(origin: string): Pool {
		let pool = this.#pools.get(origin);
		if (!pool) {
			pool = new Pool(origin, {connect: createConnector(this.#limits.connectTimeoutMs), keepAliveTimeout: keepAliveMs, keepAliveTimeoutThreshold: this.#limits.keepAliveMarginMs});
			this.#pools.set(origin, pool);
		}

		return pool;
	}
}

/** The connection pools of this process. */
export const connections = new Connections();
