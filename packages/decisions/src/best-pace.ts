/**
 * Tracks the best recent pace of an endpoint: what its machine can do, independent of its load.
 *
 * Load pattern: two of six endpoints permanently take a third longer for each event, and any of them is three times slower for some seconds now and
 * then. The model that an endpoint follows must depend on the former and not on the latter, since each change costs a load of weights.
 */

/** Length of a window in milliseconds; a best pace is valid for up to twice as long. Slow episodes last five to eight seconds. */
const windowMs = 10_000;

/** Best pace of the current and the previous window. */
export class BestPace {
	#windowStartedAt = Number.NEGATIVE_INFINITY;
	#currentMs: number | undefined;
	#previousMs: number | undefined;

	/** Records a pace, in milliseconds per unit of work. */
	record(unitMs: number): void {
		this.#advance();
		this.#currentMs = Math.min(this.#currentMs ?? Number.POSITIVE_INFINITY, unitMs);
	}

	/** Best pace, in milliseconds per unit of work; undefined without recent records. */
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
