/**
 * Outcomes of attempts, and the problems that they are reported to the caller as.
 */
import type {AdmissionDecision, RefusalReason} from '@wasabiusher/decisions';
import type {Message, Refusal} from '@wasabiusher/link';
import {
	createProblem, type Problem, type ProblemKind, type Ran,
} from '@wasabiusher/shared';

/** An attempt that did not finish. */
export type AttemptFailure = {
	kind: 'failed';
	ran: Ran;
	reason: string;
	hasCrashed: boolean;
	/** Reason of the agent's refusal; undefined if it did not refuse. */
	refusal?: Refusal;
	retryAfterMs?: number;
};

/** How an attempt ended. `stopped` only follows a cancellation. */
export type AttemptOutcome = {kind: 'finished'} | {kind: 'stopped'} | AttemptFailure;

/** Minimum time after which a refused caller may retry, in milliseconds. */
export const retryAfterMs = 1000;

const ranOrder: readonly Ran[] = ['no', 'unknown', 'yes'];

/**
 * Combines what is known of two attempts of a call.
 *
 * If one attempt may have run, the call may have run, whatever happened to the others.
 */
export function mergeRan(a: Ran, b: Ran): Ran {
	return ranOrder[Math.max(ranOrder.indexOf(a), ranOrder.indexOf(b))]!;
}

/** Returns the outcome that a message reports; undefined if it does not end the attempt. */
export function toOutcome(message: Message): AttemptOutcome | undefined {
	if (message.kind === 'refused') {
		const {reason, retryAfterMs: waitMs} = message;
		return {
			kind: 'failed', ran: 'no', reason: `the endpoint's agent refused: ${reason}`, hasCrashed: false, refusal: reason, retryAfterMs: waitMs,
		};
	}

	if (message.kind === 'failed') {
		const {ran, reason, hasCrashed} = message;
		return {
			kind: 'failed', ran, reason, hasCrashed,
		};
	}

	return message.kind === 'stopped' ? {kind: 'stopped'} : undefined;
}

/** Problem kinds of refusals; `unavailable` for the others. */
const refusalProblems: Partial<Record<Refusal, ProblemKind>> = {
	overloaded: 'overloaded',
	expired: 'deadline-exceeded',
	quarantined: 'quarantined',
};

function chooseProblemKind(failure: AttemptFailure | undefined, ran: Ran): ProblemKind {
	const byRefusal = failure?.refusal && refusalProblems[failure.refusal];
	if (ran === 'no') {
		return byRefusal ?? 'unavailable';
	}

	return byRefusal === 'quarantined' ? byRefusal : 'endpoint-failed';
}

export type FailureSummary = {
	/** Failure of the last attempt; undefined if no endpoint could be chosen. */
	failure: AttemptFailure | undefined;
	/** Whether any attempt of the call may have run. */
	ran: Ran;
	isIdempotent: boolean;
};

/**
 * Returns the time after which the caller may retry the call, in milliseconds; undefined if a retry could run it twice.
 */
export function findRetryAfter({failure, ran, isIdempotent}: FailureSummary): number | undefined {
	return ran === 'no' || isIdempotent ? failure?.retryAfterMs ?? retryAfterMs : undefined;
}

/** Returns the problem to report for a call whose attempts have all failed. */
export function describeFailure(summary: FailureSummary): Problem {
	const {failure, ran} = summary;
	const kind = chooseProblemKind(failure, ran);
	const detail = failure?.reason ?? 'no endpoint is available for this request';
	return createProblem(kind, detail, ran, kind === 'quarantined' ? failure?.retryAfterMs : findRetryAfter(summary));
}

/** Returns the problem to report for a call whose deadline has passed. */
export function describeExpiry(ran: Ran, isIdempotent: boolean): Problem {
	return createProblem('deadline-exceeded', 'the deadline passed before the answer was complete', ran, findRetryAfter({failure: undefined, ran, isIdempotent}));
}

const refusalDetails: Readonly<Record<RefusalReason, string>> = {
	'deadline-too-near': 'the expected wait exceeds the time left until the deadline',
	'queue-full': 'the maximum number of requests is queued',
	'work-full': 'the maximum amount of work is queued',
	'caller-full': 'this caller has reached its maximum of queued requests or work',
};

/** Returns the problem to report for a call that was not admitted to the queue. */
export function describeRefusal({reason, retryAfterMs: waitMs}: Extract<AdmissionDecision, {kind: 'refused'}>): Problem {
	return createProblem('overloaded', refusalDetails[reason], 'no', waitMs);
}
