/**
 * How fast work is served, from which waits are estimated.
 *
 * Load pattern: capacity changes with lengths, lost endpoints and new ones. With a fixed rate admission would let
 * in too much, or refuse what could be served.
 */

/** Weight of the newest window in the measured rate; five windows forget 97% of what was before. */
const rateSmoothingWeight = 0.5;

/** Length of a window in milliseconds: long enough for some finished requests, short enough to follow a lost endpoint. */
const rateWindowMs = 500;

/** Work served in a millisecond while there is a backlog, measured over short windows. */
export class DrainRate {
	#rate: number;
	#windowStart: number | undefined;
	#windowWork = 0;
	#wasBusy = true;

	/** @param initial - work a millisecond that is assumed until measured */
	constructor(initial: number) {
		this.#rate = initial;
	}

	/** Work a millisecond. */
	get perMs(): number {
		return this.#rate;
	}

	/**
	 * Notes finished work.
	 *
	 * @param isBusy - whether work waited; an idle line shows less than it could serve
	 */
	record(work: number, now: number, isBusy: boolean): void {
		this.#windowStart ??= now;
		this.#windowWork += work;
		this.#wasBusy &&= isBusy;
		const elapsedMs = now - this.#windowStart;
		if (elapsedMs < rateWindowMs) {
			return;
		}

		const measured = this.#windowWork / elapsedMs;
		if (this.#wasBusy || measured > this.#rate) {
			this.#rate += rateSmoothingWeight * (measured - this.#rate);
		}

		this.#windowStart = now;
		this.#windowWork = 0;
		this.#wasBusy = true;
	}
}
