/**
 * Work that waits for a slot of an endpoint: a caller's request, a generation of a step, or the scoring of a generation.
 */

export type WorkKind = 'call' | 'text' | 'score';

/** One piece of waiting work. `Need` describes the eligible endpoints. */
export type Waiter<Need> = {
	/** Unique among all waiters of this process. */
	id: string;
	kind: WorkKind;
	need: Need;
	/** Urgency class; 0 is served first. */
	urgency: number;
	/** Flow that it is charged to: a customer or a trainer. */
	turn: string;
	/** Weight of that flow among flows of the same urgency. */
	weight: number;
	/** When it should be finished, on the monotonic clock. */
	dueAt: number;
	/** When it is abandoned, on the monotonic clock. */
	deadlineAt: number;
	/** Expected duration at a typical endpoint, in milliseconds; 0 if unknown. */
	workMs: number;
	/** Orders waiters of the same flow that are due at the same time; the lowest first, 0 by default. */
	rank?: number;
	/** Whether it is refused at once if it can't be served by its deadline; otherwise it waits until then. */
	isRefusable?: boolean;
};

/**
 * Result of a wait.
 *
 * - `granted`: a slot of the endpoint is counted as taken
 * - `refused`: it can't be served by its deadline; nothing has run
 * - `expired`: its deadline passed while it waited; nothing has run
 * - `left`: the waiter was aborted
 */
export type SlotAnswer<Endpoint>
	= | {kind: 'granted'; endpoint: Endpoint}
		| {kind: 'refused'; reason: string; retryAfterMs: number}
		| {kind: 'expired'}
		| {kind: 'left'};
