/**
 * A cap on take-overs of leases.
 *
 * When a data centre is lost, hundreds of leases lapse at the same moment. Jitter spreads the
 * first attempts; this bounds what one process does to the store, whatever the number of leases it
 * watches.
 */

/** Take-overs a process may make in a second; 100 survivors then write at most 200/s, within the budget of 300/s. */
const defaultPerSecond = 2;

/** A token bucket of one second's depth. */
export class TakeOverPace {
	readonly #perSecond: number;
	#tokens: number;
	#filledAt = performance.now();

	/** @param perSecond - take-overs a second */
	constructor(perSecond = defaultPerSecond) {
		this.#perSecond = perSecond;
		this.#tokens = perSecond;
	}

	/** Takes one; false when none is left, and the caller tries again later. */
	tryTake(): boolean {
		const now = performance.now();
		this.#tokens = Math.min(this.#perSecond, this.#tokens + ((now - this.#filledAt) / 1000 * this.#perSecond));
		this.#filledAt = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
