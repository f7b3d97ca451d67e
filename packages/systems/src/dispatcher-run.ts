/**
 * Runs one call from its acceptance to its end: makes attempts one after another where retries
 * are safe, and hedges with a second attempt where the profile allows it.
 */
import type {AnswerEvent} from '@wasabiusher/link';
import {
	createProblem, describeError, type Problem, type Ran,
} from '@wasabiusher/shared';
import type {
	Call, CallListener, CallRecord, Run,
} from './call.js';
import type {Attempt} from './dispatcher-attempt.js';
import type {Route} from './dispatcher-routing.js';
import type {AttemptListener, RunContext} from './dispatcher-run-context.js';
import {CallTimes} from './call-times.js';
import {
	describeExpiry, describeFailure, mergeRan, type AttemptFailure, type AttemptOutcome,
} from './dispatcher-outcome.js';

/** Abort reason of ended runs. Shared, because creating an error per call takes longer than a routing decision. */
const callEndedError = new Error('the call has ended');

/** A call in progress. */
export class CallRun implements Run {
	readonly call: Call;
	/** Aborted when the run ends without an answer, which removes it from its queue and ends a retry delay. */
	readonly abort = new AbortController();
	readonly #listener: CallListener;
	readonly #context: RunContext;
	readonly #times = new CallTimes();
	readonly #expiry: NodeJS.Timeout;
	readonly #attemptListener: AttemptListener;
	readonly #open = new Set<Attempt>();
	/** Endpoints that have failed or refused this call. */
	readonly #tried: Set<string>;
	#isEnded = false;
	#isPaused = false;
	#isHedged = false;
	#attempts = 0;
	#refusals = 0;
	#crashes = 0;
	/** Number of attempts that are not proven not to have run. Counted independently of `#ran`, so that the invariant checks can compare the two. */
	#unprovenAttempts = 0;
	/** When the first attempt of the current round was sent, on the monotonic clock. */
	#roundStartedAt = 0;
	/** Whether any of the attempts that have ended may have run. */
	#ran: Ran = 'no';
	/** The attempt whose events are passed on: the first to deliver one. */
	#winner: Attempt | undefined;
	#failure: AttemptFailure | undefined;
	#onRoundEnd: (() => void) | undefined;

	constructor(call: Call, listener: CallListener, context: RunContext) {
		this.call = call;
		this.#tried = new Set(call.avoid);
		this.#listener = listener;
		this.#context = context;
		this.#attemptListener = {
			onEvent: (attempt, event) => {
				this.#receive(attempt, event);
			},
			onSettled: (attempt, outcome) => {
				this.#settle(attempt, outcome);
			},
		};
		this.#expiry = setTimeout(() => {
			this.#expire();
		}, Math.max(0, call.deadlineAt - performance.now()));
	}

	get id(): string {
		return this.call.id;
	}

	/** Makes attempts until one completes or no retry is allowed. Resolves when the run has ended. */
	async drive(): Promise<void> {
		this.#times.recordStart();
		this.#context.onStarted(this.call);
		if (performance.now() >= this.call.deadlineAt) {
			this.#expire();
		}

		while (!this.#isEnded && this.#context.checkAtMostOnce(this.call, this.#unprovenAttempts > 0)) {
			const route = this.#choose();
			if (route.kind !== 'endpoint') {
				this.#failUnrouted(route);
				return;
			}

			// Attempts of one call are sequential.
			// eslint-disable-next-line no-await-in-loop
			await this.#runRound(route);
			const delayMs = this.#isEnded ? undefined : this.#decideRetry();
			if (delayMs === undefined) {
				break;
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#wait(delayMs);
		}

		this.#failUnrouted({kind: 'none'});
	}

	/** Ends the run with a problem before it is started. */
	refuse(problem: Problem): void {
		this.#fail(problem);
	}

	cancel(): void {
		if (!this.#isEnded) {
			this.#end('cancelled');
		}
	}

	pause(): void {
		this.#isPaused = true;
		for (const attempt of this.#open) {
			attempt.pause();
		}
	}

	resume(): void {
		this.#isPaused = false;
		for (const attempt of this.#open) {
			attempt.resume();
		}
	}

	#choose(): Route {
		return this.#context.choose(this.call, {tried: this.#tried, crashes: this.#crashes});
	}

	/** Ends the run because no endpoint may take it; the problem reflects the failures of its attempts. */
	#failUnrouted(route: Exclude<Route, {kind: 'endpoint'}>): void {
		const {idempotent: isIdempotent} = this.call.profile;
		this.#fail(route.kind === 'quarantined'
			? createProblem('quarantined', 'this request was in flight when endpoints crashed; it is not run until its quarantine ends', this.#ran, route.retryAfterMs)
			: describeFailure({failure: this.#failure, ran: this.#ran, isIdempotent}));
	}

	/** Runs one attempt, or two concurrent ones if the call is hedged. Resolves when none of them is open any more. */
	async #runRound({id, isSuspect}: Extract<Route, {kind: 'endpoint'}>): Promise<void> {
		const roundEnd = new Promise<void>(resolve => {
			this.#onRoundEnd = resolve;
		});
		const sentAt = performance.now();
		this.#roundStartedAt = sentAt;
		this.#startAttempt(id, isSuspect);
		// A request that may have crashed an endpoint must not run at two of them.
		const delayMs = isSuspect ? undefined : this.#context.findHedgeDelay(this.call);
		const hedge = delayMs === undefined
			? undefined
			: setTimeout(() => {
				this.#hedge(sentAt);
			}, delayMs);
		await roundEnd;
		clearTimeout(hedge);
	}

	#startAttempt(endpoint: string, isSuspect: boolean): void {
		this.#attempts += 1;
		this.#unprovenAttempts += 1;
		this.#tried.add(endpoint);
		const attempt = this.#context.createAttempt(this.call, this.#attempts, endpoint, this.#attemptListener);
		this.#open.add(attempt);
		if (this.#isPaused) {
			attempt.pause();
		}

		this.#context.startAttempt(this.call, attempt, isSuspect);
	}

	#hedge(sentAt: number): void {
		if (this.#open.size !== 1 || this.#winner) {
			return;
		}

		const route = this.#choose();
		if (route.kind === 'endpoint' && !route.isSuspect && this.#context.tryHedge(this.call, sentAt)) {
			this.#isHedged = true;
			this.#startAttempt(route.id, false);
		}
	}

	#receive(attempt: Attempt, event: AnswerEvent): void {
		if (this.#isEnded || !this.#claimAnswer(attempt)) {
			return;
		}

		this.#times.recordEvent(event);
		// The run ends first: the listener closes the connection, which would otherwise count as a cancellation.
		if (event.kind === 'finished') {
			this.#end('answered');
		}

		try {
			this.#listener.onEvent(event, attempt.number);
		} catch (error) {
			this.#fail(createProblem('endpoint-failed', `the answer could not be passed on to the caller: ${describeError(error)}`, 'yes'));
		}
	}

	/** Returns whether the events of an attempt are the answer. The first attempt to deliver an event wins; the others are cancelled. */
	#claimAnswer(attempt: Attempt): boolean {
		if (!this.#winner) {
			this.#winner = attempt;
			if (!this.#isHedged) {
				this.#context.onFirstEvent(this.call, performance.now() - this.#roundStartedAt);
			}

			for (const other of this.#open) {
				if (other !== attempt) {
					this.#cancelAttempt(other);
				}
			}
		}

		return this.#winner === attempt;
	}

	/** Cancels an attempt that is not needed any more. It may have run. */
	#cancelAttempt(attempt: Attempt): void {
		this.#open.delete(attempt);
		this.#ran = mergeRan(this.#ran, attempt.ran);
		attempt.cancel();
	}

	#settle(attempt: Attempt, outcome: AttemptOutcome): void {
		if (!this.#open.delete(attempt)) {
			return;
		}

		if (outcome.kind === 'failed') {
			// An event received from the attempt proves that it ran, whatever its agent reports at its end.
			const ranByEvents = this.#winner === attempt ? 'yes' : 'no';
			this.#ran = mergeRan(mergeRan(this.#ran, outcome.ran), ranByEvents);
			this.#unprovenAttempts -= Number(outcome.ran === 'no');
			this.#failure = outcome;
			this.#refusals += Number(outcome.refusal !== undefined);
			this.#crashes += Number(outcome.hasCrashed);
		}

		if (outcome.kind === 'stopped') {
			this.#ran = mergeRan(this.#ran, attempt.ran);
			this.#failure = {
				kind: 'failed', ran: attempt.ran, reason: 'the endpoint stopped the request', hasCrashed: false,
			};
		}

		if (this.#open.size === 0) {
			this.#onRoundEnd?.();
		}
	}

	/** Returns the delay before the next attempt, in milliseconds; undefined if the call must not be retried. */
	#decideRetry(): number | undefined {
		const ran = this.#ran;
		if (ran !== 'no' && !this.call.profile.idempotent) {
			return undefined;
		}

		if (this.#winner && !this.#listener.onRestart()) {
			return undefined;
		}

		this.#winner = undefined;
		this.#times.restart();
		const refusals = this.#refusals;
		return this.#context.decideRetry(this.call, {
			ran, isRefusal: this.#failure?.refusal !== undefined, attempts: this.#attempts - refusals, refusals,
		});
	}

	async #wait(ms: number): Promise<void> {
		if (ms <= 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, ms);
			this.abort.signal.addEventListener('abort', () => {
				clearTimeout(timer);
				resolve();
			}, {once: true});
		});
	}

	#expire(): void {
		let ran = this.#ran;
		for (const attempt of this.#open) {
			ran = mergeRan(ran, attempt.ran);
		}

		this.#fail(describeExpiry(ran, this.call.profile.idempotent));
	}

	#fail(problem: Problem): void {
		if (this.#isEnded) {
			return;
		}

		const ran = this.#context.checkRan(this.call, problem.ran, this.#unprovenAttempts > 0);
		const reported = ran === problem.ran ? problem : {...problem, ran};
		this.#end(ran === 'no' ? 'refused' : 'failed', reported);
		this.#listener.onFailed(reported);
	}

	/** Ends the run. Called once; unless the call was answered, cancels all open attempts. */
	#end(outcome: CallRecord['outcome'], problem?: Problem): void {
		this.#isEnded = true;
		clearTimeout(this.#expiry);
		if (outcome !== 'answered') {
			for (const attempt of this.#open) {
				this.#cancelAttempt(attempt);
			}

			this.abort.abort(callEndedError);
		}

		this.#onRoundEnd?.();
		this.#context.onEnded(this.call, {
			call: this.call, outcome, problem, attempts: this.#attempts, ...this.#times.describe(),
		});
	}
}
