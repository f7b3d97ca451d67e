/**
 * Runs a caller's request directly at endpoints: attempts, retries, hedged attempts and the proof that nothing has run.
 */
import {
	defaultPolicy, type EndpointRun, type Policy, type RetryBudget,
} from '@wasabiusher/decisions';
import {
	PlatformError, type ServingAnswer, type ServingClient, type ServingRequest,
} from '@wasabiusher/backends';
import {
	describeError, type Log, type Random, type RegisteredEndpoint, type Route,
} from '@wasabiusher/shared';
import {poisonRequestReason, recordBrokenAttempt, type PoisonRequestTracker} from './poison-requests.js';
import {CallAdmission, type QueuePosition} from './call-admission.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {EndpointQueue} from './endpoint-queue.js';
import {BegunRuns, type RunMeter} from './run-meter.js';
import {RestartWatch} from './restart-watch.js';
import type {RouteSource} from './run-permission.js';

/** A request as the caller has sent it. */
export type CallerRequest = Omit<ServingRequest, 'remainingMs'> & {
	/** When the caller stops waiting, on the monotonic clock. */
	deadlineAt: number;
	/** Its position in the wait queue of the host; derived from its route if undefined. */
	queuePosition?: QueuePosition;
};

/**
 * - `answered`: an endpoint's own answer, successful or not
 * - `not-run`: the request has not run and will not run; retry after `retryAfterMs` milliseconds
 * - `unknown`: the request may have run
 * - `timeout`: the deadline has passed; `hasSent` tells whether an endpoint may have run the request
 * - `stopped`: the caller has disconnected
 */
export type CallOutcome
	= | {kind: 'answered'; answer: ServingAnswer; endpoint: string}
		| {kind: 'not-run'; reason: string; retryAfterMs: number}
		| {kind: 'unknown'; reason: string}
		| {kind: 'timeout'; hasSent: boolean}
		| {kind: 'stopped'};

export type CallSettings = {
	directory: EndpointDirectory;
	client: ServingClient;
	random: Random;
	log: Log;
	policy?: Policy;
	/** Counts requests that begin to run; undefined if they aren't counted. */
	meter?: RunMeter;
	/** Tracks poison requests, which crash endpoints; undefined if they aren't tracked. */
	poisonRequests?: PoisonRequestTracker;
	/** Wait queue for slots; undefined to send requests at once. */
	queue?: EndpointQueue;
	/** Budget of hedged attempts by service; undefined for no limit. */
	hedges?: RetryBudget;
	/** Finds the route that the request has in the configuration in force; its first one if undefined. */
	findRoute?: RouteSource;
};

/** HTTP status of an endpoint that has run a request and failed. An answer with this or a higher status doesn't show that the run was complete. */
export const serverErrorStatus = 500;

/** Fraction of the route's objective after which a hedged attempt starts at another endpoint; it can still meet the objective then. */
const hedgeRatio = 0.5;

type AttemptOutcome
	= | {kind: 'answered'; answer: ServingAnswer; endpoint: string}
		| {kind: 'not-run'; endpoint: string; reason: string}
		| {kind: 'unknown'; endpoint: string; reason: string};

/** Runs one request of a caller; call `run` once. */
export class DirectCall {
	readonly #settings: CallSettings;
	readonly #route: Route;
	readonly #request: CallerRequest;
	readonly #signal: AbortSignal;
	/** Endpoints that may have begun to run the request. */
	readonly #mayHaveRun: BegunRuns;
	/** Endpoints that were tried already. */
	readonly #excluded = new Set<string>();
	/** Whether an endpoint's answer was returned to the caller. */
	#isAnswered = false;
	/** The last failure that an endpoint has answered, returned if no attempt succeeds. */
	#failure: {answer: ServingAnswer; endpoint: string} | undefined;
	#failureCount = 0;
	#lastReason = 'no endpoint is registered';
	readonly #admission: CallAdmission;
	#hasWaited = false;
	/** Why the request was refused before an attempt; undefined if it was not. */
	#refusal: {reason: string; retryAfterMs: number} | undefined;

	/** @param signal - aborts when the caller has disconnected */
	constructor(settings: CallSettings, route: Route, request: CallerRequest, signal: AbortSignal) {
		this.#settings = settings;
		this.#route = route;
		this.#request = request;
		this.#signal = signal;
		this.#mayHaveRun = new BegunRuns(request.customer, settings.meter);
		this.#admission = new CallAdmission(settings, route, request);
	}

	/** Makes attempts until one is answered, the deadline passes or no further attempt is allowed. */
	async run(): Promise<CallOutcome> {
		const refusalMs = this.#settings.poisonRequests?.findRetryDelayMs(this.#request);
		if (refusalMs !== undefined) {
			return {kind: 'not-run', reason: poisonRequestReason, retryAfterMs: refusalMs};
		}

		const deadline = new AbortController();
		const timer = setTimeout(() => {
			deadline.abort();
		}, Math.max(0, this.#request.deadlineAt - performance.now()));
		const signal = AbortSignal.any([this.#signal, deadline.signal]);
		try {
			return await this.#runAttempts(signal);
		} finally {
			clearTimeout(timer);
			// Cancels the remaining attempts.
			deadline.abort();
		}
	}

	/** Number of endpoints that ran the request and answered with status 500; broken connections don't count. */
	get failureCount(): number {
		return this.#failureCount;
	}

	get #isRepeatable(): boolean {
		return this.#route.kind === 'idempotent';
	}

	async #runAttempts(signal: AbortSignal): Promise<CallOutcome> {
		const pending = new Set<Promise<AttemptOutcome>>();
		// The caller gets its answer in time even if an attempt is slow to notice that it was cancelled.
		const ended = waitForAbort(signal);
		let hedgeAt = Number.POSITIVE_INFINITY;
		this.#settings.hedges?.recordFirstTry(this.#admission.service);
		for (;;) {
			if (this.#signal.aborted) {
				return {kind: 'stopped'};
			}

			if (signal.aborted) {
				return this.#failure ? {kind: 'answered', ...this.#failure} : {kind: 'timeout', hasSent: this.#mayHaveRun.size > 0};
			}

			const shouldStart = pending.size === 0 || performance.now() >= hedgeAt;
			// Only the first attempt waits in the queue, and nothing else is in progress then.
			// eslint-disable-next-line no-await-in-loop
			const endpoint = shouldStart && this.#mayStart(pending.size) ? await this.#acquire(signal) : undefined;
			if (endpoint) {
				const attempt = this.#attempt(endpoint, signal);
				pending.add(attempt);
				void attempt.finally(() => {
					pending.delete(attempt);
				});
				hedgeAt = this.#isRepeatable && (this.#settings.policy ?? defaultPolicy).hedgesCalls ? performance.now() + (this.#route.objectiveMs * hedgeRatio) : Number.POSITIVE_INFINITY;
			} else if (shouldStart) {
				hedgeAt = Number.POSITIVE_INFINITY;
			}

			if (pending.size === 0 && !signal.aborted) {
				return this.#conclude();
			}

			// The next step depends on this outcome.
			// eslint-disable-next-line no-await-in-loop
			const outcome = await raceUntil([...pending, ended], hedgeAt);
			const final = outcome && this.#judge(outcome);
			if (final) {
				return final;
			}
		}
	}

	/** Whether another attempt may start now. */
	#mayStart(openAttempts: number): boolean {
		if (!this.#isRepeatable && (this.#mayHaveRun.size > 0 || openAttempts > 0)) {
			return false;
		}

		if (this.#mayHaveRun.size >= this.#route.maxAttempts) {
			return false;
		}

		// Without a budget, a service that is slow as a whole would get twice its load.
		return openAttempts === 0 || (this.#settings.hedges?.tryTake(this.#admission.service) ?? true);
	}

	/** The outcome when no attempt is in progress and no further one is allowed. */
	#conclude(): CallOutcome {
		if (this.#failure) {
			return {kind: 'answered', ...this.#failure};
		}

		return this.#mayHaveRun.size > 0
			? {kind: 'unknown', reason: this.#lastReason}
			: {...(this.#refusal ?? {reason: this.#lastReason, retryAfterMs: this.#settings.directory.planRetryAfterMs(this.#admission.service)}), kind: 'not-run'};
	}

	/** Records the outcome of an attempt; returns the outcome of the call if it is final. */
	#judge(outcome: AttemptOutcome): CallOutcome | undefined {
		if (outcome.kind === 'answered') {
			if (outcome.answer.status < 500 || !this.#isRepeatable) {
				this.#isAnswered = true;
				return outcome;
			}

			this.#failure = outcome;
			this.#failureCount += outcome.answer.status === serverErrorStatus ? 1 : 0;
			return undefined;
		}

		this.#lastReason = outcome.reason;
		return undefined;
	}

	/** Acquires an endpoint for the next attempt; undefined if none is eligible, or if the request has turned out to be poison meanwhile. */
	async #acquire(signal: AbortSignal): Promise<RegisteredEndpoint | undefined> {
		const endpoint = this.#hasWaited ? this.#admission.acquire(this.#excluded) : await this.#acquireFirst(signal);
		const retryAfterMs = endpoint && this.#settings.poisonRequests?.findRetryDelayMs(this.#request);
		if (!endpoint || retryAfterMs === undefined) {
			return endpoint;
		}

		this.#settings.directory.release(endpoint.id);
		this.#lastReason = poisonRequestReason;
		this.#refusal = {reason: poisonRequestReason, retryAfterMs};
		return undefined;
	}

	async #acquireFirst(signal: AbortSignal): Promise<RegisteredEndpoint | undefined> {
		this.#hasWaited = true;
		const answer = await this.#admission.wait(signal);
		this.#refusal = answer.kind === 'refused' ? answer : undefined;
		return answer.kind === 'granted' ? answer.endpoint : undefined;
	}

	async #attempt(endpoint: RegisteredEndpoint, signal: AbortSignal): Promise<AttemptOutcome> {
		const {client, directory} = this.#settings;
		const {id} = endpoint;
		const startedAt = performance.now();
		const restart = new RestartWatch(directory, id);
		this.#excluded.add(id);
		this.#mayHaveRun.add(id);
		this.#settings.poisonRequests?.recordAttempt(this.#request);
		try {
			const answer = await client.call(endpoint, this.#toServingRequest(), AbortSignal.any([signal, restart.signal]));
			directory.recordHead(id, answer);
			if (answer.isNotRun) {
				this.#mayHaveRun.delete(id);
				if (answer.status === 421) {
					directory.recordMisdirected(id);
				}

				return {kind: 'not-run', endpoint: id, reason: `${id} refused with status ${answer.status}`};
			}

			directory.recordPace(id, performance.now() - startedAt);
			if (answer.status < serverErrorStatus) {
				this.#settings.poisonRequests?.recordFinished(this.#request);
			}

			this.#admission.recordWork(performance.now() - startedAt);
			return {kind: 'answered', answer, endpoint: id};
		} catch (error) {
			return this.#recordError({endpoint: id, bornMs: endpoint.bornMs, startedAt}, error, signal, restart);
		} finally {
			restart.end();
			directory.release(id);
		}
	}

	#recordError(run: EndpointRun, error: unknown, signal: AbortSignal, {hasRestarted}: RestartWatch): AttemptOutcome {
		const {endpoint: id} = run;
		const {directory, log} = this.#settings;
		const reason = `${id}: ${describeError(error)}`;
		this.#lastReason = reason;
		if (signal.aborted) {
			// Cancelled by the caller, the deadline or another attempt's answer; not a failure of the endpoint.
			if (!this.#isAnswered && !isProvenNotRun(error)) {
				log.info('attempt_cancelled', {request: this.#request.attemptId, endpoint: id, reason: describeError(error)});
				// An endpoint that crashes silently leaves its runs open until they are cancelled.
				this.#settings.poisonRequests?.recordBroken(run, this.#request);
			}

			return {kind: 'unknown', endpoint: id, reason};
		}

		log.info('attempt_failed', {request: this.#request.attemptId, endpoint: id, reason: describeError(error)});
		if (!hasRestarted) {
			directory.recordFailure(id);
		}

		recordBrokenAttempt(this.#settings.poisonRequests, {
			run, request: this.#request, isNotRun: isProvenNotRun(error), hasRestarted,
		});
		if (isProvenNotRun(error)) {
			this.#mayHaveRun.delete(id);
			return {kind: 'not-run', endpoint: id, reason};
		}

		return {kind: 'unknown', endpoint: id, reason};
	}

	#toServingRequest(): ServingRequest {
		const {deadlineAt, queuePosition, ...request} = this.#request;
		const remainingMs = Math.max(1, Math.round(deadlineAt - performance.now()));
		// What can't be repeated has nothing to gain from giving up a silent endpoint before the caller does.
		return {...request, remainingMs, ...(this.#isRepeatable ? {} : {silenceMs: remainingMs})};
	}
}

/** Whether an error proves that the endpoint has not run the request. */
export function isProvenNotRun(error: unknown): boolean {
	return error instanceof PlatformError && (error.code === 'unavailable' || error.code === 'refused');
}

/** Resolves when the signal aborts. Node.js keeps a combined signal, and with it the request, for as long as it has a listener. */
async function waitForAbort(signal: AbortSignal): Promise<undefined> {
	return new Promise(resolve => {
		signal.addEventListener('abort', () => {
			resolve(undefined);
		}, {once: true});
	});
}

/** Resolves with the first outcome, or with undefined at `wakeAt` on the monotonic clock. */
async function raceUntil(pending: ReadonlyArray<Promise<AttemptOutcome | undefined>>, wakeAt: number): Promise<AttemptOutcome | undefined> {
	let timer: NodeJS.Timeout | undefined;
	const wake = new Promise<undefined>(resolve => {
		if (Number.isFinite(wakeAt)) {
			timer = setTimeout(() => {
				resolve(undefined);
			}, Math.max(0, wakeAt - performance.now()));
		}
	});
	try {
		return await Promise.race([...pending, wake]);
	} finally {
		clearTimeout(timer);
	}
}
