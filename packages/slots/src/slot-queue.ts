/**
 * Wait queue of one process for slots: calls, generations and scores are served in one order.
 */
import type {SlotAnswer, Waiter, WorkKind} from './waiter.js';

/** Waiters of one flow and urgency class, for `status` and metrics. */
export type FlowCount = {turn: string; urgency: number; waiting: number; oldestMs: number};

/** How many waiters of a kind of work got a kind of answer. */
export type AnswerCount = {kind: WorkKind; answer: SlotAnswer<unknown>['kind']; count: number};

/** The wait queue. */
export type SlotQueue<Need, Endpoint> = {
	/** Number of waiters. */
	readonly size: number;
	/** Answers so far, by kind of work and of answer. */
	readonly counts: readonly AnswerCount[];
	/** Waits for a slot. Resolves at once with `refused` if a refusable waiter can't be served by its deadline. Never rejects. */
	wait(waiter: Waiter<Need>, signal: AbortSignal): Promise<SlotAnswer<Endpoint>>;
	/** Assigns slots that have become free. */
	rescan(): void;
	listFlows(): FlowCount[];
};
