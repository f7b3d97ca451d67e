/**
 * Decides whether and when a failed attempt is retried.
 *
 * Load pattern: all endpoints fail for some seconds. Without a budget each failure causes more load, multiplied where two layers retry, and prevents the
 * endpoints from recovering. Only entries retry; agents never do. The retry budget of each caller is a fraction of its first attempts.
 */
import {dropOldest, type Ran, type Random} from '@wasabiusher/shared';

/** Retries per first attempt. In the experiment's outage of 10 s there are 1.15 attempts per first attempt, including the saved retries of 30 callers. */
const retryRatio = 0.1;

/** Maximum number of retries that a caller can save: enough for an occasional failure of a caller that sends little. */
const maxSavedRetries = 3;

/** Maximum number of remembered callers; the least recently used is removed first, and starts again with the maximum of saved retries. */
const maxCallers = 10_000;

/** Maximum number of attempts of one request, including the first. */
export const maxAttempts = 3;

/** Maximum number of times that one request is rerouted after an agent refused it for lack of a slot; costs endpoints nothing. */
const maxReroutes = 3;

/** Mean delay before the first retry, in milliseconds; doubles with each retry, with full jitter (Brooker, 2015). */
const initialDelayMs = 50;

/** A failed attempt. */
export type FailedAttempt = {
	caller: string;
	/** Whether the attempt may have had an effect; `no` only if that is proven. */
	ran: Ran;
	isIdempotent: boolean;
	/** The agent refused it immediately, as its queue was full or it is leaving; it did not reach the endpoint. */
	isRefusal: boolean;
	/** Number of attempts that reached an endpoint or were lost in transit, including this one. */
	attempts: number;
	/** Number of refusals so far, including this one. */
	refusals: number;
	deadlineAt: number;
	/** Expected duration of an attempt, in milliseconds. */
	serviceMs: number;
};

export type RetryDecision
	= | {kind: 'retry'; delayMs: number}
		| {kind: 'give-up'; reason: 'may-have-run' | 'attempts-spent' | 'budget-spent' | 'deadline-too-near'};

/** Token bucket per caller that limits retries to a fraction of its first attempts. */
export class RetryBudget {
	readonly #tokens = new Map<string, number>();

	recordFirstTry(caller: string): void {
		this.#set(caller, Math.min(maxSavedRetries, this.#get(caller) + retryRatio));
	}

	/** Takes one retry from the budget; returns false when it is spent. */
	tryTake(caller: string): boolean {
		const tokens = this.#get(caller);
		if (tokens < 1) {
			return false;
		}

		this.#set(caller, tokens - 1);
		return true;
	}

	#get(caller: string): number {
		return this.#tokens.get(caller) ?? maxSavedRetries;
	}

	#set(caller: string, tokens: number): void {
		this.#tokens.delete(caller);
		this.#tokens.set(caller, tokens);
		dropOldest(this.#tokens, maxCallers);
	}
}

/** Decides whether to retry a failed attempt; a retry is taken from the budget. */
export function decideRetry(failure: FailedAttempt, budget: RetryBudget, random: Random, now: number): RetryDecision {
	const {ran, isIdempotent, isRefusal, attempts, refusals, deadlineAt, serviceMs} = failure;
	if (ran !== 'no' && !isIdempotent) {
		return {kind: 'give-up', reason: 'may-have-run'};
	}

	if (attempts >= maxAttempts || refusals > maxReroutes) {
		return {kind: 'give-up', reason: 'attempts-spent'};
	}

	// After a refusal another endpoint's agent can answer immediately, so there is nothing to wait for.
	const delayMs = isRefusal ? 0 : random.next() * 2 * initialDelayMs * (2 ** (attempts - 1));
	if (now + delayMs + serviceMs > deadlineAt) {
		return {kind: 'give-up', reason: 'deadline-too-near'};
	}

	return isRefusal || budget.tryTake(failure.caller) ? {kind: 'retry', delayMs} : {kind: 'give-up', reason: 'budget-spent'};
}
