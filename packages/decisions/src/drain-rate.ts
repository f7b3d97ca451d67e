/**
 * Measures the rate at which work is served, from which waits are estimated.
 *
 * Load pattern: capacity changes with request lengths and with endpoints that are lost or added. With a fixed rate, admission would let in too much or
 * refuse what could be served.
 */

/** Weight of the newest window in the measured rate; five windows replace 97% of the earlier value. */
const rateSmoothingWeight = 0.5;

/** Length of a window in milliseconds: long enough for some finished requests, short enough to follow the loss of an endpoint. */
const rateWindowMs = 500;

/** Work served per millisecond while there is a backlog, measured over short windows. */
export class DrainRate {
	#rate: number;
	#windowStart: number | undefined;
	#windowWork = 0;
	#wasBusy = true;

	/** @param initial - assumed work per millisecond until measured */
	constructor(initial: number) {
		this.#rate = initial;
	}

	/** Work per millisecond. */
	get perMs(): number {
		return this.#rate;
	}

	/**
	 * Records finished work.
	 *
	 * @param isBusy - whether work was waiting; without a backlog the rate is below capacity
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
