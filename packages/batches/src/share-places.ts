/**
 * The places of one share's texts and scores in the line of the host.
 *
 * Load pattern: all samples of a step ask at once, and scores of several steps for one scorer. Texts keep their planned order, also one that comes back from
 * an endpoint that broke; a step that lacks little is whole sooner when its scores go first.
 */
import type {CallPlace} from '@wasabiusher/direct';
import type {Route} from '@wasabiusher/shared';

/** Part of a share's samples that are whole or listed from which its scores go with the urgency of the step itself. */
const nearlyWhole = 0.75;

/** A text's place; see `SampleRequest`. */
export type TextPlace = {turn: string; dueAt: number; rank: number};

/** Places of one share. */
export class SharePlaces {
	readonly #turn: string;
	readonly #dueAt: number;
	readonly #ranks: ReadonlyMap<string, number>;

	/**
	 * @param turn - what batches of one trainer have in common
	 * @param dueAt - when the step should be whole, on the monotonic clock
	 * @param order - ids of the share's samples as they are to be begun
	 */
	constructor(turn: string, dueAt: number, order: readonly string[]) {
		this.#turn = turn;
		this.#dueAt = dueAt;
		this.#ranks = new Map(order.map((id, rank) => [id, rank]));
	}

	/** The place of a text; one out of the plan goes after the others. */
	findText(sample: string): TextPlace {
		return {turn: this.#turn, dueAt: this.#dueAt, rank: this.#ranks.get(sample) ?? this.#ranks.size};
	}

	/**
	 * The place of a score: of one trainer's, those go first whose groups lack the least.
	 *
	 * @param step - route of the step
	 * @param scorer - route of the score
	 * @param missing - samples of its group that are not listed
	 * @param donePart - part of the share's samples that are whole or listed
	 */
	findScore(step: Route | undefined, scorer: Route, missing: number, donePart: number): CallPlace {
		const isUrgent = step !== undefined && donePart >= nearlyWhole;
		return {
			kind: 'score', turn: this.#turn, dueAt: this.#dueAt, rank: missing, urgency: isUrgent ? Math.min(step.priority, scorer.priority) : scorer.priority,
			patienceMs: scorer.objectiveMs,
		};
	}
}
