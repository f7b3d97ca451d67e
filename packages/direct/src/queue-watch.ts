/**
 * Ends a run that waits in an endpoint's queue while another endpoint has room.
 *
 * Load pattern: several hosts fill the same slots without knowing of each other, and a text that is moved in its middle joins a queue that was not
 * there when it was chosen. An idle engine begins within some milliseconds, a queue of long texts lasts seconds, and a step waits for its longest text. A
 * run that has not begun can be taken away without loss.
 */

/** Wait for the head of an answer from which another endpoint is looked for, in milliseconds: ten times what an idle endpoint takes. */
const firstPatienceMs = 150;

/** Longest such wait, in milliseconds: it doubles with each queue that was left, so that a sample can't change queues for ever. */
const longestPatienceMs = 1200;

/** Time between looks for an endpoint with room, in milliseconds. */
const lookMs = 50;

/** Why a run was ended: its endpoint has a queue and another one has room. */
export class QueueLeftError extends Error {
	override readonly name = 'QueueLeftError';
}

/** Watches one run until it begins. */
export class QueueWatch {
	readonly #startedAt = performance.now();
	readonly #timer: NodeJS.Timeout;

	/**
	 * @param stop - aborted with a `QueueLeftError` when the run had better begin elsewhere
	 * @param leftQueues - queues that the sample has left before
	 * @param hasRoomElsewhere - whether another endpoint could begin at once
	 */
	constructor(stop: AbortController, leftQueues: number, hasRoomElsewhere: () => boolean) {
		const patienceMs = Math.min(longestPatienceMs, firstPatienceMs * (2 ** leftQueues));
		this.#timer = setInterval(() => {
			const waitedMs = performance.now() - this.#startedAt;
			if (waitedMs >= patienceMs && hasRoomElsewhere()) {
				this.end();
				stop.abort(new QueueLeftError(`not begun after ${Math.round(waitedMs)} ms`));
			}
		}, lookMs);
	}

	/** Watches no more: the run has begun or has ended. */
	end(): void {
		clearInterval(this.#timer);
	}
}
