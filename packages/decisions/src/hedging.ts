/**
 * Decides whether a slow request is hedged: sent a second time to another endpoint, with the first answer used.
 *
 * Load pattern: an endpoint stalls now and then, so that one request in some hundred takes many times as long. Without hedging those callers wait for
 * the whole stall. A hedge doubles the work of a request, so it is only made while there is idle capacity, for a small fraction of requests, and only
 * where running twice is harmless (Dean and Barroso, 2013).
 */

/** Maximum fraction of hedged requests; the delay at the 95th percentile alone would allow the same. */
const hedgeRatio = 0.05;

/** Maximum number of hedges that can be accrued. */
const maxSavedHedges = 10;

/** Utilization above which no hedge is made: its work would delay the first attempts of others. */
const maxLoad = 0.7;

/** Number of durations kept to determine the delay; a 95th percentile needs some hundred. */
const maxTimes = 256;

/** Number of durations between updates of the delay, and before it is first known. */
const minTimes = 32;

/** Percentile, as a fraction, above which a request is slow. */
const slowFraction = 0.95;

/** A running request. */
export type RunningRequest = {
	/** Whether its profile allows hedging: it is idempotent, and hedging is enabled. */
	isAllowed: boolean;
	startedAt: number;
	deadlineAt: number;
	/** Whether a second copy is already running. */
	isHedged: boolean;
};

/** Controls the hedges of one pool. */
export class Hedging {
	readonly #times: number[] = [];
	#next = 0;
	#tokens = maxSavedHedges;
	#delayMs: number | undefined;

	/** Records the first attempt of a request. */
	recordFirstTry(): void {
		this.#tokens = Math.min(maxSavedHedges, this.#tokens + hedgeRatio);
	}

	/** Records the duration of a request that was not hedged, in milliseconds. */
	recordTime(durationMs: number): void {
		this.#times[this.#next] = durationMs;
		this.#next = (this.#next + 1) % maxTimes;
		if (this.#next % minTimes === 0) {
			const sorted = this.#times.toSorted((a, b) => a - b);
			this.#delayMs = sorted[Math.floor(slowFraction * sorted.length)];
		}
	}

	/** Time after which a request is slow, in milliseconds; undefined until enough durations are known. */
	get delayMs(): number | undefined {
		return this.#delayMs;
	}

	/**
	 * Takes a hedge for a running request; returns false if none should be made.
	 *
	 * @param load - utilization of the pool, from 0
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
