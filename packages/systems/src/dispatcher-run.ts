/**
 * One call from its acceptance to its one end: attempts that follow one another where
 * that is safe, a second one beside the first where the profile allows it.
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
import type {AttemptOwner, RunContext} from './dispatcher-run-context.js';
import {CallTimes} from './call-times.js';
import {
	describeExpiry, describeFailure, mergeRan, type AttemptFailure, type AttemptOutcome,
} from './dispatcher-outcome.js';

/** Why what waited for a run is given up; one for all, since making one for each takes longer than a routing decision. */
const endedReason = new Error('the call has ended');

/** A call on its way. */
export class CallRun implements Run {
	readonly call: Call;
	/** Aborted when the run has ended without an answer, which takes it out of whatever it waits in. */
	readonly abort = new AbortController();
	readonly #listener: CallListener;
	readonly #context: RunContext;
	readonly #times = new CallTimes();
	readonly #expiry: NodeJS.Timeout;
	readonly #owner: AttemptOwner;
	readonly #open = new Set<Attempt>();
	/** Endpoints that have failed or refused this call. */
	readonly #tried: Set<string>;
	#isEnded = false;
	#isPaused = false;
	#isHedged = false;
	#attempts = 0;
	#refusals = 0;
	#crashes = 0;
	/** Attempts that are not proven not to have run, counted apart from what `#ran` says. */
	#doubtful = 0;
	/** When the last attempt that followed another was sent. */
	#roundAt = 0;
	/** Of the attempts that are over. */
	#ran: Ran = 'no';
	/** The attempt whose events are the answer: the first that had any. */
	#winner: Attempt | undefined;
	#failure: AttemptFailure | undefined;
	#onRoundOver: (() => void) | undefined;

	constructor(call: Call, listener: CallListener, context: RunContext) {
		this.call = call;
		this.#tried = new Set(call.avoid);
		this.#listener = listener;
		this.#context = context;
		this.#owner = {
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

	/** Makes attempts until one is whole or none may follow; resolves when the run has ended. */
	async drive(): Promise<void> {
		this.#times.recordStart();
		this.#context.onStarted(this.call);
		if (performance.now() >= this.call.deadlineAt) {
			this.#expire();
		}

		while (!this.#isEnded && this.#context.checkAtMostOnce(this.call, this.#doubtful > 0)) {
			const route = this.#choose();
			if (route.kind !== 'endpoint') {
				this.#failWithout(route);
				return;
			}

			// Attempts of one call follow one another.
			// eslint-disable-next-line no-await-in-loop
			await this.#makeRound(route);
			const delayMs = this.#isEnded ? undefined : this.#decideRetry();
			if (delayMs === undefined) {
				break;
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#wait(delayMs);
		}

		this.#failWithout({kind: 'none'});
	}

	/** Ends the run with a problem before its turn has come. */
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

	/** Ends the run for want of an endpoint that may take it, after what its attempts have met. */
	#failWithout(route: Exclude<Route, {kind: 'endpoint'}>): void {
		const {idempotent: isIdempotent} = this.call.profile;
		this.#fail(route.kind === 'quarantined'
			? createProblem('quarantined', 'this request was in flight when endpoints crashed; it is not run until its term is over', this.#ran, route.retryAfterMs)
			: describeFailure({failure: this.#failure, ran: this.#ran, isIdempotent}));
	}

	/** One attempt, or two side by side; resolves when none of them is open any more. */
	async #makeRound({id, isSuspect}: Extract<Route, {kind: 'endpoint'}>): Promise<void> {
		const over = new Promise<void>(resolve => {
			this.#onRoundOver = resolve;
		});
		const sentAt = performance.now();
		this.#roundAt = sentAt;
		this.#startAttempt(id, isSuspect);
		// What may have crashed an endpoint must not be at two of them.
		const delayMs = isSuspect ? undefined : this.#context.findHedgeDelay(this.call);
		const hedge = delayMs === undefined
			? undefined
			: setTimeout(() => {
				this.#hedge(sentAt);
			}, delayMs);
		await over;
		clearTimeout(hedge);
	}

	#startAttempt(endpoint: string, isSuspect: boolean): void {
		this.#attempts += 1;
		this.#doubtful += 1;
		this.#tried.add(endpoint);
		const attempt = this.#context.createAttempt(this.call, this.#attempts, endpoint, this.#owner);
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
		// Ended before the listener closes the connection, which would count as a cancellation.
		if (event.kind === 'finished') {
			this.#end('answered');
		}

		try {
			this.#listener.onEvent(event, attempt.number);
		} catch (error) {
			this.#fail(createProblem('endpoint-failed', `the answer can not be passed on: ${describeError(error)}`, 'yes'));
		}
	}

	/** The first attempt with an event gives the answer; the others are stopped. */
	#claimAnswer(attempt: Attempt): boolean {
		if (!this.#winner) {
			this.#winner = attempt;
			if (!this.#isHedged) {
				this.#context.onFirstEvent(this.call, performance.now() - this.#roundAt);
			}

			for (const other of this.#open) {
				if (other !== attempt) {
					this.#drop(other);
				}
			}
		}

		return this.#winner === attempt;
	}

	/** Stops an attempt that is not needed any more; it may have run. */
	#drop(attempt: Attempt): void {
		this.#open.delete(attempt);
		this.#ran = mergeRan(this.#ran, attempt.ran);
		attempt.cancel();
	}

	#settle(attempt: Attempt, outcome: AttemptOutcome): void {
		if (!this.#open.delete(attempt)) {
			return;
		}

		if (outcome.kind === 'failed') {
			// What was heard of the attempt proves that it ran, whatever its agent says at its end.
			const heard = this.#winner === attempt ? 'yes' : 'no';
			this.#ran = mergeRan(mergeRan(this.#ran, outcome.ran), heard);
			this.#doubtful -= Number(outcome.ran === 'no');
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
			this.#onRoundOver?.();
		}
	}

	/** Wait before another attempt, if one may follow given what is known of all that failed. */
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

		const ran = this.#context.checkRan(this.call, problem.ran, this.#doubtful > 0);
		const told = ran === problem.ran ? problem : {...problem, ran};
		this.#end(ran === 'no' ? 'refused' : 'failed', told);
		this.#listener.onFailed(told);
	}

	/** The one end of the run; all that is still open is stopped. */
	#end(outcome: CallRecord['outcome'], problem?: Problem): void {
		this.#isEnded = true;
		clearTimeout(this.#expiry);
		if (outcome !== 'answered') {
			for (const attempt of this.#open) {
				this.#drop(attempt);
			}

			this.abort.abort(endedReason);
		}

		this.#onRoundOver?.();
		this.#context.onEnded(this.call, {
			call: this.call, outcome, problem, attempts: this.#attempts, ...this.#times.describe(),
		});
	}
}
