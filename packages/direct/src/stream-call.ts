/**
 * Runs a caller's request whose answer is streamed to the caller.
 *
 * Only attempts that are proven not to have run are repeated. On a route with resumable streams, a broken stream also resumes after
 * its last complete event at another endpoint, within the same answer.
 */
import type {ServingRequest, ServingStream} from '@wasabiusher/backends';
import type {EndpointRun} from '@wasabiusher/decisions';
import {describeError, type RegisteredEndpoint, type Route} from '@wasabiusher/shared';
import {
	isProvenNotRun, serverErrorStatus, type CallOutcome, type CallerRequest, type CallSettings,
} from './call.js';
import {poisonRequestReason, recordBrokenAttempt} from './poison-requests.js';
import {CallAdmission, type AdmissionOutcome} from './call-admission.js';
import {resumeStream} from './resumed-stream.js';
import {BegunRuns} from './run-meter.js';
import {RestartWatch} from './restart-watch.js';
import {SilenceWatch} from './silence-watch.js';

/** The head and body of a streamed answer, or why there is none. Call `release` when the body has ended. */
export type StreamOutcome = {kind: 'opened'; stream: ServingStream; endpoint: string; release(): void} | Exclude<CallOutcome, {kind: 'answered'}>;

/** An attempt in progress at an endpoint. */
type OpenAttempt = {endpoint: RegisteredEndpoint; stream: ServingStream};

/** Opens one streamed answer; call `open` once. */
export class StreamCall {
	readonly #settings: CallSettings;
	readonly #route: Route;
	readonly #request: CallerRequest;
	readonly #signal: AbortSignal;
	/** Endpoints that were tried already. */
	readonly #excluded = new Set<string>();
	/** Number of runs that have begun or may have begun. */
	#begunCount = 0;
	/** Endpoints that may have begun to run the request, counted for the customer. */
	readonly #runs: BegunRuns;
	/** The endpoint of the current attempt. */
	#currentEndpoint: string | undefined;
	#restart: RestartWatch | undefined;
	#lastReason = 'no endpoint is registered';
	readonly #admission: CallAdmission;
	#hasWaited = false;
	/** Aborts when the answer has not begun by the caller's deadline. */
	readonly #deadline = new AbortController();

	/** @param signal - aborts when the caller has disconnected */
	constructor(settings: CallSettings, route: Route, request: CallerRequest, signal: AbortSignal) {
		this.#settings = settings;
		this.#route = route;
		this.#request = request;
		this.#signal = signal;
		this.#runs = new BegunRuns(request.customer, settings.meter);
		this.#admission = new CallAdmission(settings, route, request);
	}

	async open(): Promise<StreamOutcome> {
		const refusalMs = this.#settings.poisonRequests?.findRetryDelayMs(this.#request);
		if (refusalMs !== undefined) {
			return {kind: 'not-run', reason: poisonRequestReason, retryAfterMs: refusalMs};
		}

		const timer = setTimeout(() => {
			this.#deadline.abort();
		}, Math.max(0, this.#request.deadlineAt - performance.now()));
		const outcome = await this.#attemptAll(this.#request.resumeAfter);
		// An answer that has begun in time may take longer than the deadline.
		clearTimeout(timer);
		if ('kind' in outcome) {
			return outcome;
		}

		const {endpoint, stream} = outcome;
		const body = this.#route.isResumable && stream.status === 200
			? resumeStream(stream, {request: this.#request.attemptId, log: this.#settings.log, reopen: async after => this.#reopen(after)}, this.#request.resumeAfter)
			: stream.body;
		return {
			kind: 'opened',
			stream: {...stream, body},
			endpoint: endpoint.id,
			release: () => {
				this.#release();
			},
		};
	}

	/** Resumes the stream after an event at another endpoint; undefined if none can. */
	async #reopen(after: number | undefined): Promise<ServingStream | undefined> {
		if (this.#currentEndpoint !== undefined && !this.#restart?.hasRestarted) {
			this.#settings.directory.recordFailure(this.#currentEndpoint);
		}

		this.#release();
		const mayRetry = this.#begunCount < this.#route.maxAttempts && performance.now() < this.#request.deadlineAt;
		const outcome = mayRetry ? await this.#attemptAll(after) : undefined;
		if (!outcome || 'kind' in outcome) {
			return undefined;
		}

		// The caller has already received a successful head, so a failure can't be passed on.
		return outcome.stream.status === 200 ? outcome.stream : undefined;
	}

	/** Tries one endpoint after another until one begins to answer. */
	async #attemptAll(after: number | undefined): Promise<OpenAttempt | Exclude<StreamOutcome, {kind: 'opened'}>> {
		while (!this.#signal.aborted && !this.#deadline.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			const admission = await this.#acquire();
			if (admission.kind !== 'granted') {
				return this.#toRefusal(admission);
			}

			const {endpoint} = admission;
			this.#currentEndpoint = endpoint.id;
			const retryAfterMs = this.#settings.poisonRequests?.findRetryDelayMs(this.#request);
			if (retryAfterMs !== undefined) {
				this.#release();
				return this.#refuse(poisonRequestReason, retryAfterMs);
			}

			this.#excluded.add(endpoint.id);
			// Each attempt depends on the outcome of the previous one.
			// eslint-disable-next-line no-await-in-loop
			const outcome = await this.#attempt(endpoint, after);
			if (outcome) {
				return outcome;
			}

			this.#release();
		}

		return this.#conclude();
	}

	/** The outcome for a caller that has disconnected or whose deadline has passed. */
	#conclude(): Exclude<StreamOutcome, {kind: 'opened'}> {
		return this.#signal.aborted ? {kind: 'stopped'} : {kind: 'timeout', hasSent: this.#runs.size > 0};
	}

	/** Acquires an endpoint; only the first attempt waits in the queue. */
	async #acquire(): Promise<AdmissionOutcome> {
		if (!this.#hasWaited) {
			this.#hasWaited = true;
			return this.#admission.wait(AbortSignal.any([this.#signal, this.#deadline.signal]));
		}

		const endpoint = this.#admission.acquire(this.#excluded);
		return endpoint ? {kind: 'granted', endpoint} : {kind: 'none'};
	}

	#toRefusal(admission: Exclude<AdmissionOutcome, {kind: 'granted'}>): Exclude<StreamOutcome, {kind: 'opened'}> {
		if (this.#signal.aborted || this.#deadline.signal.aborted) {
			return this.#conclude();
		}

		return admission.kind === 'refused'
			? this.#refuse(admission.reason, admission.retryAfterMs)
			: this.#refuse(this.#lastReason, this.#settings.directory.planRetryAfterMs(this.#admission.service));
	}

	/** The outcome when no further attempt is made: refused only if it is certain that none has run. */
	#refuse(reason: string, retryAfterMs: number): Exclude<StreamOutcome, {kind: 'opened'}> {
		return this.#runs.size > 0 ? {kind: 'unknown', reason} : {kind: 'not-run', reason, retryAfterMs};
	}

	/** Makes an attempt at one endpoint; undefined if another endpoint may be tried. */
	async #attempt(endpoint: RegisteredEndpoint, after: number | undefined): Promise<OpenAttempt | Exclude<StreamOutcome, {kind: 'opened'}> | undefined> {
		const {client, directory, log} = this.#settings;
		const {id} = endpoint;
		const run = {endpoint: id, bornMs: endpoint.bornMs, startedAt: performance.now()};
		const stop = new AbortController();
		const restart = new RestartWatch(directory, id);
		this.#restart = restart;
		const watch = this.#route.isResumable ? new SilenceWatch(stop, () => directory.findLastReceivedAt(id)) : undefined;
		try {
			this.#runs.add(id);
			this.#settings.poisonRequests?.recordAttempt(this.#request);
			const stream = await client.open(endpoint, this.#toServingRequest(after), AbortSignal.any([this.#signal, this.#deadline.signal, stop.signal, restart.signal]));
			directory.recordHead(id, stream);
			if (!stream.isNotRun) {
				this.#begunCount += 1;
				const body = this.#reportEnd(run, stream, restart);
				return {endpoint, stream: {...stream, body: watch ? watchSilence(body, watch) : body}};
			}

			watch?.end();
			this.#runs.delete(id);
			this.#lastReason = `${id} refused with status ${stream.status}`;
			return undefined;
		} catch (error) {
			watch?.end();
			this.#lastReason = `${id}: ${describeError(error)}`;
			if (this.#signal.aborted || this.#deadline.signal.aborted) {
				if (!isProvenNotRun(error)) {
					log.info('attempt_cancelled', {request: this.#request.attemptId, endpoint: id, reason: describeError(error)});
					// An endpoint that crashes silently leaves its runs open until they are cancelled.
					this.#recordBroken(run, false, restart);
				}

				this.#release();
				return this.#conclude();
			}

			log.info('attempt_failed', {request: this.#request.attemptId, endpoint: id, reason: describeError(error)});
			if (!restart.hasRestarted) {
				directory.recordFailure(id);
			}

			this.#recordBroken(run, isProvenNotRun(error), restart);
			if (isProvenNotRun(error)) {
				this.#runs.delete(id);
				return undefined;
			}

			this.#begunCount += 1;
			if (this.#route.isResumable && this.#begunCount < this.#route.maxAttempts) {
				return undefined;
			}

			this.#release();
			return {kind: 'unknown', reason: this.#lastReason};
		}
	}

	#recordBroken(run: EndpointRun, isNotRun: boolean, {hasRestarted}: RestartWatch): void {
		recordBrokenAttempt(this.#settings.poisonRequests, {
			run, request: this.#request, isNotRun, hasRestarted,
		});
	}

	/** Passes a body on and reports how it ended: only a complete body of an answer that isn't a failure shows that the request isn't poison. */
	async * #reportEnd(run: EndpointRun, {body, status}: ServingStream, restart: RestartWatch): AsyncIterable<Uint8Array> {
		let isComplete = false;
		try {
			yield * body;
			isComplete = true;
		} finally {
			// Also reached when the reader stops early.
			if (!isComplete) {
				this.#recordBroken(run, false, restart);
			} else if (status < serverErrorStatus) {
				this.#settings.poisonRequests?.recordFinished(this.#request);
			}
		}
	}

	#release(): void {
		this.#restart?.end();
		if (this.#currentEndpoint !== undefined) {
			this.#settings.directory.release(this.#currentEndpoint);
			this.#currentEndpoint = undefined;
		}
	}

	#toServingRequest(after: number | undefined): ServingRequest {
		const {deadlineAt, queuePosition, ...request} = this.#request;
		const remainingMs = Math.max(1, Math.round(deadlineAt - performance.now()));
		return {
			...request,
			remainingMs,
			...(after === undefined ? {} : {resumeAfter: after}),
			// A stream that can't be resumed has nothing to gain from giving up a silent endpoint before the caller does.
			...(this.#route.isResumable ? {} : {silenceMs: remainingMs}),
		};
	}
}

/** Passes a body on and reports each chunk to the silence watch. */
async function * watchSilence(body: AsyncIterable<Uint8Array>, watch: SilenceWatch): AsyncIterable<Uint8Array> {
	try {
		for await (const chunk of body) {
			watch.recordReceived();
			yield chunk;
		}
	} finally {
		watch.end();
	}
}
