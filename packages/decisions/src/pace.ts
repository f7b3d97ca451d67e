/**
 * Measures the pace of an endpoint from the times of single units of work.
 *
 * Load pattern: two of six endpoints take a quarter longer for each event, and single events of any endpoint differ by half, since prompts of other
 * requests are processed between them. A mean over few events makes healthy endpoints look slow now and then: long generations were moved three to eight
 * times, half of the moves to an endpoint that was no faster. The mean over some twenty events varies by less than a twentieth and still detects a slow
 * endpoint within half a second.
 */

/** Number of units of work in the running mean. */
const windowUnits = 20;

/** Time after which a measured pace expires, in milliseconds, so that an endpoint that was slow is tried again. */
const maxAgeMs = 2000;

/** Maximum time for a unit of work that is recorded, in milliseconds; loading weights takes longer. */
const maxUnitMs = 600;

/** Minimum number of measurements for a valid pace. */
const minUnits = 5;

/** Running mean of the time for a unit of work. */
export class Pace {
	#meanMs = 0;
	#count = 0;
	#lastRecordedAt = Number.NEGATIVE_INFINITY;

	/** Adds one unit to the mean; a pause for new weights says nothing about the pace and is ignored. */
	record(unitMs: number): void {
		if (unitMs > maxUnitMs) {
			return;
		}

		const now = performance.now();
		if (now - this.#lastRecordedAt > maxAgeMs) {
			this.#count = 0;
		}

		this.#count = Math.min(windowUnits, this.#count + 1);
		this.#meanMs += (unitMs - this.#meanMs) / this.#count;
		this.#lastRecordedAt = now;
	}

	/** Recent time per unit of work, in milliseconds; undefined without enough recent measurements. */
	get unitMs(): number | undefined {
		return this.#count >= minUnits && performance.now() - this.#lastRecordedAt < maxAgeMs ? this.#meanMs : undefined;
	}
}
