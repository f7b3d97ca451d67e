/**
 * Positions of one share's generations and scores in the wait queue of the host.
 *
 * Load pattern: all samples of a step request slots at once, and scores of several steps compete for one scorer. Generations keep their planned order, also
 * when they return to the queue because their endpoint failed. A step that is nearly complete finishes earlier if its scores go first.
 */
import type {QueuePosition} from '@wasabiusher/direct';
import type {Route} from '@wasabiusher/shared';

/** Fraction of a share's samples that must be complete or listed before its scores are queued with the urgency of the step itself. */
const urgentFraction = 0.75;

/** Queue position of a generation; see `SampleRequest`. */
export type GenerationPosition = {turn: string; dueAt: number; rank: number};

/** Queue positions of one share. */
export class QueuePositions {
	readonly #flow: string;
	readonly #dueAt: number;
	readonly #ranks: ReadonlyMap<string, number>;

	/**
	 * @param flow - series of the batch, which identifies the trainer
	 * @param dueAt - time at which the step should be complete, on the monotonic clock
	 * @param order - ids of the share's samples in their starting order
	 */
	constructor(flow: string, dueAt: number, order: readonly string[]) {
		this.#flow = flow;
		this.#dueAt = dueAt;
		this.#ranks = new Map(order.map((id, rank) => [id, rank]));
	}

	/** Returns the position of a generation; samples outside the planned order go last. */
	findGeneration(sample: string): GenerationPosition {
		return {turn: this.#flow, dueAt: this.#dueAt, rank: this.#ranks.get(sample) ?? this.#ranks.size};
	}

	/**
	 * Returns the position of a score. Within one trainer, scores whose groups have the fewest missing results go first.
	 *
	 * @param step - route of the step
	 * @param scorer - route of the score
	 * @param missing - number of samples of its group without a result
	 * @param doneFraction - fraction of the share's samples that are complete or listed
	 */
	findScore(step: Route | undefined, scorer: Route, missing: number, doneFraction: number): QueuePosition {
		const isUrgent = step !== undefined && doneFraction >= urgentFraction;
		return {
			kind: 'score', turn: this.#flow, dueAt: this.#dueAt, rank: missing, urgency: isUrgent ? Math.min(step.priority, scorer.priority) : scorer.priority,
			maxWaitMs: scorer.objectiveMs,
		};
	}
}
