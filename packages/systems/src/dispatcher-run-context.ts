/**
 * What stands between a run and the rest of the dispatcher: what it asks, and what it is told.
 */
import type {AnswerEvent} from '@wasabiusher/link';
import type {Ran} from '@wasabiusher/shared';
import type {Call, CallRecord} from './call.js';
import type {Attempt} from './dispatcher-attempt.js';
import type {AttemptOutcome} from './dispatcher-outcome.js';
import type {History, Route} from './dispatcher-routing.js';

/** What a run is told of one of its attempts. */
export type AttemptOwner = {
	onEvent(attempt: Attempt, event: AnswerEvent): void;
	onSettled(attempt: Attempt, outcome: AttemptOutcome): void;
};

/** What is known when the attempts made so far have failed. */
export type RetryFacts = {
	/** Of all attempts together. */
	ran: Ran;
	/** The last one was refused by the agent at once. */
	isRefusal: boolean;
	attempts: number;
	refusals: number;
};

/** What a run asks of the dispatcher. */
export type RunContext = {
	/** The call's turn has come. */
	onStarted(call: Call): void;
	choose(call: Call, history: History): Route;
	createAttempt(call: Call, number: number, endpoint: string, owner: AttemptOwner): Attempt;
	/** Sends the attempt's request. */
	startAttempt(call: Call, attempt: Attempt, isSuspect: boolean): void;
	/** Wait before a further attempt, in milliseconds, counted against its budget; undefined if none may be made. */
	decideRetry(call: Call, facts: RetryFacts): number | undefined;
	/** Wait for a first event after which a call is slow, in milliseconds; undefined if it may not be hedged. */
	findHedgeDelay(call: Call): number | undefined;
	/** Takes a second attempt for a slow call; false if there is no room for one. */
	tryHedge(call: Call, startedAt: number): boolean;
	/** The first event came so long after the first attempt was sent. */
	onFirstEvent(call: Call, waitMs: number): void;
	/** Before an attempt: whether it keeps the promise of at most one run. */
	checkAtMostOnce(call: Call, mayHaveRun: boolean): boolean;
	/** Before the caller is told: what may be said, given whether any attempt may have run. */
	checkRan(call: Call, ran: Ran, mayHaveRun: boolean): Ran;
	onEnded(call: Call, record: CallRecord): void;
};
