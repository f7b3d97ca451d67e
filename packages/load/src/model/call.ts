/**
 * Simulated calls and their outcomes.
 */
import type {PriorityClass} from '@wasabiusher/shared';

/** A simulated call. */
export type Call = {
	id: string;
	caller: string;
	class: PriorityClass;
	/** When the call is sent, in milliseconds of simulated time. */
	at: number;
	deadlineAt: number;
	/** Duration on a slot of a healthy endpoint, in milliseconds. */
	workMs: number;
	/** Estimate of `workMs` that is available to the policy beforehand. */
	expectedMs: number;
};

/** The outcome of a call; each call has exactly one. */
export type CallOutcome = {
	call: Call;
	kind: 'answered' | 'late' | 'refused' | 'failed';
	/** When the caller was notified, in milliseconds of simulated time. */
	at: number;
	/** Whether the call was admitted but expired in the queue without running. */
	hasExpired?: boolean;
};

/** Results of one policy on one pattern. */
export type CallRun = {
	outcomes: CallOutcome[];
	/** Start times of the attempts that reached an endpoint. */
	attempts: number[];
	/** Maximum number of calls that waited at the same time. */
	mostWaiting: number;
	/** Periods in which an endpoint was ejected. */
	ejections: Array<{endpoint: string; from: number; to?: number}>;
};

/** A routing policy: receives the calls that arrive in a tick, then advances by one tick. */
export type CallPolicy = {
	readonly run: CallRun;
	/** Number of calls that have no outcome yet. */
	readonly open: number;
	arrive(call: Call, now: number): void;
	tick(now: number): void;
};

/** Length of a tick in milliseconds. */
export const tickMs = 2;
