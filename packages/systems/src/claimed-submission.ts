/**
 * One submission of a call with an idempotency key, which is answered exactly once.
 */
import type {RecordedAnswer} from '@wasabiusher/record';
import {createProblem, type Problem} from '@wasabiusher/shared';
import type {Call, CallListener} from './dispatcher.js';

/** Outcome of the run of a key. */
export type SubmissionOutcome
	= | {kind: 'answered'; answer: RecordedAnswer | undefined}
		| {kind: 'doubtful'}
		| {kind: 'released'};

/** One submission of a call. */
export type Submission = {
	call: Call;
	key: string;
	listener: CallListener;
	/** Whether the caller was answered or has disconnected, so that nothing more is reported to it. */
	isEnded: boolean;
	/** Whether a claim of the key exists or may exist, from this or another submission, so that the call can't be reported as not run. */
	mayBeClaimed: boolean;
	timer?: NodeJS.Timeout;
};

/** Ends a submission. Nothing more is reported to the caller. */
export function endSubmission(submission: Submission): void {
	submission.isEnded = true;
	clearTimeout(submission.timer);
}

/** Reports a problem to the caller, unless the submission has ended. */
export function failSubmission(submission: Submission, problem: Problem): void {
	if (!submission.isEnded) {
		endSubmission(submission);
		submission.listener.onFailed(problem);
	}
}

/** Rejects a call whose key was used for a different call. */
export function rejectReusedKey(submission: Submission): void {
	failSubmission(submission, createProblem('conflict', 'header Idempotency-Key: the key was used for a different call; use a new key for each call', 'no'));
}

/** Reports the outcome of the run of a key to the caller. Returns false if the call may still run. */
export function reportOutcome(submission: Submission, outcome: SubmissionOutcome): boolean {
	const reporters: {[Kind in SubmissionOutcome['kind']]: (outcome: Extract<SubmissionOutcome, {kind: Kind}>) => boolean} = {
		released: () => false,
		doubtful() {
			failSubmission(submission, createProblem('endpoint-failed', 'an earlier attempt of this call may have run; its answer is unknown', 'unknown'));
			return true;
		},
		answered({answer}) {
			replay(submission, answer);
			return true;
		},
	};
	// The table pairs each kind with a function of that kind's outcome.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return (reporters[outcome.kind] as (outcome: SubmissionOutcome) => boolean)(outcome);
}

function replay(submission: Submission, answer: RecordedAnswer | undefined): void {
	if (!answer) {
		failSubmission(submission, createProblem('conflict', 'the call has run; its answer was too large to be recorded', 'yes'));
		return;
	}

	if (submission.isEnded) {
		return;
	}

	endSubmission(submission);
	const {status, headers, body} = answer;
	submission.listener.onEvent({kind: 'head', status, headers: {...headers, 'idempotency-replayed': 'true'}}, 1);
	submission.listener.onEvent({kind: 'body', chunk: body}, 1);
	submission.listener.onEvent({kind: 'finished'}, 1);
}
