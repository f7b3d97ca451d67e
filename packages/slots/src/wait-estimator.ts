/**
 * Estimates how long a new waiter would wait, so that hopeless ones are refused at once.
 *
 * Load pattern: eight times as many calls arrive as can be served. If all wait, each is answered after its caller has gone. A call that would still wait at its
 * deadline is refused while a retry can be on time; with nothing ahead of it, it waits for the next slot in any case.
 */
import {DrainRate} from '@wasabiusher/decisions';

/** Slots that are assumed to be free at first: an overestimate, so that nothing is refused before the drain rate is known. */
const initialSlots = 16;

/** Drain rate of one wait queue and the wait times that follow from it. */
export class WaitEstimator {
	#rate: DrainRate | undefined;

	/** Records that a waiter got its slot. */
	recordGrant(now: number, hasMore: boolean): void {
		this.#rate?.record(1, now, hasMore);
	}

	/** Records that the queue is empty, or was until now; idle time must not lower the rate. */
	recordIdle(now: number): void {
		this.#rate?.record(0, now, false);
	}

	/**
	 * Returns how long a new waiter would wait, in milliseconds; 0 while the duration of requests is unknown.
	 *
	 * @param ahead - number of waiters that are served before it
	 * @param workMs - expected duration of a request; 0 if unknown
	 */
	estimateWait(ahead: number, workMs: number): number {
		if (workMs > 0) {
			this.#rate ??= new DrainRate(initialSlots / workMs);
		}

		return this.#rate ? ahead / Math.max(this.#rate.perMs, Number.EPSILON) : 0;
	}
}
