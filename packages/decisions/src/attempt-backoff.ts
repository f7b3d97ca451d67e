/**
 * Delays further attempts at an endpoint that refuses or does not answer.
 *
 * Load pattern: engines refuse all requests for a model for about a second while they load its new weights, and only the process that ordered the load
 * knows. With all waiting samples sent again after each pause, a third to a half of all attempts met an engine that was loading. After a refusal only
 * one attempt is made at a time, and only its success admits the others; so pauses can be short and the end of the load is detected soon. The same
 * applies to an engine that has stopped answering: each sample sent to it waits for seconds, so only one at a time tries.
 */

/** Shortest and longest pause, in milliseconds. */
export type BackoffBounds = {initialMs: number; maxMs: number};

/** Exponential backoff of one endpoint for one kind of failure. */
export class AttemptBackoff {
	readonly #bounds: BackoffBounds;
	#failures = 0;
	#backoffUntil = Number.NEGATIVE_INFINITY;
	#hasTrialAttempt = false;

	constructor(bounds: BackoffBounds) {
		this.#bounds = bounds;
	}

	/** Whether an attempt may be made now. */
	get canAttempt(): boolean {
		return performance.now() >= this.#backoffUntil && !this.#hasTrialAttempt;
	}

	/** Records the start of an attempt. */
	begin(): void {
		this.#hasTrialAttempt = this.#failures > 0;
	}

	/** Records the end of an attempt, whatever its result. */
	end(): void {
		this.#hasTrialAttempt = false;
	}

	/** Records a failure, such as a refusal or a missing answer. */
	record(): void {
		this.#hasTrialAttempt = false;
		// Simultaneous failures count once.
		if (performance.now() < this.#backoffUntil) {
			return;
		}

		const {initialMs, maxMs} = this.#bounds;
		this.#backoffUntil = performance.now() + Math.min(maxMs, initialMs * (2 ** this.#failures));
		this.#failures += 1;
	}

	recordSuccess(): void {
		this.#failures = 0;
		this.#hasTrialAttempt = false;
	}
}
