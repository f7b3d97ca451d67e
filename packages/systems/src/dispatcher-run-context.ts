/**
 * Interfaces between a run and the rest of the dispatcher.
 */
import type {AnswerEvent} from '@wasabiusher/link';
import type {Ran} from '@wasabiusher/shared';
import type {Call, CallRecord} from './call.js';
import type {Attempt} from './dispatcher-attempt.js';
import type {AttemptOutcome} from './dispatcher-outcome.js';
import type {AttemptHistory, Route} from './dispatcher-routing.js';

/** Receives the events and the outcome of an attempt. */
export type AttemptListener = {
	onEvent(attempt: Attempt, event: AnswerEvent): void;
	onSettled(attempt: Attempt, outcome: AttemptOutcome): void;
};

/** State of a call whose attempts so far have failed, on which the retry decision is based. */
export type RetryFacts = {
	/** Whether any attempt of the call may have run. */
	ran: Ran;
	/** Whether the agent refused the last attempt. */
	isRefusal: boolean;
	/** Number of attempts without the refused ones. */
	attempts: number;
	refusals: number;
};

/** Services of the dispatcher that a run uses. */
export type RunContext = {
	/** Called when the call leaves the queue and its run starts. */
	onStarted(call: Call): void;
	choose(call: Call, history: AttemptHistory): Route;
	createAttempt(call: Call, number: number, endpoint: string, listener: AttemptListener): Attempt;
	/** Sends the attempt's request. */
	startAttempt(call: Call, attempt: Attempt, isSuspect: boolean): void;
	/** Returns the delay before the next attempt, in milliseconds, and charges the retry budget; undefined if no retry is allowed. */
	decideRetry(call: Call, facts: RetryFacts): number | undefined;
	/** Returns the time without a first event after which a call counts as slow, in milliseconds; undefined if it may not be hedged. */
	findHedgeDelay(call: Call): number | undefined;
	/** Reserves a second attempt for a slow call. Returns false if the hedging budget or the capacity does not allow one. */
	tryHedge(call: Call, startedAt: number): boolean;
	/** Records the time from sending an attempt to its first event, in milliseconds. */
	onFirstEvent(call: Call, waitMs: number): void;
	/** Called before an attempt. Returns whether it keeps the guarantee that a non-idempotent call runs at most once. */
	checkAtMostOnce(call: Call, mayHaveRun: boolean): boolean;
	/** Called before a problem is reported. Returns the `ran` value that may be reported, given whether any attempt may have run. */
	checkRan(call: Call, ran: Ran, mayHaveRun: boolean): Ran;
	onEnded(call: Call, record: CallRecord): void;
};
