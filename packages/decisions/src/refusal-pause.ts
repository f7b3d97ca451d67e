/**
 * When an endpoint that refuses is asked again.
 *
 * Load pattern: engines refuse everything of a model for about a second while they load its new weights, and only the process that
 * ordered that knows. With all waiting samples sent again after each pause, a third to a half of all attempts met
 * an engine that was loading. After a refusal one attempt is made at a time, and only its success lets the others
 * through; so pauses can be short and the end of the loading is noticed soon.
 */

/** First and longest pause, in milliseconds: some requests' service time, and a sixth of the time that loading takes. */
const firstPauseMs = 50;
const longestPauseMs = 150;

/** Refusals of one endpoint, and when it may be asked again. */
export class RefusalPause {
	#refusals = 0;
	#until = Number.NEGATIVE_INFINITY;
	#isTrying = false;

	/** Whether an attempt may be made now. */
	get isOpen(): boolean {
		return performance.now() >= this.#until && !this.#isTrying;
	}

	/** Notes that an attempt is made. */
	begin(): void {
		this.#isTrying = this.#refusals > 0;
	}

	/** Notes that an attempt has ended, whatever came of it. */
	end(): void {
		this.#isTrying = false;
	}

	recordRefusal(): void {
		this.#isTrying = false;
		// Of refusals at the same time one counts.
		if (performance.now() < this.#until) {
			return;
		}

		this.#until = performance.now() + Math.min(longestPauseMs, firstPauseMs * (2 ** this.#refusals));
		this.#refusals += 1;
	}

	recordSuccess(): void {
		this.#refusals = 0;
		this.#isTrying = false;
	}
}
