/**
 * The connections to each origin, and what is done when one of them goes silent.
 *
 * Something between the two ends can lose track of open connections while new ones
 * work, and it mostly loses track of all that are as old. So one silent connection
 * retires all of that origin's: the next call, a retry perhaps, gets a fresh one.
 */
import {buildConnector, Pool, type Dispatcher} from 'undici';

/** Longest time for a new connection, in milliseconds; hosts answer within some milliseconds or are gone. */
const connectTimeoutMs = 1000;

/** How long an idle connection is kept, in milliseconds; servers commonly end theirs after five seconds. */
const keepAliveMs = 4000;

/** Time before an idle connection's end at which it is no longer used, in milliseconds: a request must not cross the server's close. */
const keepAliveMarginMs = 2000;

export type ConnectionLimits = {
	connectTimeoutMs: number;
	/** How long before the time that a server names its connections are given up, in milliseconds. */
	keepAliveMarginMs: number;
};

/**
 * Makes a reset look like any other error of a connection.
 *
 * Undici takes a reset for the end of an answer that has no length, so that an answer that was cut off would be handed on as
 * a whole one. It tells a reset by this code; its own listener comes after this one.
 */
function createConnector(timeoutMs: number): buildConnector.connector {
	const connect = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
				if (error.code === resetCode) {
					error.code = cutCode;
				}
			});
			callback(...result);
		});
	};
}

const resetCode = 'ECONNRESET';
const cutCode = 'ERR_CONNECTION_CUT';

/** Pools of connections by origin. */
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

	/** Uses none of the origin's open connections for new requests; requests under way go on. */
	retire(origin: string): void {
		const pool = this.#pools.get(origin);
		this.#pools.delete(origin);
		// Its promise waits for requests under way, which end by their own limits.
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

/** The connections of this process. */
export const connections = new Connections();
