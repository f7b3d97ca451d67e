/**
 * Decides which connection gives way when a server has as many as it may.
 *
 * Load pattern: clients open connections and send nothing, or a request that does not end, until the process has no descriptor left for endpoints and
 * the store. Connections without a complete request give way in the order in which they have waited, then idle ones; those with a request at
 * work never do.
 */

/**
 * - `silent`: no complete head of a request has arrived
 * - `receiving`: the body of a request is incomplete
 * - `idle`: all requests are answered
 * - `working`: a complete request is being answered
 */
export type ConnectionState = 'silent' | 'receiving' | 'idle' | 'working';

/** States of connections that may be closed, those first that give way first. */
const yieldingStates: readonly ConnectionState[] = ['silent', 'receiving', 'idle'];

/** The open connections of a server by state, those first that entered their state first. */
export class ConnectionTable<Connection> {
	readonly #states = new Map<Connection, ConnectionState>();
	readonly #connections: Readonly<Record<ConnectionState, Set<Connection>>> = {
		silent: new Set(), receiving: new Set(), idle: new Set(), working: new Set(),
	};

	get size(): number {
		return this.#states.size;
	}

	/** Number of connections in each state. */
	get counts(): Record<ConnectionState, number> {
		const {silent, receiving, idle, working} = this.#connections;
		return {
			silent: silent.size, receiving: receiving.size, idle: idle.size, working: working.size,
		};
	}

	count(state: ConnectionState): number {
		return this.#connections[state].size;
	}

	/** Adds a connection, or changes its state; one that keeps its state keeps its place too. */
	set(connection: Connection, state: ConnectionState): void {
		const previous = this.#states.get(connection);
		if (previous === state) {
			return;
		}

		if (previous !== undefined) {
			this.#connections[previous].delete(connection);
		}

		this.#states.set(connection, state);
		this.#connections[state].add(connection);
	}

	delete(connection: Connection): void {
		const state = this.#states.get(connection);
		if (state !== undefined) {
			this.#connections[state].delete(connection);
			this.#states.delete(connection);
		}
	}

	/** Finds the connection to close for a new one that is in the table already; the new one itself if no other may be closed. */
	findVictim(newcomer: Connection): {connection: Connection; state: ConnectionState} {
		for (const state of yieldingStates) {
			for (const connection of this.#connections[state]) {
				if (connection !== newcomer) {
					return {connection, state};
				}
			}
		}

		return {connection: newcomer, state: 'silent'};
	}
}
