/**
 * What one process has seen of an endpoint: its load, pace, versions, refusals and failures.
 */
import {
	AttemptPause, BestPace, defaultPolicy, isRoomExpected, SpeedModel, type DirectCandidate, type EndpointRoom, type EndpointSpeed, type Policy,
} from '@wasabiusher/decisions';
import type {EndpointLoad, ServingHead} from '@wasabiusher/backends';
import {dropOldest, type RegisteredEndpoint} from '@wasabiusher/shared';

/** First and longest time for which an endpoint that could not be reached is left alone, in milliseconds. */
const firstPauseMs = 200;
const maxPauseMs = 2000;

/** Pauses after a refusal, in milliseconds: some requests' service time, and a sixth of the time that loading takes. */
const refusalPause = {firstMs: 50, longestMs: 150};

/** Pauses after a silence, in milliseconds; an endpoint that is dark mostly stays so for seconds. */
const silencePause = {firstMs: 200, longestMs: 2000};

/** Time after which what an endpoint told of its load counts for nothing, in milliseconds. */
const maxLoadAgeMs = 1000;

/** Time for which a connection is open after its last request, in milliseconds, as endpoints commonly keep them. */
const keepAliveMs = 3000;

/** Most shared parts remembered for one endpoint; older ones are forgotten first. */
const maxWarmKeys = 256;

/** Status of an answer from another server at the same address. */
const misdirectedStatus = 421;

/** The standing of one endpoint. */
export class EndpointStanding {
	endpoint: RegisteredEndpoint;
	/** When its registration vanished, on the monotonic clock. */
	vanishedAt: number | undefined;
	readonly #model = new SpeedModel();
	/** As measured here, and by any process. */
	readonly #ownBest = new BestPace();
	readonly #best = new BestPace();
	readonly #refusals = new AttemptPause(refusalPause);
	readonly #silences = new AttemptPause(silencePause);
	/** When anything last came from it. */
	#lastReceivedAt = Number.NEGATIVE_INFINITY;
	/** Newest version seen of each model; a running endpoint never goes back. */
	readonly #versions = new Map<string, number>();
	readonly #warmKeys = new Set<string>();
	#open = 0;
	/** Attempts at an earlier start under this id that have not been ended yet. */
	#previousOpen: number;
	#load: EndpointLoad | undefined;
	#loadAt = 0;
	/** When the last attempt began, and when an answer last did. */
	#lastBegunAt = Number.NEGATIVE_INFINITY;
	#lastHeadAt = Number.NEGATIVE_INFINITY;
	#openAtLoad = 0;
	#pausedUntil = 0;
	#failures = 0;
	/** When a request of this process last ended there. */
	#lastEndedAt = Number.NEGATIVE_INFINITY;
	readonly #policy: Policy;

	/** @param formerOpen - attempts at an earlier start whose ends are still to come */
	constructor(endpoint: RegisteredEndpoint, policy = defaultPolicy, formerOpen = 0) {
		this.endpoint = endpoint;
		this.#policy = policy;
		this.#previousOpen = formerOpen;
	}

	/** Takes over a registration of the same start. One that tells its start never comes back from draining, whatever is written late. */
	register(endpoint: RegisteredEndpoint): void {
		const isDraining = endpoint.isDraining || (endpoint.bornMs !== undefined && this.endpoint.bornMs === endpoint.bornMs && this.endpoint.isDraining);
		this.endpoint = {...endpoint, isDraining};
		this.vanishedAt = undefined;
	}

	/** Attempts whose ends are still to come, at this start and at earlier ones. */
	countOpenAttempts(): number {
		return this.#open + this.#previousOpen;
	}

	/** Requests of this process that are open there. */
	get open(): number {
		return this.#open;
	}

	/** When an answer or an event last came from it, on the monotonic clock. */
	get lastReceivedAt(): number {
		return this.#lastReceivedAt;
	}

	/** Whether it told its load lately. */
	get isLoadKnown(): boolean {
		return this.#load !== undefined && performance.now() - this.#loadAt < maxLoadAgeMs;
	}

	/** Time since it last told its load, in milliseconds. */
	get loadAgeMs(): number {
		return this.#load === undefined ? Number.POSITIVE_INFINITY : performance.now() - this.#loadAt;
	}

	/** Whether an attempt is open there that has not been answered yet. */
	get awaitsHead(): boolean {
		return this.#open > 0 && this.#lastBegunAt > this.#lastHeadAt;
	}

	/** Requests of other processes there, as last told. */
	get others(): number {
		const load = this.isLoadKnown ? this.#load : undefined;
		return load ? Math.max(0, load.running + load.waiting - this.#openAtLoad) : 0;
	}

	/** Time for a unit of work without what passes within tenths of a second, in milliseconds; undefined until measured. */
	get persistentMs(): number | undefined {
		const {classMs, spell} = this.#model.speed;
		return classMs === undefined ? this.#model.recentMs : classMs * spell;
	}

	/** Whether it is lastingly slower than a pace, as far as both are known. */
	isSlower(paceMs: number | undefined): boolean {
		return paceMs !== undefined && this.#policy.weighsPaces && (this.persistentMs ?? 0) > paceMs;
	}

	/** Whether it has probably room for one more request now. */
	get hasExpectedHeadroom(): boolean {
		return isRoomExpected({
			slots: this.endpoint.slots, open: this.#open, others: this.others, ageMs: performance.now() - this.#loadAt, workMs: this.paceMs,
		});
	}

	/** Whether an attempt may be made now, as far as pauses go. */
	get isAvailable(): boolean {
		const {pausesAfterRefusals, pausesAfterSilences} = this.#policy;
		return performance.now() >= this.#pausedUntil && (this.#refusals.isOpen || !pausesAfterRefusals) && (this.#silences.isOpen || !pausesAfterSilences);
	}

	/** Newest version known of a model. */
	findVersion(model: string): number | undefined {
		return this.#versions.get(model);
	}

	/** Newest version known of each model. */
	get versions(): ReadonlyMap<string, number> {
		return this.#versions;
	}

	/** Learns of a version; returns whether it is newer than what was known. */
	recordVersion(model: string, version: number): boolean {
		if (version <= (this.#versions.get(model) ?? 0)) {
			return false;
		}

		this.#versions.set(model, version);
		return true;
	}

	/** Notes that an attempt begins there. */
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

	/** Notes that an attempt has ended. */
	end(): void {
		if (this.#previousOpen > 0) {
			// Those at the earlier start are ended at once, so they come first.
			this.#previousOpen -= 1;
			return;
		}

		this.#open = Math.max(0, this.#open - 1);
		this.#refusals.end();
		this.#silences.end();
		this.#lastEndedAt = performance.now();
	}

	/** Learns from the beginning of an answer. */
	recordHead({load, isNotRun, status}: ServingHead): void {
		this.#failures = 0;
		this.#lastHeadAt = performance.now();
		this.#lastReceivedAt = this.#lastHeadAt;
		this.#silences.recordSuccess();
		if (load) {
			this.#load = load;
			this.#loadAt = performance.now();
			this.#openAtLoad = this.#open;
			this.#model.recordMoment(load.slowness ?? 1);
		}

		if (!isNotRun) {
			this.#refusals.recordSuccess();
		} else if (status !== misdirectedStatus) {
			this.#refusals.record();
		}
	}

	/** Notes that nothing or nothing sound came back. */
	recordFailure(): void {
		this.#pausedUntil = performance.now() + Math.min(maxPauseMs, firstPauseMs * (2 ** this.#failures));
		this.#failures += 1;
	}

	/** Notes that nothing has come for long though a run was open. */
	recordSilence(): void {
		this.#silences.record();
	}

	/** Leaves it alone for a time, such as while it loads weights. */
	pause(pauseMs: number): void {
		this.#pausedUntil = Math.max(this.#pausedUntil, performance.now() + pauseMs);
	}

	/** Notes that something has come from it. */
	recordReceived(): void {
		this.#lastReceivedAt = performance.now();
	}

	/** Learns how long a unit of work took, in milliseconds. */
	recordPace(unitMs: number): void {
		this.recordReceived();
		this.#model.recordUnit(unitMs);
	}

	/** Learns how long a unit of work took on average over a whole run so far, in milliseconds. */
	recordRunPace(unitMs: number): void {
		this.#model.recordRun(unitMs);
		this.#ownBest.record(unitMs);
		this.#best.record(unitMs);
	}

	/** Takes over a lasting class that was measured elsewhere or earlier, in milliseconds for a unit. */
	guessPersistentSpeed(unitMs: number): void {
		this.#model.guessClass(unitMs);
	}

	/** How fast it is. */
	get speed(): EndpointSpeed {
		return this.#model.speed;
	}

	/** Its lasting class, if this process has measured it well enough to tell others, in milliseconds for a unit. */
	get ownPersistentMs(): number | undefined {
		return this.#model.ownClassMs;
	}

	/** Learns what another process has measured as its best pace, in milliseconds. */
	recordReportedPace(unitMs: number): void {
		this.#best.record(unitMs);
	}

	/** Its best pace of late as measured by this process, in milliseconds. */
	get ownBestMs(): number | undefined {
		return this.#ownBest.unitMs;
	}

	/** Its best pace of late as measured by any process, in milliseconds. */
	get bestMs(): number | undefined {
		return this.#best.unitMs;
	}

	/** What is known of its room; what was told of its load lags, so that what is open here counts at least. */
	toHeadroom(): EndpointRoom {
		const {slots} = this.endpoint;
		const occupied = this.#open + this.others;
		return {
			slots, running: Math.min(slots, occupied), waiting: Math.max(0, occupied - slots), workMs: this.#model.recentMs,
		};
	}

	/** Time for a unit of work that counts in a choice, in milliseconds. */
	get paceMs(): number | undefined {
		return this.#policy.plansTexts ? this.#model.expectedMs : this.#model.recentMs;
	}

	/** What the choice between endpoints needs to know. */
	toCandidate(warmKey: string | undefined, dedicated?: ReadonlySet<string>): DirectCandidate {
		const now = performance.now();
		const {id, slots} = this.endpoint;
		const {weighsPaces, plansTexts, prefersWarm, prefersConnected} = this.#policy;
		return {
			id,
			slots,
			open: this.#open,
			others: this.others,
			paceMs: weighsPaces ? this.paceMs : undefined,
			moment: weighsPaces && plansTexts ? this.#model.moment : 1,
			isWarm: prefersWarm && warmKey !== undefined && this.#warmKeys.has(warmKey),
			isHome: dedicated?.has(id) ?? false,
			isConnected: prefersConnected && now - this.#lastEndedAt < keepAliveMs,
		};
	}
}
