/**
 * The state of an endpoint as one process knows it: load, pace, weight versions, refusals and failures.
 */
import {
	AttemptBackoff, BestPace, defaultPolicy, hasExpectedHeadroom, SpeedModel, type DirectCandidate, type EndpointBacklog, type EndpointSpeed, type Policy,
} from '@wasabiusher/decisions';
import type {EndpointLoad, ServingHead} from '@wasabiusher/backends';
import {dropOldest, type RegisteredEndpoint} from '@wasabiusher/shared';

/** First and longest pause after a failed attempt at an endpoint, in milliseconds; the pause doubles with each further failure. */
const firstPauseMs = 200;
const maxPauseMs = 2000;

/** Pauses after a refusal, in milliseconds: the first is the service time of a few requests, the longest a sixth of a weight load. */
const refusalPause = {initialMs: 50, maxMs: 150};

/** Pauses after a silence, in milliseconds; an endpoint that stops responding usually stays unresponsive for seconds. */
const silencePause = {initialMs: 200, maxMs: 2000};

/** Age after which a reported load is ignored, in milliseconds. */
const maxLoadAgeMs = 1000;

/** Time for which endpoints commonly keep an idle connection open, in milliseconds. */
const keepAliveMs = 3000;

/** Maximum number of shared prompt keys remembered per endpoint; the oldest are evicted first. */
const maxWarmKeys = 256;

/** HTTP status of an answer from a different server at the same address. */
const misdirectedStatus = 421;

/** The state of one endpoint. Times are on the monotonic clock. */
export class EndpointState {
	endpoint: RegisteredEndpoint;
	/** When its registration vanished; undefined while it is registered. */
	vanishedAt: number | undefined;
	readonly #model = new SpeedModel();
	/** Best pace as measured by this process, and by any process. */
	readonly #ownBest = new BestPace();
	readonly #best = new BestPace();
	readonly #refusals = new AttemptBackoff(refusalPause);
	readonly #silences = new AttemptBackoff(silencePause);
	/** When an answer or an event last arrived from it. */
	#lastReceivedAt = Number.NEGATIVE_INFINITY;
	/** Newest known version of each model; a running endpoint never returns to an older one. */
	readonly #versions = new Map<string, number>();
	readonly #warmKeys = new Set<string>();
	#open = 0;
	/** Attempts that are still open at a previous incarnation of this id. */
	#previousOpen: number;
	#load: EndpointLoad | undefined;
	#loadAt = 0;
	/** When the last attempt began, and when the last answer began. */
	#lastBegunAt = Number.NEGATIVE_INFINITY;
	#lastHeadAt = Number.NEGATIVE_INFINITY;
	#openAtLoad = 0;
	#pausedUntil = 0;
	#failures = 0;
	/** When a request of this process last ended at this endpoint. */
	#lastEndedAt = Number.NEGATIVE_INFINITY;
	readonly #policy: Policy;

	/** @param previousOpen - attempts that are still open at a previous incarnation */
	constructor(endpoint: RegisteredEndpoint, policy = defaultPolicy, previousOpen = 0) {
		this.endpoint = endpoint;
		this.#policy = policy;
		this.#previousOpen = previousOpen;
	}

	/** Applies a registration of the same incarnation. An endpoint with a known start time stays draining, even if an older registration arrives late. */
	register(endpoint: RegisteredEndpoint): void {
		const isDraining = endpoint.isDraining || (endpoint.bornMs !== undefined && this.endpoint.bornMs === endpoint.bornMs && this.endpoint.isDraining);
		this.endpoint = {...endpoint, isDraining};
		this.vanishedAt = undefined;
	}

	/** Attempts that are still open, at this incarnation and at previous ones. */
	countOpenAttempts(): number {
		return this.#open + this.#previousOpen;
	}

	/** Requests of this process that are open at this endpoint. */
	get open(): number {
		return this.#open;
	}

	/** When an answer or an event last arrived from it, on the monotonic clock. */
	get lastReceivedAt(): number {
		return this.#lastReceivedAt;
	}

	/** Whether a recent load report is known. */
	get isLoadKnown(): boolean {
		return this.#load !== undefined && performance.now() - this.#loadAt < maxLoadAgeMs;
	}

	/** Age of the last load report, in milliseconds; infinite if there is none. */
	get loadAgeMs(): number {
		return this.#load === undefined ? Number.POSITIVE_INFINITY : performance.now() - this.#loadAt;
	}

	/** Whether the latest attempt is open and has not been answered yet. */
	get awaitsHead(): boolean {
		return this.#open > 0 && this.#lastBegunAt > this.#lastHeadAt;
	}

	/** Requests of other processes at this endpoint, by its last load report; 0 if no recent report is known. */
	get others(): number {
		const load = this.isLoadKnown ? this.#load : undefined;
		return load ? Math.max(0, load.running + load.waiting - this.#openAtLoad) : 0;
	}

	/** Persistent and episodic speed without transient slowness, in milliseconds per unit of work; undefined until measured. */
	get persistentMs(): number | undefined {
		const {persistentMs, episodicFactor} = this.#model.speed;
		return persistentMs === undefined ? this.#model.recentMs : persistentMs * episodicFactor;
	}

	/** Whether it is persistently slower than a pace in milliseconds per unit; false if either is unknown. */
	isSlower(paceMs: number | undefined): boolean {
		return paceMs !== undefined && this.#policy.weighsPaces && (this.persistentMs ?? 0) > paceMs;
	}

	/** Whether it probably has headroom for one more request now. */
	get hasExpectedHeadroom(): boolean {
		return hasExpectedHeadroom({
			slots: this.endpoint.slots, open: this.#open, openElsewhere: this.others, ageMs: performance.now() - this.#loadAt, workMs: this.paceMs,
		});
	}

	/** Whether no pause prevents an attempt now. */
	get isAvailable(): boolean {
		const {pausesAfterRefusals, pausesAfterSilences} = this.#policy;
		return performance.now() >= this.#pausedUntil && (this.#refusals.canAttempt || !pausesAfterRefusals) && (this.#silences.canAttempt || !pausesAfterSilences);
	}

	/** Newest known version of a model. */
	findVersion(model: string): number | undefined {
		return this.#versions.get(model);
	}

	/** Newest known version of each model. */
	get versions(): ReadonlyMap<string, number> {
		return this.#versions;
	}

	/** Records a version of a model; returns whether it is newer than the known one. */
	recordVersion(model: string, version: number): boolean {
		if (version <= (this.#versions.get(model) ?? 0)) {
			return false;
		}

		this.#versions.set(model, version);
		return true;
	}

	/** Records that an attempt begins. */
	begin(warmKey: string | undefined): void {
		this.#open += 1;
		this.#lastBegunAt = performance.now();
		this.#refusals.begin();
		this.#silences.begin();
		if (warmKey === undefined) {
			return;
		}

		this.#warmKeys.delete(warmKey);
		this.#warmKeys.add(warmKey);
		dropOldest(this.#warmKeys, maxWarmKeys);
	}

	/** Records that an attempt has ended. */
	end(): void {
		if (this.#previousOpen > 0) {
			// Attempts at a previous incarnation are ended as soon as it restarts, so their ends arrive first.
			this.#previousOpen -= 1;
			return;
		}

		this.#open = Math.max(0, this.#open - 1);
		this.#refusals.end();
		this.#silences.end();
		this.#lastEndedAt = performance.now();
	}

	/** Updates load and pauses from the head of an answer. */
	recordHead({load, isNotRun, status}: ServingHead): void {
		this.#failures = 0;
		this.#lastHeadAt = performance.now();
		this.#lastReceivedAt = this.#lastHeadAt;
		this.#silences.recordSuccess();
		if (load) {
			this.#load = load;
			this.#loadAt = performance.now();
			this.#openAtLoad = this.#open;
			this.#model.recordTransient(load.slowness ?? 1);
		}

		if (!isNotRun) {
			this.#refusals.recordSuccess();
		} else if (status !== misdirectedStatus) {
			this.#refusals.record();
		}
	}

	/** Records an attempt that got no valid answer. */
	recordFailure(): void {
		this.#pausedUntil = performance.now() + Math.min(maxPauseMs, firstPauseMs * (2 ** this.#failures));
		this.#failures += 1;
	}

	/** Records that an open run got no event within its silence limit. */
	recordSilence(): void {
		this.#silences.record();
	}

	/** Prevents attempts for a time in milliseconds, for example while it loads weights. */
	pause(pauseMs: number): void {
		this.#pausedUntil = Math.max(this.#pausedUntil, performance.now() + pauseMs);
	}

	/** Records that data arrived from it. */
	recordReceived(): void {
		this.#lastReceivedAt = performance.now();
	}

	/** Records the time of one unit of work, in milliseconds. */
	recordPace(unitMs: number): void {
		this.recordReceived();
		this.#model.recordUnit(unitMs);
	}

	/** Records the mean time per unit of work over a run so far, in milliseconds. */
	recordRunPace(unitMs: number): void {
		this.#model.recordRun(unitMs);
		this.#ownBest.record(unitMs);
		this.#best.record(unitMs);
	}

	/** Assumes a persistent speed that was measured by another process or earlier, in milliseconds per unit. */
	guessPersistentSpeed(unitMs: number): void {
		this.#model.assumePersistent(unitMs);
	}

	/** Its speed, split into persistent, episodic and transient parts. */
	get speed(): EndpointSpeed {
		return this.#model.speed;
	}

	/** Its persistent speed, if this process has measured it well enough to report it, in milliseconds per unit. */
	get ownPersistentMs(): number | undefined {
		return this.#model.ownPersistentMs;
	}

	/** Records the best pace that another process has reported, in milliseconds per unit. */
	recordReportedPace(unitMs: number): void {
		this.#best.record(unitMs);
	}

	/** Its best recent pace as measured by this process, in milliseconds per unit. */
	get ownBestMs(): number | undefined {
		return this.#ownBest.unitMs;
	}

	/** Its best recent pace as measured by any process, in milliseconds per unit. */
	get bestMs(): number | undefined {
		return this.#best.unitMs;
	}

	/** Its known occupancy. Load reports lag, so requests that are open here always count. */
	toHeadroom(): EndpointBacklog {
		const {slots} = this.endpoint;
		const occupied = this.#open + this.others;
		return {
			slots, running: Math.min(slots, occupied), waiting: Math.max(0, occupied - slots), workMs: this.#model.recentMs,
		};
	}

	/** Pace used to choose between endpoints, in milliseconds per unit of work. */
	get paceMs(): number | undefined {
		return this.#policy.plansTexts ? this.#model.expectedMs : this.#model.recentMs;
	}

	/** Describes it for the choice between endpoints. */
	toCandidate(warmKey: string | undefined, dedicated?: ReadonlySet<string>): DirectCandidate {
		const now = performance.now();
		const {id, slots} = this.endpoint;
		const {weighsPaces, plansTexts, prefersWarm, prefersConnected} = this.#policy;
		return {
			id,
			slots,
			open: this.#open,
			openElsewhere: this.others,
			paceMs: weighsPaces ? this.paceMs : undefined,
			transientFactor: weighsPaces && plansTexts ? this.#model.transientFactor : 1,
			hasCachedPrefix: prefersWarm && warmKey !== undefined && this.#warmKeys.has(warmKey),
			isDedicated: dedicated?.has(id) ?? false,
			isConnected: prefersConnected && now - this.#lastEndedAt < keepAliveMs,
		};
	}
}
