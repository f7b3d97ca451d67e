/**
 * How fast an endpoint works, from the times of single units of work.
 *
 * Load pattern: two of six endpoints take a quarter longer for each event, and single events of any endpoint differ by half,
 * since prompts of other requests are read between them. A mean over few events takes sound endpoints for slow ones by turns: long texts
 * were moved three to eight times, half of the moves to an endpoint that was no faster. The mean over some twenty
 * events differs by less than a twentieth and still tells a slow endpoint within half a second.
 */

/** Units of work that the mean reaches back over. */
const windowUnits = 20;

/** Time after which a measured pace counts for nothing, in milliseconds, so that an endpoint that was slow is tried again. */
const maxAgeMs = 2000;

/** Longest time for a unit of work that counts, in milliseconds; loading weights takes longer. */
const maxUnitMs = 600;

/** Measurements before a pace counts. */
const minUnits = 5;

/** Running mean of the time for a unit of work. */
export class Pace {
	#meanMs = 0;
	#count = 0;
	#lastRecordedAt = Number.NEGATIVE_INFINITY;

	/** Takes one unit into the mean; a pause for new weights says nothing of the pace and is left out. */
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

	/** Time for a unit of work of late, in milliseconds; undefined unless enough was measured lately. */
	get unitMs(): number | undefined {
		return this.#count >= minUnits && performance.now() - this.#lastRecordedAt < maxAgeMs ? this.#meanMs : undefined;
	}
}
