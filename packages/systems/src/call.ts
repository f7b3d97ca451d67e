/**
 * Types of calls, their listeners and their records.
 */
import type {AnswerEvent, Work} from '@wasabiusher/link';
import type {Problem, Profile} from '@wasabiusher/shared';

/** A request that the entry has accepted. */
export type Call = {
	/** Unique among all calls of all entries. */
	id: string;
	service: string;
	/** Model that the endpoint must have loaded; undefined for plain services. */
	model?: string;
	work: Work;
	caller: string;
	profileName: string;
	profile: Profile;
	/** Deadline of the complete answer, on the monotonic clock in milliseconds. */
	deadlineAt: number;
	/** Estimated work, in tokens; 1 for a plain call. */
	cost: number;
	fingerprint: string;
	/** Endpoints that the call must not be sent to, because another attempt at the same work runs there. */
	avoid?: readonly string[];
	/** Start of the prompt, by which requests with a common cached prefix are recognised. */
	prefix?: string;
};

/** Receives a call's answer. Exactly one of the event `finished` and `onFailed` ends it. */
export type CallListener = {
	onEvent(event: AnswerEvent, attempt: number): void;
	/** Called when another attempt begins, which invalidates all events so far. Returns false if they can't be discarded. */
	onRestart(): boolean;
	onFailed(problem: Problem): void;
};

/** A call in progress. */
export type Run = {
	/** Endpoints with open attempts of the call. */
	readonly endpoints?: readonly string[];
	/** Stops the work after the caller has disconnected. The listener is not called any more. */
	cancel(): void;
	/** Applies the back-pressure of a slow caller: withholds acknowledgements from the endpoint's agent until `resume`. Undefined if the call can't be paused. */
	pause?(): void;
	resume?(): void;
};

/** How much of the answer the caller had received when the call ended. */
export type Progress = 'nothing' | 'head' | 'content';

/** Record of an ended call, for metrics. */
export type CallRecord = {
	call: Call;
	outcome: 'answered' | 'refused' | 'failed' | 'cancelled';
	/** Problem reported to the caller; undefined if the call was answered or cancelled. */
	problem?: Problem;
	progress: Progress;
	/** Time in the entry's queue, in milliseconds. */
	queueMs: number;
	/** Time from acceptance to the first content, in milliseconds. */
	firstContentMs?: number;
	durationMs: number;
	/** Number of attempts, including those that could not be sent because the link was down. */
	attempts: number;
};
