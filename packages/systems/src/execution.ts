/**
 * One attempt at an agent, from its `open` message until its answer has been acknowledged.
 */
import type {Message, MessageOf, Work} from '@wasabiusher/link';
import {PlatformError} from '@wasabiusher/backends';
import {describeError, type Ran} from '@wasabiusher/shared';
import {AnswerBuffer} from './answer-buffer.js';

/**
 * - `waiting`: in the queue, proven not run
 * - `running`: at the endpoint
 * - `draining`: told to stop, which the endpoint has not confirmed; it still holds its slot
 * - `ended`: holds nothing but its answer
 */
export type ExecutionState = 'waiting' | 'running' | 'draining' | 'ended';

/** Why a run was stopped before its end. */
const stopReasons = ['cancelled', 'expired', 'crashed'] as const;

export type StopReason = typeof stopReasons[number];

/** Names an attempt. */
export type AttemptName = {request: string; attempt: number};

export type Execution = {
	readonly id: string;
	readonly peer: string;
	/** What was asked, without the work itself. */
	readonly open: Omit<MessageOf<'open'>, 'work'>;
	/** For model endpoints. */
	readonly model?: string;
	readonly buffer: AnswerBuffer;
	/** On the monotonic clock, in milliseconds. */
	readonly openedAt: number;
	readonly deadlineAt: number;
	/** Aborted to take it out of the queue; never once it runs, for its slot is held then. */
	readonly place: AbortController;
	/** Aborted to end its run; the reason is a `StopReason`. */
	readonly run: AbortController;
	/** Aborted when the endpoint has restarted, so that there is nothing left to stop. */
	readonly gone: AbortController;
	/** Dropped once it has ended. */
	work?: Work;
	state: ExecutionState;
	startedAt: number;
	/** When it was told to stop; while `draining`. */
	stoppedAt?: number;
	deadlineTimer?: NodeJS.Timeout;
	/** How it ended, unless by `finished`; kept for a resumed link. */
	outcome?: Message;
};

/** Unique among the attempts of all entries. */
export function formatExecutionId(peer: string, {request, attempt}: AttemptName): string {
	return `${peer} ${request} ${attempt}`;
}

/** The model that work is for; undefined for plain calls. */
export function findModel(work: Work): string | undefined {
	return work.kind === 'generate' ? work.request.model : undefined;
}

export function createExecution(peer: string, {work, ...open}: MessageOf<'open'>): Execution {
	const now = performance.now();
	return {
		id: formatExecutionId(peer, open),
		peer,
		open,
		work,
		model: findModel(work),
		buffer: new AnswerBuffer(),
		openedAt: now,
		deadlineAt: now + open.remainingMs,
		place: new AbortController(),
		run: new AbortController(),
		gone: new AbortController(),
		state: 'waiting',
		startedAt: now,
	};
}

/** Whether it holds a slot of the endpoint. */
export function isAtEndpoint({state}: Execution): boolean {
	return state === 'running' || state === 'draining';
}

/** Why it was stopped; undefined if nobody stopped it. */
export function findStopReason({run}: Execution): StopReason | undefined {
	return stopReasons.find(reason => run.signal.aborted && run.signal.reason === reason);
}

/**
 * Whether the request had an effect, for all that is known at a failure. `no` needs proof:
 * the platform's layer says that nothing was sent or that the endpoint refused.
 */
export function judgeRan({buffer}: Execution, error: unknown): Ran {
	if (buffer.length > 0) {
		return 'yes';
	}

	const isProvenNot = error instanceof PlatformError && (error.code === 'refused' || error.code === 'unavailable');
	return isProvenNot ? 'no' : 'unknown';
}

/** What the entry is told of a run that failed by itself. */
export function describeFailure(execution: Execution, error: unknown, hasCrashed: boolean): MessageOf<'failed'> {
	const {request, attempt} = execution.open;
	const ran = judgeRan(execution, error);
	// What found the endpoint down already has not brought it down.
	const isToBlame = hasCrashed && ran !== 'no';
	return {
		kind: 'failed', request, attempt, ran, reason: describeError(error), hasCrashed: isToBlame,
	};
}
