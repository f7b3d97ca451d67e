/**
 * The best pace that an endpoint has shown of late: what its machine can do, whatever it is busy with.
 *
 * Load pattern: two of six endpoints take a third longer for each event for good, and any of them is three times slower for some seconds now and then.
 * Which model an endpoint follows must depend on the first and not on the second, since each change costs a load of weights.
 */

/** Time for which a best pace is gathered, in milliseconds; it counts for up to twice as long. Slow spells last five to eight seconds. */
const spanMs = 10_000;

/** The least of the paces of two spans. */
export class BestPace {
	#spanFrom = Number.NEGATIVE_INFINITY;
	#present: number | undefined;
	#last: number | undefined;

	/** Takes in a pace, in milliseconds for a unit of work. */
	record(unitMs: number): void {
		this.#advance();
		this.#present = Math.min(this.#present ?? Number.POSITIVE_INFINITY, unitMs);
	}

	/** The best pace, in milliseconds for a unit of work; undefined if none was recorded lately. */
	get unitMs(): number | undefined {
		this.#advance();
		const known = [this.#present, this.#last].filter(value => value !== undefined);
		return known.length === 0 ? undefined : Math.min(...known);
	}

	#advance(): void {
		const now = performance.now();
		if (now - this.#spanFrom < spanMs) {
			return;
		}

		this.#last = now - this.#spanFrom < 2 * spanMs ? this.#present : undefined;
		this.#present = undefined;
		this.#spanFrom = now;
	}
}
