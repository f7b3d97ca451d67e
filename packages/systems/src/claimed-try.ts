/**
 * One caller's try of a keyed call, and how it is told what became of it: exactly once.
 */
import type {RecordedAnswer} from '@wasabiusher/record';
import {createProblem, type Problem} from '@wasabiusher/shared';
import type {Call, CallListener} from './dispatcher.js';

/** How a run under a key has ended. */
export type Ending
	= | {kind: 'answered'; answer: RecordedAnswer | undefined}
		| {kind: 'doubtful'}
		| {kind: 'released'};

/** One caller's try. */
export type Try = {
	call: Call;
	key: string;
	listener: CallListener;
	/** The caller has its answer, is gone, or its call was dispatched and ends by itself. */
	isOver: boolean;
	/** A claim of its key exists or may exist, its own or another try's: nobody can say that it has not run. */
	mayBeClaimed: boolean;
	timer?: NodeJS.Timeout;
};

/** Nothing more is told to the caller. */
export function end(attempt: Try): void {
	attempt.isOver = true;
	clearTimeout(attempt.timer);
}

/** Tells the caller of a problem, unless it has its answer. */
export function fail(attempt: Try, problem: Problem): void {
	if (!attempt.isOver) {
		end(attempt);
		attempt.listener.onFailed(problem);
	}
}

/** Refuses a call whose key stands for another. */
export function refuseReuse(attempt: Try): void {
	fail(attempt, createProblem('conflict', 'header Idempotency-Key: the key was used for another call', 'no'));
}

/** Tells a caller how the run of its key ended; false if the call may run after all. */
export function tell(attempt: Try, ending: Ending): boolean {
	const tellers: {[Kind in Ending['kind']]: (ending: Extract<Ending, {kind: Kind}>) => boolean} = {
		released: () => false,
		doubtful() {
			fail(attempt, createProblem('endpoint-failed', 'an earlier try of this call may have run; its answer is not known', 'unknown'));
			return true;
		},
		answered({answer}) {
			replay(attempt, answer);
			return true;
		},
	};
	// The table pairs each kind with a function of that kind's ending.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return (tellers[ending.kind] as (ending: Ending) => boolean)(ending);
}

function replay(attempt: Try, answer: RecordedAnswer | undefined): void {
	if (!answer) {
		fail(attempt, createProblem('conflict', 'the call has run; its answer was too large to be kept', 'yes'));
		return;
	}

	if (attempt.isOver) {
		return;
	}

	end(attempt);
	const {status, headers, body} = answer;
	attempt.listener.onEvent({kind: 'head', status, headers: {...headers, 'idempotency-replayed': 'true'}}, 1);
	attempt.listener.onEvent({kind: 'body', chunk: body}, 1);
	attempt.listener.onEvent({kind: 'finished'}, 1);
}
