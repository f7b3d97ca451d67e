/**
 * When an endpoint that refuses or is silent is asked again.
 *
 * Load pattern: engines refuse everything of a model for about a second while they load its new weights, and only the process that
 * ordered that knows. With all waiting samples sent again after each pause, a third to a half of all attempts met
 * an engine that was loading. After a refusal one attempt is made at a time, and only its success lets the others
 * through; so pauses can be short and the end of the loading is noticed soon. The same holds for an engine that
 * has gone dark: each sample sent there waits for seconds, so one at a time tries.
 */

/** Shortest and longest pause, in milliseconds. */
export type PauseBounds = {firstMs: number; longestMs: number};

/** What an endpoint was found wanting in, and when it may be asked again. */
export class AttemptPause {
	readonly #bounds: PauseBounds;
	#count = 0;
	#until = Number.NEGATIVE_INFINITY;
	#isTrying = false;

	constructor(bounds: PauseBounds) {
		this.#bounds = bounds;
	}

	/** Whether an attempt may be made now. */
	get isOpen(): boolean {
		return performance.now() >= this.#until && !this.#isTrying;
	}

	/** Notes that an attempt is made. */
	begin(): void {
		this.#isTrying = this.#count > 0;
	}

	/** Notes that an attempt has ended, whatever came of it. */
	end(): void {
		this.#isTrying = false;
	}

	/** Notes a refusal, a silence or the like. */
	record(): void {
		this.#isTrying = false;
		// Of those at the same time one counts.
		if (performance.now() < this.#until) {
			return;
		}

		const {firstMs, longestMs} = this.#bounds;
		this.#until = performance.now() + Math.min(longestMs, firstMs * (2 ** this.#count));
		this.#count += 1;
	}

	recordSuccess(): void {
		this.#count = 0;
		this.#isTrying = false;
	}
}
