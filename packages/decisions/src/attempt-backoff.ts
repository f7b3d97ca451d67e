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
export type BackoffBounds = {firstMs: number; longestMs: number};

/** What an endpoint was found wanting in, and when it may be asked again. */
export class AttemptPause {
	readonly #bounds: BackoffBounds;
	#failures = 0;
	#backoffUntil = Number.NEGATIVE_INFINITY;
	#hasTrialAttempt = false;

	constructor(bounds: BackoffBounds) {
		this.#bounds = bounds;
	}

	/** Whether an attempt may be made now. */
	get isOpen(): boolean {
		return performance.now() >= this.#backoffUntil && !this.#hasTrialAttempt;
	}

	/** Notes that an attempt is made. */
	begin(): void {
		this.#hasTrialAttempt = this.#failures > 0;
	}

	/** Notes that an attempt has ended, whatever came of it. */
	end(): void {
		this.#hasTrialAttempt = false;
	}

	/** Notes a refusal, a silence or the like. */
	record(): void {
		this.#hasTrialAttempt = false;
		// Of those at the same time one counts.
		if (performance.now() < this.#backoffUntil) {
			return;
		}

		const {firstMs, longestMs} = this.#bounds;
		this.#backoffUntil = performance.now() + Math.min(longestMs, firstMs * (2 ** this.#failures));
		this.#failures += 1;
	}

	recordSuccess(): void {
		this.#failures = 0;
		this.#hasTrialAttempt = false;
	}
}
