/**
 * What waits for a slot of an endpoint: a caller's request, a text of a step, or the score of a text.
 */

export type WorkKind = 'call' | 'text' | 'score';

/** One that waits. `Need` says which endpoints fit it. */
export type Waiter<Need> = {
	/** Names it among all that wait in this process. */
	id: string;
	kind: WorkKind;
	need: Need;
	/** Class of urgency; 0 goes first. */
	urgency: number;
	/** Whose turn it uses up: a customer, or a trainer. */
	turn: string;
	/** Weight of that turn among others of the same urgency. */
	weight: number;
	/** When it should be done, on the monotonic clock. */
	dueAt: number;
	/** When it is given up, on the monotonic clock. */
	deadlineAt: number;
	/** Time that it takes at a usual endpoint, in milliseconds; 0 if nobody knows. */
	workMs: number;
	/** Goes before others of the same turn that are due at the same time; the least first, 0 by default. */
	rank?: number;
	/** Whether it is refused at once when it can't be served by its deadline; otherwise it waits until then. */
	isRefusable?: boolean;
};

/**
 * - `granted`: a slot of the endpoint is counted as taken
 * - `refused`: it can't be served in its time; nothing has run
 * - `expired`: its deadline has passed while it waited; nothing has run
 * - `left`: whoever waited has left
 */
export type SlotAnswer<Endpoint>
	= | {kind: 'granted'; endpoint: Endpoint}
		| {kind: 'refused'; reason: string; retryAfterMs: number}
		| {kind: 'expired'}
		| {kind: 'left'};
