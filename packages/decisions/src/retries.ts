/**
 * Whether and when a failed attempt is made again.
 *
 * Load pattern: all endpoints fail for some seconds. Without this each failure turns into more load, several
 * times over where two layers retry, and keeps the endpoints down when they would come back. Only entries retry;
 * agents never do. Each caller has a budget that is a part of its first tries.
 */
import {dropOldest, type Ran, type Random} from '@wasabiusher/shared';

/** Retries for each first try. In the experiment's outage of 10 s attempts are 1.15 times the first tries, what 30 callers had saved up included. */
const retryRatio = 0.1;

/** Retries that a caller may have saved up: enough for a single failure now and then of a caller that sends little. */
const maxSavedRetries = 3;

/** Callers remembered; the one unused longest is forgotten first, and starts again with what may be saved up. */
const maxCallers = 10_000;

/** Attempts of one request, the first included. */
export const maxAttempts = 3;

/** Times that one request may be sent on after an agent refused it for want of a slot; costs endpoints nothing. */
const maxReroutes = 3;

/** Mean wait before the first retry, in milliseconds; doubles with each, spread by full jitter (Brooker, 2015). */
const initialDelayMs = 50;

/** What is known when an attempt has failed. */
export type FailedAttempt = {
	caller: string;
	/** Whether the attempt may have had an effect; `no` only if proven. */
	ran: Ran;
	isIdempotent: boolean;
	/** The agent refused it at once, as its line was full or it is leaving; the endpoint was not reached. */
	isRefusal: boolean;
	/** Attempts that reached an endpoint or were lost on the way, this one included. */
	attempts: number;
	/** Refusals so far, this one included. */
	refusals: number;
	deadlineAt: number;
	/** Time that an attempt is expected to take, in milliseconds. */
	serviceMs: number;
};

export type RetryDecision
	= | {kind: 'retry'; delayMs: number}
		| {kind: 'give-up'; reason: 'may-have-run' | 'attempts-spent' | 'budget-spent' | 'deadline-too-near'};

/** Token bucket for each caller that bounds retries to a part of its first tries. */
export class RetryBudget {
	readonly #tokens = new Map<string, number>();

	recordFirstTry(caller: string): void {
		this.#set(caller, Math.min(maxSavedRetries, this.#get(caller) + retryRatio));
	}

	/** Takes one retry; false when the budget is spent. */
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

/** Decides on a failed attempt; takes from the budget if it is to be made again. */
export function decideRetry(failure: FailedAttempt, budget: RetryBudget, random: Random, now: number): RetryDecision {
	const {ran, isIdempotent, isRefusal, attempts, refusals, deadlineAt, serviceMs} = failure;
	if (ran !== 'no' && !isIdempotent) {
		return {kind: 'give-up', reason: 'may-have-run'};
	}

	if (attempts >= maxAttempts || refusals > maxReroutes) {
		return {kind: 'give-up', reason: 'attempts-spent'};
	}

	// A refusal is answered at once by another endpoint's agent; there is nothing to wait for.
	const delayMs = isRefusal ? 0 : random.next() * 2 * initialDelayMs * (2 ** (attempts - 1));
	if (now + delayMs + serviceMs > deadlineAt) {
		return {kind: 'give-up', reason: 'deadline-too-near'};
	}

	return isRefusal || budget.tryTake(failure.caller) ? {kind: 'retry', delayMs} : {kind: 'give-up', reason: 'budget-spent'};
}
