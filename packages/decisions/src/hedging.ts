/**
 * Whether a slow request is started a second time elsewhere, the first answer winning.
 *
 * Load pattern: an endpoint stalls now and then, so that one request in some hundred takes many times as long.
 * Without this those callers wait it out. A hedge doubles the work of a request, so it is only made while
 * there is idle capacity, for a small part of requests, and only where running twice is harmless
 * (Dean and Barroso, 2013).
 */

/** Part of requests that may be hedged; the delay at the 95th percentile alone would allow as many. */
const hedgeRatio = 0.05;

/** Hedges that may be saved up. */
const maxSavedHedges = 10;

/** Used part of the capacity above which none is made: the work of a hedge would delay someone's first try. */
const maxLoad = 0.7;

/** Requests whose time is remembered to find the delay; a percentile of 95 needs some hundred. */
const maxTimes = 256;

/** Requests before the delay is known. */
const minTimes = 32;

/** The percentile after which a request is slow, as a fraction. */
const slowFraction = 0.95;

/** What is known of a request that still runs. */
export type RunningRequest = {
	/** Its profile allows it: idempotent, and hedging switched on. */
	isAllowed: boolean;
	startedAt: number;
	deadlineAt: number;
	/** A second copy already runs. */
	isHedged: boolean;
};

/** Hedges of one pool. */
export class Hedging {
	readonly #times: number[] = [];
	#next = 0;
	#tokens = maxSavedHedges;
	#delayMs: number | undefined;

	/** A request was sent for the first time. */
	recordFirstTry(): void {
		this.#tokens = Math.min(maxSavedHedges, this.#tokens + hedgeRatio);
	}

	/** A request that was not hedged took so long, in milliseconds. */
	recordTime(durationMs: number): void {
		this.#times[this.#next] = durationMs;
		this.#next = (this.#next + 1) % maxTimes;
		if (this.#next % minTimes === 0) {
			const sorted = this.#times.toSorted((a, b) => a - b);
			this.#delayMs = sorted[Math.floor(slowFraction * sorted.length)];
		}
	}

	/** Time after which a request is slow, in milliseconds; undefined until enough is known. */
	get delayMs(): number | undefined {
		return this.#delayMs;
	}

	/**
	 * Takes a hedge for a running request; false if none is to be made.
	 *
	 * @param load - used part of the pool's capacity, from 0
	 */
	tryTake({isAllowed, startedAt, deadlineAt, isHedged}: RunningRequest, load: number, now: number): boolean {
		const isSlow = this.#delayMs !== undefined && now - startedAt >= this.#delayMs;
		if (!isAllowed || isHedged || !isSlow || load > maxLoad || now >= deadlineAt || this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
