/**
 * State of one attempt at an agent, from its `open` message until its answer has been acknowledged.
 */
import type {Message, MessageOf, Work} from '@wasabiusher/link';
import {PlatformError} from '@wasabiusher/backends';
import {describeError, type Ran} from '@wasabiusher/shared';
import {AnswerBuffer} from './answer-buffer.js';

/**
 * - `waiting`: queued, and so proven not to have run
 * - `running`: at the endpoint
 * - `draining`: stopped, but the endpoint has not confirmed the stop; still holds its slot
 * - `ended`: has released its slot and keeps only its answer
 */
export type ExecutionState = 'waiting' | 'running' | 'draining' | 'ended';

/** Reasons to stop a run before its end. */
const stopReasons = ['cancelled', 'expired', 'crashed'] as const;

export type StopReason = typeof stopReasons[number];

/** Identifies an attempt of one entry. */
export type AttemptName = {request: string; attempt: number};

export type Execution = {
	readonly id: string;
	readonly peer: string;
	/** The `open` message without the work. */
	readonly open: Omit<MessageOf<'open'>, 'work'>;
	/** Requested model; undefined for plain calls. */
	readonly model?: string;
	readonly buffer: AnswerBuffer;
	/** Arrival at the agent, on the monotonic clock in milliseconds. */
	readonly openedAt: number;
	readonly deadlineAt: number;
	/** Aborted to remove the execution from the queue. Never aborted once it runs, because it holds a slot then. */
	readonly queueAbort: AbortController;
	/** Aborted to stop the run; the reason is a `StopReason`. */
	readonly runAbort: AbortController;
	/** Aborted when the endpoint has restarted or the wait for its confirmation is abandoned, which ends the wait for the stop. */
	readonly restartAbort: AbortController;
	/** Undefined once the execution has ended. */
	work?: Work;
	state: ExecutionState;
	startedAt: number;
	/** When the run was stopped, on the monotonic clock in milliseconds; defined while `draining`. */
	stoppedAt?: number;
	deadlineTimer?: NodeJS.Timeout;
	/** Message that reports the end, unless the answer was complete; repeated after a link was replaced. */
	outcome?: Message;
};

/** Returns an identifier that is unique among the attempts of all entries. */
export function formatExecutionId(peer: string, {request, attempt}: AttemptName): string {
	return `${peer} ${request} ${attempt}`;
}

/** Returns the model that the work requests; undefined for plain calls. */
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
		queueAbort: new AbortController(),
		runAbort: new AbortController(),
		restartAbort: new AbortController(),
		state: 'waiting',
		startedAt: now,
	};
}

/** Whether an execution holds a slot of the endpoint. */
export function isAtEndpoint({state}: Execution): boolean {
	return state === 'running' || state === 'draining';
}

/** Returns the reason why a run was stopped; undefined if it was not. */
export function findStopReason({runAbort}: Execution): StopReason | undefined {
	return stopReasons.find(reason => runAbort.signal.aborted && runAbort.signal.reason === reason);
}

/**
 * Returns whether a failed request has run. `no` requires proof: a `PlatformError` which says that nothing was sent
 * or that the endpoint refused.
 */
export function judgeRan({buffer}: Execution, error: unknown): Ran {
	if (buffer.length > 0) {
		return 'yes';
	}

	const isProvenNot = error instanceof PlatformError && (error.code === 'refused' || error.code === 'unavailable');
	return isProvenNot ? 'no' : 'unknown';
}

/** Creates the message that reports a failed run to its entry. */
export function describeFailure(execution: Execution, error: unknown, hasCrashed: boolean): MessageOf<'failed'> {
	const {request, attempt} = execution.open;
	const ran = judgeRan(execution, error);
	// A request that was never sent because the endpoint was down has not caused the crash.
	const hasCausedCrash = hasCrashed && ran !== 'no';
	return {
		kind: 'failed', request, attempt, ran, reason: describeError(error), hasCrashed: hasCausedCrash,
	};
}
