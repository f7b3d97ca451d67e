/**
 * Generates the text of one sample: collects events with their weight versions, and resumes at another endpoint when a run breaks.
 *
 * Load pattern: endpoints crash, leave, load weights or break off answers in the middle of long generations. A generation of seven seconds that restarts
 * each time would miss its step; resumed after its last complete event it loses only a round trip.
 */
import {longRunEvents} from '@wasabiusher/decisions';
import type {ServingClient, ServingRequest, ServingRun} from '@wasabiusher/backends';
import {
	describeError, type Log, type RegisteredEndpoint, type Route,
} from '@wasabiusher/shared';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {EndpointRequirement} from './endpoint-requirement.js';
import type {EndpointQueue} from './endpoint-queue.js';
import {appendEvent, discardText, type GeneratedText} from './generated-text.js';
import {PhaseTimes, type RunPhase} from './phase-times.js';
import {RestartWatch} from './restart-watch.js';
import {allowsService, mayBegin, type RouteSource} from './run-permission.js';
import {findUrgency, SampleSearch} from './sample-search.js';
import {SilenceWatch} from './silence-watch.js';

/** The request for one sample. */
export type SampleRequest = {
	/** Id of the sample; each of its runs carries it. */
	id: string;
	/** Id of its batch, for logs. */
	batch?: string;
	model: string | undefined;
	/** Oldest weight version that may generate it. */
	minWeightVersion: number;
	isSingleVersion: boolean;
	/** Key of the prompt that the samples of a group share. */
	group: string | undefined;
	request: Omit<ServingRequest, 'remainingMs' | 'resumeAfter' | 'expectVersion' | 'attemptId'>;
	/** When the sample expires, on the monotonic clock. */
	deadlineAt: number;
	/** Whether its runs avoid endpoints whose slots are all taken by their known load, so that they delay no other work. */
	avoidsFull?: boolean;
	/** Its position in the wait queue: its flow for fair queueing, when it is due on the monotonic clock, and its rank among waiters due at the same time. */
	queuePosition?: {turn: string; dueAt: number; rank: number};
	/** When it should be complete, on the monotonic clock; undefined if unknown. */
	dueAt?: number;
	/** Expected number of remaining events after `made` events; undefined if unknown. */
	expectLeft?(made: number): number | undefined;
};

/**
 * - `made`: the text is complete
 * - `impossible`: an endpoint answered that the sample can never be generated
 * - `failed`: the route's maximum number of failed attempts is reached, or the route was removed
 * - `expired`: the deadline has passed
 * - `stopped`: its batch has ended or has another owner
 */
export type SampleOutcome = {kind: 'made'; text: GeneratedText} | {kind: 'impossible' | 'failed' | 'expired' | 'stopped'};

export type SampleRunSettings = {
	directory: EndpointDirectory;
	client: ServingClient;
	log: Log;
	/** Wait queue for slots; undefined if the sample polls for an endpoint itself. */
	queue?: EndpointQueue;
	/** The current route of the sample's batch; undefined once it was removed. */
	findRoute: RouteSource;
	/** Dedicated endpoints, which are used before others; undefined if all are equal. */
	findDedicated?(): ReadonlySet<string> | undefined;
	/** Returns a random number in [0, 1). */
	chance(): number;
};

/** Number of events between two records of a run's mean pace; over so many the mean differs by less than a twentieth. */
const paceReportEvents = 20;

/** Pauses after runs that broke before their first event, in milliseconds, so that endpoints that fail aren't retried in a tight loop. */
const retryPause = {initialMs: 20, maxMs: 1000};

/** HTTP status for a sample that can never be generated. */
const impossibleStatus = 422;

type RunStep = 'again' | SampleOutcome;

/**
 * Why a sample is at no endpoint:
 *
 * - `search`: it waits for an endpoint
 * - `pause`: its last run broke a moment ago
 */
export type IdleReason = 'search' | 'pause';

/** A sample that is at no endpoint; times in milliseconds. */
export type IdleSample = {
	reason: IdleReason;
	idleMs: number;
	runs: number;
	/** The endpoint that its last run left; undefined if it was completed or there was none. */
	lastEndpoint: string | undefined;
	/** What it waits for; undefined before its first search. */
	requirement: EndpointRequirement | undefined;
};

/** A run in progress at an endpoint. */
type OpenRun = {id: string; run: ServingRun; route: Route; watch: SilenceWatch};

/** Runs one sample; call `run` once. */
export class SampleRun {
	readonly #settings: SampleRunSettings;
	readonly #sample: SampleRequest;
	readonly #signal: AbortSignal;
	readonly #text: GeneratedText;
	readonly #startedAt = performance.now();
	readonly #times = new PhaseTimes();
	/** Number of events that an earlier owner had already generated. */
	readonly #inheritedEvents: number;
	#failures = 0;
	#runs = 0;
	readonly #search: SampleSearch;
	/** Whether the last run was silent, so that connections opened before may be dead as well. */
	#wasSilent = false;
	/** Number of runs since the last event, all of which broke. */
	#brokenRuns = 0;
	/** Number of events expected at the first search for an endpoint; undefined if unknown. */
	#expectedEvents: number | undefined;
	/** Requirements that the current endpoint was chosen by. */
	#requirement: EndpointRequirement | undefined;
	/** The endpoint that the last run left, by a failure, a refusal or a move; another is preferred. */
	#avoided: string | undefined;
	/** The endpoint that the last run moves to; the next run already counts as open there. */
	#nextEndpoint: RegisteredEndpoint | undefined;
	/** Why it is at no endpoint; undefined while a run is open. */
	#idleReason: IdleReason | undefined = 'search';
	/** Since when it is at no endpoint, on the monotonic clock; a refused run doesn't end that time. */
	#idleSince = performance.now();

	/**
	 * @param signal - aborts when this process no longer needs the sample
	 * @param text - the retained text of an earlier owner
	 */
	constructor(settings: SampleRunSettings, sample: SampleRequest, signal: AbortSignal, text?: GeneratedText) {
		this.#settings = settings;
		this.#sample = sample;
		this.#signal = signal;
		this.#search = new SampleSearch(settings, sample, signal);
		this.#text = text ?? {events: [], versions: new Set()};
		this.#inheritedEvents = this.#text.events.length;
	}

	/** The text generated so far; grows while `run` is in progress. */
	get text(): GeneratedText {
		return this.#text;
	}

	/** Describes the sample while it is at no endpoint; undefined while a run is open. */
	get idle(): IdleSample | undefined {
		return this.#idleReason && {
			reason: this.#idleReason, idleMs: performance.now() - this.#idleSince, runs: this.#runs, lastEndpoint: this.#avoided, requirement: this.#search.requirement,
		};
	}

	/** Runs until the text is complete or can't be completed. Never rejects. */
	async run(): Promise<SampleOutcome> {
		const outcome = await this.#runToEnd();
		this.#releaseNext();
		return outcome;
	}

	async #runToEnd(): Promise<SampleOutcome> {
		while (!this.#signal.aborted) {
			if (performance.now() >= this.#sample.deadlineAt) {
				return {kind: 'expired'};
			}

			const route = this.#settings.findRoute();
			if (!route) {
				return {kind: 'failed'};
			}

			// eslint-disable-next-line no-await-in-loop
			const endpoint = this.#nextEndpoint ?? await this.#findEndpoint(route);
			this.#nextEndpoint = undefined;
			// Each run resumes where the previous one broke off.
			// eslint-disable-next-line no-await-in-loop
			const step = endpoint ? await this.#beginAt(endpoint) : 'again';
			if (step !== 'again') {
				return step;
			}
		}

		return {kind: 'stopped'};
	}

	/** Whether it waits for an endpoint. */
	get isWaiting(): boolean {
		return this.#search.isWaiting;
	}

	async #findEndpoint(route: Route): Promise<RegisteredEndpoint | undefined> {
		const [begunVersion] = this.#text.versions;
		const {requirement, endpoint, isVersionLost} = await this.#search.find(route, begunVersion, this.#avoided, () => this.#estimateRemaining());
		this.#requirement = requirement;
		this.#expectedEvents ??= requirement.units;
		this.#times.mark('waited');
		if (isVersionLost) {
			discardText(this.#text);
		}

		return endpoint;
	}

	/** Releases the acquired endpoint if no run will use it. */
	#releaseNext(): void {
		if (this.#nextEndpoint) {
			this.#settings.directory.release(this.#nextEndpoint.id);
			this.#nextEndpoint = undefined;
		}
	}

	#findHeadPhase({isNotRun}: ServingRun): RunPhase {
		if (isNotRun) {
			return 'refused';
		}

		return this.#text.events.length > 0 ? 'resumed' : 'begun';
	}

	/** Runs at an endpoint unless the configuration in force no longer sends the sample to its service. */
	async #beginAt(endpoint: RegisteredEndpoint): Promise<RunStep> {
		const {directory, findRoute, log} = this.#settings;
		const route = findRoute();
		if (mayBegin(route, endpoint)) {
			return this.#runAt(endpoint, route);
		}

		log.info('run_not_allowed', {
			batch: this.#sample.batch, sample: this.#sample.id, endpoint: endpoint.id, service: endpoint.service,
		});
		directory.release(endpoint.id);
		return 'again';
	}

	async #runAt(endpoint: RegisteredEndpoint, route: Route): Promise<RunStep> {
		const {directory, client, log} = this.#settings;
		const {id} = endpoint;
		const stop = new AbortController();
		const restart = new RestartWatch(directory, id);
		const signal = AbortSignal.any([this.#signal, stop.signal, restart.signal]);
		const before = this.#text.events.length;
		const startedAt = performance.now();
		let headMs: number | undefined;
		let status: number | undefined;
		let isRefused = false;
		const watch = new SilenceWatch(stop, () => directory.findLastReceivedAt(id));
		this.#runs += 1;
		this.#idleReason = undefined;
		try {
			const run = await client.run(endpoint, this.#toServingRequest(route), signal);
			headMs = Math.round(performance.now() - startedAt);
			({status, isNotRun: isRefused} = run);
			this.#times.mark(this.#findHeadPhase(run));
			directory.recordHead(id, run, this.#sample.model);
			watch.recordReceived();
			this.#wasSilent = false;
			return await this.#readRun({
				id, run, route, watch,
			});
		} catch (error) {
			if (this.#signal.aborted) {
				return {kind: 'stopped'};
			}

			this.#brokenRuns = this.#text.events.length > before ? 0 : this.#brokenRuns + 1;
			log.info('run_broken', {
				batch: this.#sample.batch, sample: this.#sample.id, endpoint: id, from: before, events: this.#text.events.length, reason: describeError(error),
			});
			this.#wasSilent = stop.signal.aborted;
			if (stop.signal.aborted) {
				directory.recordSilence(id);
			} else if (!restart.hasRestarted) {
				directory.recordFailure(id);
			}

			this.#avoided = id;
			this.#recordIdle('pause', isRefused);
			await this.#pause();
			this.#times.mark('broken');
			return 'again';
		} finally {
			this.#recordIdle('search', isRefused);
			watch.end();
			restart.end();
			log.info('run_ended', {
				batch: this.#sample.batch, sample: this.#sample.id, model: this.#sample.model, endpoint: id, status, from: before, events: this.#text.events.length, headMs,
				tookMs: Math.round(performance.now() - startedAt),
			});
			// Cancels a run that was not read to its end.
			stop.abort();
			directory.release(id);
		}
	}

	async #readRun({id, run, route, watch}: OpenRun): Promise<RunStep> {
		const {directory, log} = this.#settings;
		const {model} = this.#sample;
		if (run.isNotRun) {
			return this.#recordRefusal(id, run);
		}

		if (run.status === impossibleStatus) {
			return {kind: 'impossible'};
		}

		if (run.status !== 200) {
			this.#failures += 1;
			this.#avoided = id;
			log.info('run_failed', {
				sample: this.#sample.id, endpoint: id, status: run.status, failures: this.#failures, limit: route.maxAttempts,
			});
			return this.#failures >= route.maxAttempts ? {kind: 'failed'} : 'again';
		}

		if (model !== undefined && run.weightVersion !== undefined) {
			directory.recordVersion(id, model, run.weightVersion);
		}

		const isWhole = await this.#readEvents(id, run, watch);
		if (!isWhole) {
			return 'again';
		}

		if (!run.isFramed) {
			// The run may have broken off; a resumed run shows whether events are missing.
			log.info('run_unframed', {sample: this.#sample.id, endpoint: id, events: this.#text.events.length});
			return 'again';
		}

		log.info('text_made', {
			batch: this.#sample.batch, sample: this.#sample.id, endpoint: id, events: this.#text.events.length, kept: this.#inheritedEvents, runs: this.#runs,
			expected: this.#expectedEvents && Math.round(this.#expectedEvents), versions: [...this.#text.versions].join(','),
			tookMs: Math.round(performance.now() - this.#startedAt), ...this.#times.toLogFields(),
		});
		return {kind: 'made', text: this.#text};
	}

	#recordRefusal(id: string, run: ServingRun): RunStep {
		const {directory} = this.#settings;
		this.#avoided = id;
		if (run.status === 421 && run.weightVersion === undefined) {
			directory.recordMisdirected(id);
		}

		return 'again';
	}

	/** Reads the run to its end; false if the sample moves to a better endpoint before that. */
	async #readEvents(id: string, run: ServingRun, watch: SilenceWatch): Promise<boolean> {
		const {directory, log} = this.#settings;
		const from = this.#text.events.length;
		let firstAt: number | undefined;
		let version = run.weightVersion;
		let lastAt = performance.now();
		for await (const event of run.events) {
			appendEvent(this.#text, event, this.#sample);
			this.#times.markEvent();
			watch.recordReceived();
			const now = performance.now();
			directory.recordPace(id, now - lastAt);
			lastAt = now;
			firstAt ??= now;
			if (event.version !== version && this.#sample.model !== undefined) {
				version = event.version;
				directory.recordVersion(id, this.#sample.model, version);
			}

			const count = this.#text.events.length - from;
			if (count % paceReportEvents === 0) {
				directory.recordRunPace(id, (now - firstAt) / (count - 1));
			}

			this.#nextEndpoint = this.#acquireBetter(id, count);
			if (this.#nextEndpoint) {
				log.info('run_moved', {
					batch: this.#sample.batch, sample: this.#sample.id, endpoint: id, to: this.#nextEndpoint.id, events: this.#text.events.length,
				});
				this.#avoided = id;
				return false;
			}
		}

		return true;
	}

	/** Expected remaining events, and time until the sample is due. */
	#estimateRemaining(): Pick<EndpointRequirement, 'units' | 'dueInMs'> {
		const {expectLeft, dueAt} = this.#sample;
		return {units: expectLeft?.(this.#text.events.length), dueInMs: dueAt === undefined ? undefined : dueAt - performance.now()};
	}

	#acquireBetter(id: string, madeHere: number): RegisteredEndpoint | undefined {
		const {directory, findRoute} = this.#settings;
		// A run may stay at a service that its route has left, but not move within it.
		if (!this.#requirement || !allowsService(findRoute(), this.#requirement.service)) {
			return undefined;
		}

		const {units, dueInMs} = this.#estimateRemaining();
		return units === undefined
			? directory.acquireBetter(id, this.#requirement, madeHere >= longRunEvents)
			: directory.acquireFaster(id, {...this.#requirement, units, dueInMs}, madeHere);
	}

	#toServingRequest(route: Route): ServingRequest {
		const {id, request, deadlineAt} = this.#sample;
		const {events} = this.#text;
		return {
			...request,
			attemptId: id,
			remainingMs: Math.max(1, Math.round(deadlineAt - performance.now())),
			urgency: findUrgency(this.#sample, route),
			...(events.length > 0 ? {resumeAfter: events.length} : {}),
			...(this.#wasSilent ? {usesNewConnection: true} : {}),
		};
	}

	/** Records that the sample is at no endpoint any more, or why it still is at none. */
	#recordIdle(reason: IdleReason, wasRefused: boolean): void {
		if (this.#idleReason === undefined && !wasRefused) {
			this.#idleSince = performance.now();
		}

		this.#idleReason = reason;
	}

	async #pause(): Promise<void> {
		const {initialMs, maxMs} = retryPause;
		await new Promise<void>(resolve => {
			setTimeout(resolve, Math.min(maxMs, initialMs * (2 ** Math.max(0, this.#brokenRuns - 1))));
		});
	}
}
