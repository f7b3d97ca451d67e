/**
 * Who is refused at once instead of waiting.
 *
 * Load pattern: eight times as many calls come as can be served. If all wait, each is answered when its caller has gone. One that would still wait at its
 * deadline is refused while it can come back in time; with nothing before it, it waits for the next slot in any case.
 */
import {DrainRate} from '@wasabiusher/decisions';

/** Slots that are taken for free at first: too many, so that nobody is refused before it is known how fast the line moves. */
const firstSlots = 16;

/** How fast one line moves, and who can wait in it. */
export class LineBound {
	#rate: DrainRate | undefined;

	/** Notes that one has got its slot. */
	recordGrant(now: number, hasMore: boolean): void {
		this.#rate?.record(1, now, hasMore);
	}

	/** Notes that nobody waits, or has until now; how long that lasts says nothing of the rate. */
	recordIdle(now: number): void {
		this.#rate?.record(0, now, false);
	}

	/**
	 * Time that a new one would wait, in milliseconds; 0 while nobody knows how long requests take.
	 *
	 * @param ahead - how many go before it
	 */
	estimateWait(ahead: number, workMs: number): number {
		if (workMs > 0) {
			this.#rate ??= new DrainRate(firstSlots / workMs);
		}

		return this.#rate ? ahead / Math.max(this.#rate.perMs, Number.EPSILON) : 0;
	}
}
