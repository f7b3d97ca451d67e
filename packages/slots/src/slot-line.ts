/**
 * Where the requests, texts and scores of one process wait for slots, in one order.
 */
import type {SlotAnswer, Waiter, WorkKind} from './waiter.js';

/** Who has how many in a line, for `status` and metrics. */
export type TurnCount = {turn: string; urgency: number; waiting: number; oldestMs: number};

/** How many waiters of a kind have had an answer of a kind. */
export type AnswerCount = {kind: WorkKind; answer: SlotAnswer<unknown>['kind']; count: number};

/** The line. */
export type SlotLine<Need, Endpoint> = {
	/** How many wait. */
	readonly size: number;
	/** Answers so far, by kind of work and of answer. */
	readonly counts: readonly AnswerCount[];
	/** Waits for a slot; refused at once if it can't be served in its time. Never rejects. */
	wait(waiter: Waiter<Need>, signal: AbortSignal): Promise<SlotAnswer<Endpoint>>;
	/** Hands out what has become free. */
	look(): void;
	listTurns(): TurnCount[];
};
