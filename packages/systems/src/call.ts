/**
 * What the entry's dispatch is about: calls, who listens to them, and how they ended.
 */
import type {AnswerEvent, Work} from '@wasabiusher/link';
import type {Problem, Profile} from '@wasabiusher/shared';

/** A request as the entry has accepted it. */
export type Call = {
	/** Unique among all calls of all entries. */
	id: string;
	service: string;
	/** For model services; the endpoint must hold it. */
	model?: string;
	work: Work;
	caller: string;
	profileName: string;
	profile: Profile;
	/** On the monotonic clock, in milliseconds; one deadline from the first byte to the last. */
	deadlineAt: number;
	/** Estimated work in tokens, or 1 for a plain call. */
	cost: number;
	fingerprint: string;
	/** Endpoints that it must not be sent to: another attempt at the same work runs there. */
	avoid?: readonly string[];
	/** Start of the prompt, by which requests that share cached text are recognised. */
	prefix?: string;
};

/** Who receives a call's answer. Exactly one of `finished` (an event) and `onFailed` ends it. */
export type CallListener = {
	onEvent(event: AnswerEvent, attempt: number): void;
	/** Another attempt begins; all events so far are void. False if they can't be taken back. */
	onRestart(): boolean;
	onFailed(problem: Problem): void;
};

/** A call on its way. */
export type Run = {
	/** Where its attempts are open. */
	readonly endpoints?: readonly string[];
	/** The caller is gone: stops the work. Its listener hears nothing more. */
	cancel(): void;
	/** The caller reads too slowly: the endpoint's agent is told of no more room until `resume`. None if it can't be held back. */
	pause?(): void;
	resume?(): void;
};

/** How much of an answer the caller had when the call ended. */
export type Progress = 'nothing' | 'head' | 'content';

/** A call that has ended, for metrics. */
export type CallRecord = {
	call: Call;
	outcome: 'answered' | 'refused' | 'failed' | 'cancelled';
	/** What the caller was told, unless it was answered or had gone. */
	problem?: Problem;
	progress: Progress;
	/** Wait for its turn at the entry, in milliseconds. */
	queueMs: number;
	/** From acceptance to the first content, in milliseconds. */
	firstContentMs?: number;
	durationMs: number;
	/** Attempts that were sent to an endpoint, or would have been. */
	attempts: number;
};
