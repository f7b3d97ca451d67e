/**
 * Plans when refused callers should come back.
 *
 * Load pattern: a burst of forty calls meets a service that has four slots and serves forty calls a second. If all refused callers get the same short
 * retry-after time, they come back together, with five attempts for each served call. Instead each gets the time by which the service will have served
 * those that were refused before it: callers come back one after the other, slightly faster than the service drains, with less than half of the
 * attempts.
 */

/** Occupancy of an endpoint. */
export type EndpointBacklog = {
	slots: number;
	/** Number of requests that are running and that are waiting at the endpoint. */
	running: number;
	waiting: number;
	/** Time that a request takes at the endpoint, in milliseconds; undefined until measured. */
	workMs: number | undefined;
};

/** Assumed duration of a request until measured, in milliseconds. */
export const defaultWorkMs = 100;

/** Shortest and longest retry-after time, in milliseconds: a round trip, and the time that callers with a budget of some seconds will still wait. */
const minReturnMs = 20;
const maxReturnMs = 2000;

/**
 * Interval at which callers return, as a fraction of the drain interval. Requests end in bursts, and if callers return exactly at the drain rate, a
 * missed slot stays empty: a burst of forty took a fifth longer than with callers that retry continuously.
 */
const returnIntervalFactor = 0.7;

/** Plans the return of refused callers of one service. */
export class RetryAfterPlan {
	/** Time at which the last refused caller returns, on the monotonic clock. */
	#lastReturnAt = Number.NEGATIVE_INFINITY;

	/**
	 * Returns the retry-after time of a caller that is refused now, in milliseconds.
	 *
	 * @param endpoints - available endpoints of its service; without any the time is that of one request
	 */
	plan(endpoints: readonly EndpointBacklog[]): number {
		const now = performance.now();
		const perMs = endpoints.reduce((sum, {slots, workMs = defaultWorkMs}) => sum + (slots / workMs), 0);
		const intervalMs = returnIntervalFactor * (perMs > 0 ? 1 / perMs : defaultWorkMs);
		const freeMs = endpoints.length === 0 ? defaultWorkMs : Math.min(...endpoints.map(endpoint => estimateFreeSlotMs(endpoint)));
		const returnAt = Math.max(now + Math.max(minReturnMs, freeMs), this.#lastReturnAt + intervalMs);
		const afterMs = Math.min(maxReturnMs, returnAt - now);
		this.#lastReturnAt = now + afterMs;
		return Math.round(afterMs);
	}
}

/** Returns the time until a slot is free for a new request, in milliseconds. */
function estimateFreeSlotMs({slots, running, waiting, workMs = defaultWorkMs}: EndpointBacklog): number {
	const ahead = Math.max(0, running + waiting + 1 - slots);
	return ahead * workMs / Math.max(1, slots);
}
