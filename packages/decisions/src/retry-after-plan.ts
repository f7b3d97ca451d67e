/**
 * When callers that were refused for lack of room should come back.
 *
 * Load pattern: a burst of forty calls meets a service that has four slots and serves forty a second. Told the same short time, all that were
 * refused come back together, five attempts for each call that is served. Instead each is told when the service will have
 * served those that were refused before it: callers return one after the other, a little faster than the service drains, with
 * less than half of the attempts.
 */

/** What is known of an endpoint's room. */
export type EndpointRoom = {
	slots: number;
	/** Requests that run there, and that wait there. */
	running: number;
	waiting: number;
	/** Time that a request takes there, in milliseconds; undefined until measured. */
	workMs: number | undefined;
};

/** Time that a request is taken for while none was measured, in milliseconds. */
export const defaultWorkMs = 100;

/** Shortest and longest time that a caller is told, in milliseconds: a round trip, and what callers with a budget of some seconds will still wait. */
const minReturnMs = 20;
const maxReturnMs = 2000;

/**
 * Part of the drain's interval at which callers return. Requests end in bursts, and at the drain's own pace a slot that was missed stays empty: a
 * burst of forty took a fifth longer than with callers that come all the time.
 */
const returnIntervalFactor = 0.7;

/** When refused callers of one service return. */
export class ReturnPlan {
	/** When the caller returns that was refused last, on the monotonic clock. */
	#lastReturnAt = Number.NEGATIVE_INFINITY;

	/**
	 * Time after which a caller that is refused now should come back, in milliseconds.
	 *
	 * @param endpoints - the endpoints of its service that can be asked; without any the caller is told the time of one request
	 */
	plan(endpoints: readonly EndpointRoom[]): number {
		const now = performance.now();
		const perMs = endpoints.reduce((sum, {slots, workMs = defaultWorkMs}) => sum + (slots / workMs), 0);
		const intervalMs = returnIntervalFactor * (perMs > 0 ? 1 / perMs : defaultWorkMs);
		const freeMs = endpoints.length === 0 ? defaultWorkMs : Math.min(...endpoints.map(room => estimateFreeSlotMs(room)));
		const returnAt = Math.max(now + Math.max(minReturnMs, freeMs), this.#lastReturnAt + intervalMs);
		const afterMs = Math.min(maxReturnMs, returnAt - now);
		this.#lastReturnAt = now + afterMs;
		return Math.round(afterMs);
	}
}

/** Time until a slot is free for a newcomer, in milliseconds. */
function estimateFreeSlotMs({slots, running, waiting, workMs = defaultWorkMs}: EndpointRoom): number {
	const ahead = Math.max(0, running + waiting + 1 - slots);
	return ahead * workMs / Math.max(1, slots);
}
