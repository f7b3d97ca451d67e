/**
 * The best pace that an endpoint has shown of late: what its machine can do, whatever it is busy with.
 *
 * Load pattern: two of six endpoints take a third longer for each event for good, and any of them is three times slower for some seconds now and then.
 * Which model an endpoint follows must depend on the first and not on the second, since each change costs a load of weights.
 */

/** Time for which a best pace is gathered, in milliseconds; it counts for up to twice as long. Slow spells last five to eight seconds. */
const windowMs = 10_000;

/** The least of the paces of two spans. */
export class BestPace {
	#windowStartedAt = Number.NEGATIVE_INFINITY;
	#currentMs: number | undefined;
	#previousMs: number | undefined;

	/** Takes in a pace, in milliseconds for a unit of work. */
	record(unitMs: number): void {
		this.#advance();
		this.#currentMs = Math.min(this.#currentMs ?? Number.POSITIVE_INFINITY, unitMs);
	}

	/** The best pace, in milliseconds for a unit of work; undefined if none was recorded lately. */
	get unitMs(): number | undefined {
		this.#advance();
		const known = [this.#currentMs, this.#previousMs].filter(value => value !== undefined);
		return known.length === 0 ? undefined : Math.min(...known);
	}

	#advance(): void {
		const now = performance.now();
		if (now - this.#windowStartedAt < windowMs) {
			return;
		}

		this.#previousMs = now - this.#windowStartedAt < 2 * windowMs ? this.#currentMs : undefined;
		this.#currentMs = undefined;
		this.#windowStartedAt = now;
	}
}
