/**
 * What is done when the store answers this host again.
 *
 * Load pattern: a store that was silent for some seconds answers all hosts within the same tenth of a second. Each still waits for the answers
 * to what it asked of the silent store, 1.5 s at most, and meanwhile does not see the batches that it is given. So heartbeats go first, then
 * what waits to be written, then each table is asked for anew, by all hosts together at a rate that the store bears.
 */

/** Time for each host over which the questions of all of them are spread, in milliseconds; each asks for four tables. */
const spreadMsPerHost = 1;

export type StoreReturnSettings = {
	followers: ReadonlyArray<{hurry(): void}>;
	/** Tells the others that this host lives. */
	beat(): Promise<void>;
	/** Writes what has waited for the store. */
	release(): void;
	countHosts(): number;
	/** A number in [0, 1). */
	chance(): number;
};

/** Asks anew once the store is back. */
export class StoreReturn {
	readonly #settings: StoreReturnSettings;
	readonly #timers = new Set<NodeJS.Timeout>();

	constructor(settings: StoreReturnSettings) {
		this.#settings = settings;
	}

	/** Begins; to be called at the first answer after a loss. */
	begin(): void {
		const {followers, beat, release, countHosts, chance} = this.#settings;
		void beat();
		release();
		const delayMs = chance() * spreadMsPerHost * countHosts();
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			for (const follower of followers) {
				follower.hurry();
			}
		}, delayMs);
		this.#timers.add(timer);
	}

	/** Asks nothing more. */
	stop(): void {
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}
	}
}
