/**
 * What the model's callers send and what becomes of it.
 */
import type {PriorityClass} from '@wasabiusher/shared';

/** A call of the model. */
export type Call = {
	id: string;
	caller: string;
	class: PriorityClass;
	/** When it is sent, in milliseconds of modelled time. */
	at: number;
	deadlineAt: number;
	/** Milliseconds that it takes on a slot of a healthy endpoint. */
	workMs: number;
	/** What is known of its work beforehand. */
	expectedMs: number;
};

/** Exactly one for each call. */
export type CallOutcome = {
	call: Call;
	kind: 'answered' | 'late' | 'refused' | 'failed';
	/** When the caller was told. */
	at: number;
	/** It had been let in and was given up without being run. */
	hasExpired?: boolean;
};

/** How one policy did on one pattern. */
export type CallRun = {
	outcomes: CallOutcome[];
	/** Attempts that reached an endpoint: when each did. */
	attempts: number[];
	/** Most calls that waited at once. */
	mostWaiting: number;
	/** Endpoint that was out of use: from when to when. */
	ejections: Array<{endpoint: string; from: number; to?: number}>;
};

/** A policy: takes the calls that arrive in a tick, and moves on by one tick. */
export type CallPolicy = {
	readonly run: CallRun;
	/** Calls not ended yet. */
	readonly open: number;
	arrive(call: Call, now: number): void;
	tick(now: number): void;
};

/** Length of a tick in milliseconds. */
export const tickMs = 2;
