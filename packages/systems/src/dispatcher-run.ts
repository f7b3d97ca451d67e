/**
 * One call from its acceptance to its one end: attempts that follow one another where
 * that is safe, a second one beside the first where the profile allows it.
 */
import type {AnswerEvent} from '@wasabiusher/link';
import {
	createProblem, describeError, type Problem, type Ran,
} from '@wasabiusher/shared';
import type {
	Call, CallListener, CallRecord, Progress, Run,
} from './call.js';
import type {Attempt} from './dispatcher-attempt.js';
import {
	describeExpiry, describeFailure, mergeRan, type AttemptFailure, type AttemptOutcome,
} from './dispatcher-outcome.js';

/** What a run is told of one of its attempts. */
export type AttemptOwner = {
	onEvent(attempt: Attempt, event: AnswerEvent): void;
	onSettled(attempt: Attempt, outcome: AttemptOutcome): void;
};

/** What a run asks of the dispatcher. */
export type RunContext = {
	/** Names an endpoint that can take the call, other than those given; undefined if there is none. */
	choose(call: Call, except: ReadonlySet<string>): string | undefined;
	createAttempt(call: Call, number: number, endpoint: string, owner: AttemptOwner): Attempt;
	/** Sends the attempt's request. */
	startAttempt(call: Call, attempt: Attempt): void;
	/** Whether a further attempt may be made after this failure; asked once, and counted against its budget. */
	mayRetry(call: Call, attempts: number): boolean;
	/** Wait before the next attempt, in milliseconds. */
	chooseBackoff(attempts: number): number;
	/** Wait for a first event after which a second attempt is started; undefined for never. */
	chooseHedgeDelay(call: Call): number | undefined;
	onEnded(run: CallRun, record: CallRecord): void;
};

const progressOf: Readonly<Record<AnswerEvent['kind'], Progress>> = {
	head: 'head', body: 'content', parts: 'content', finished: 'content',
};

/** A call on its way. */
export class CallRun implements Run {
	readonly call: Call;
	/** Aborted when the run has ended. */
	readonly abort = new AbortController();
	readonly #listener: CallListener;
	readonly #context: RunContext;
	readonly #acceptedAt = performance.now();
	readonly #expiry: NodeJS.Timeout;
	readonly #open = new Set<Attempt>();
	/** Endpoints that have failed or refused this call. */
	readonly #tried = new Set<string>();
	#startedAt: number | undefined;
	#firstContentAt: number | undefined;
	#isEnded = false;
	#isPaused = false;
	#attempts = 0;
	/** Of the attempts that are over. */
	#ran: Ran = 'no';
	#progress: Progress = 'nothing';
	/** The attempt whose events are the answer: the first that had any. */
	#winner: Attempt | undefined;
	#failure: AttemptFailure | undefined;
	#onRoundOver: (() => void) | undefined;

	constructor(call: Call, listener: CallListener, context: RunContext) {
		this.call = call;
		this.#listener = listener;
		this.#context = context;
		this.#expiry = setTimeout(() => {
			this.#expire();
		}, Math.max(0, call.deadlineAt - performance.now()));
	}

	get id(): string {
		return this.call.id;
	}

	get isEnded(): boolean {
		return this.#isEnded;
	}

	/** Makes attempts until one is whole or none may follow; resolves when the run has ended. */
	async drive(): Promise<void> {
		this.#startedAt = performance.now();
		while (!this.#isEnded) {
			const endpoint = this.#context.choose(this.call, this.#tried);
			if (endpoint === undefined) {
				break;
			}

			// Attempts of one call follow one another.
			// eslint-disable-next-line no-await-in-loop
			await this.#makeRound(endpoint);
			if (this.#isEnded || !this.#mayGoOn()) {
				break;
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#wait(this.#context.chooseBackoff(this.#attempts));
		}

		this.#fail(describeFailure({failure: this.#failure, ran: this.#ran, isIdempotent: this.call.profile.idempotent}));
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

	/** One attempt, or two side by side; resolves when none of them is open any more. */
	async #makeRound(endpoint: string): Promise<void> {
		const over = new Promise<void>(resolve => {
			this.#onRoundOver = resolve;
		});
		this.#startAttempt(endpoint);
		const delayMs = this.#context.chooseHedgeDelay(this.call);
		const hedge = delayMs === undefined
			? undefined
			: setTimeout(() => {
				this.#hedge();
			}, delayMs);
		await over;
		clearTimeout(hedge);
	}

	#startAttempt(endpoint: string): void {
		this.#attempts += 1;
		this.#tried.add(endpoint);
		const attempt = this.#context.createAttempt(this.call, this.#attempts, endpoint, {
			onEvent: (from, event) => {
				this.#receive(from, event);
			},
			onSettled: (from, outcome) => {
				this.#settle(from, outcome);
			},
		});
		this.#open.add(attempt);
		if (this.#isPaused) {
			attempt.pause();
		}

		this.#context.startAttempt(this.call, attempt);
	}

	#hedge(): void {
		const endpoint = this.#open.size === 1 && !this.#winner ? this.#context.choose(this.call, this.#tried) : undefined;
		if (endpoint !== undefined) {
			this.#startAttempt(endpoint);
		}
	}

	#receive(attempt: Attempt, event: AnswerEvent): void {
		if (this.#isEnded || !this.#claimAnswer(attempt)) {
			return;
		}

		this.#noteProgress(event);
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
			for (const other of this.#open) {
				if (other !== attempt) {
					this.#drop(other);
				}
			}
		}

		return this.#winner === attempt;
	}

	#noteProgress({kind}: AnswerEvent): void {
		if (this.#progress === 'content') {
			return;
		}

		this.#progress = progressOf[kind];
		if (this.#progress === 'content') {
			this.#firstContentAt = performance.now();
		}
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
			this.#failure = outcome;
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

	/** Whether another attempt may follow the ones that failed, given what is known of all of them. */
	#mayGoOn(): boolean {
		const {call} = this;
		if (this.#ran !== 'no' && !call.profile.idempotent) {
			return false;
		}

		if (this.#winner && !this.#listener.onRestart()) {
			return false;
		}

		this.#winner = undefined;
		this.#progress = 'nothing';
		return this.#context.mayRetry(call, this.#attempts);
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

		this.#end(problem.ran === 'no' ? 'refused' : 'failed', problem);
		this.#listener.onFailed(problem);
	}

	/** The one end of the run; all that is still open is stopped. */
	#end(outcome: CallRecord['outcome'], problem?: Problem): void {
		this.#isEnded = true;
		clearTimeout(this.#expiry);
		if (outcome !== 'answered') {
			for (const attempt of this.#open) {
				this.#drop(attempt);
			}
		}

		this.#onRoundOver?.();
		this.abort.abort();
		this.#context.onEnded(this, this.#createRecord(outcome, problem));
	}

	#createRecord(outcome: CallRecord['outcome'], problem?: Problem): CallRecord {
		const now = performance.now();
		return {
			call: this.call,
			outcome,
			problem,
			progress: this.#progress,
			queueMs: (this.#startedAt ?? now) - this.#acceptedAt,
			firstContentMs: this.#firstContentAt === undefined ? undefined : this.#firstContentAt - this.#acceptedAt,
			durationMs: now - this.#acceptedAt,
			attempts: this.#attempts,
		};
	}
}
