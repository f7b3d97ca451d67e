/**
 * Restores the exchange with the store once it answers this host again.
 *
 * Load pattern: a store that was unresponsive for some seconds answers all hosts within the same 100 ms. Each host still waits up to 1.5 s for the
 * answers to its earlier polls and does not see new batches meanwhile. So a heartbeat is sent first, then
 * pending writes, then a new poll for each table, at a rate over all hosts that the store can bear.
 */

/** Time per host over which the polls of all hosts are spread, in milliseconds; each host polls four tables. */
const spreadMsPerHost = 1;

export type StoreRecoverySettings = {
	followers: ReadonlyArray<{hurry(): void}>;
	/** Writes a heartbeat of this host. */
	sendHeartbeat(): Promise<void>;
	/** Releases writes that have waited for the store. */
	releaseWrites(): void;
	countHosts(): number;
	/** Returns a random number in [0, 1). */
	chance(): number;
};

/** Sends a heartbeat, pending writes and new polls after the store has recovered. */
export class StoreRecovery {
	readonly #settings: StoreRecoverySettings;
	readonly #timers = new Set<NodeJS.Timeout>();

	constructor(settings: StoreRecoverySettings) {
		this.#settings = settings;
	}

	/** Starts the sequence. To be called at the first answer after an outage. */
	start(): void {
		const {followers, sendHeartbeat, releaseWrites, countHosts, chance} = this.#settings;
		void sendHeartbeat();
		releaseWrites();
		const delayMs = chance() * spreadMsPerHost * countHosts();
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			for (const follower of followers) {
				follower.hurry();
			}
		}, delayMs);
		this.#timers.add(timer);
	}

	/** Cancels pending polls. */
	stop(): void {
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}
	}
}
