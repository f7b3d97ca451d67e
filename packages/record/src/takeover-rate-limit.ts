/**
 * Limits the rate of lease takeovers.
 *
 * Load pattern: a data centre is lost, and hundreds of leases expire at the same time. Jitter spreads the
 * first attempts; this limit bounds the load that one process puts on the store, whatever the number of leases it
 * observes.
 */

/** Takeovers per second of one process; 100 remaining processes then write at most 200/s, within the budget of 300/s. */
const defaultPerSecond = 2;

/** Token bucket with the capacity of one second. */
export class TakeoverRateLimit {
	readonly #perSecond: number;
	#tokens: number;
	#refilledAt = performance.now();

	/** @param perSecond - takeovers per second */
	constructor(perSecond = defaultPerSecond) {
		this.#perSecond = perSecond;
		this.#tokens = perSecond;
	}

	/** Takes a token; returns false if none is left, and the caller tries again later. */
	tryTake(): boolean {
		const now = performance.now();
		this.#tokens = Math.min(this.#perSecond, this.#tokens + ((now - this.#refilledAt) / 1000 * this.#perSecond));
		this.#refilledAt = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
