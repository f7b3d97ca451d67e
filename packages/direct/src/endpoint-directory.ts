/**
 * The endpoints that are registered, with what this process has seen of each.
 */
import {chooseDirect, shouldMove, type DirectCandidate} from '@wasabiusher/decisions';
import type {EndpointLoad, ServingHead} from '@wasabiusher/backends';
import type {Random, RegisteredEndpoint} from '@wasabiusher/shared';

/**
 * How long an endpoint whose registration has vanished is still asked if nothing else can be, in milliseconds.
 * Registrations vanish as well when the store was down and are back within about two seconds; endpoints that
 * leave serve on for two seconds at least.
 */
const vanishedMs = 1200;

/** First and longest time for which an endpoint that could not be reached is left alone, in milliseconds. */
const firstPauseMs = 200;
const longestPauseMs = 2000;

/**
 * First and longest time for which an endpoint that refused is left alone, in milliseconds: some requests' service time, and
 * a part of the second that loading weights takes. Without the doubling half of all attempts met an endpoint that was loading.
 */
const fullPauseMs = 50;
const longestFullPauseMs = 400;

/** Weight of a new measurement in an endpoint's pace: four of them are two thirds of it. */
const paceSmoothing = 0.25;

/** Time after which a measured pace counts for nothing, in milliseconds, so that an endpoint that was slow is tried again. */
const paceAgeMs = 2000;

/** Longest time for a unit of work that counts in the pace, in milliseconds; loading weights takes longer. */
const maxUnitMs = 600;

/** Measurements before a pace counts. */
const minPaces = 3;

/** Time after which what an endpoint told of its load counts for nothing, in milliseconds. */
const loadAgeMs = 1000;

type Standing = {
	endpoint: RegisteredEndpoint;
	vanishedAt: number | undefined;
	open: number;
	load: EndpointLoad | undefined;
	loadAt: number;
	openAtLoad: number;
	pausedUntil: number;
	failures: number;
	/** Refusals one after the other. */
	refusals: number;
	paceMs: number | undefined;
	paceAt: number;
	paceCount: number;
	/** Newest version seen of each model; a running endpoint never goes back. */
	versions: Map<string, number>;
	warmKeys: Set<string>;
	/** When a request of this process last ended there. */
	usedAt: number;
};

/** What an attempt needs of an endpoint. */
export type EndpointNeed = {
	service: string;
	/** Endpoints that are left out. */
	excluded?: ReadonlySet<string>;
	/** Oldest version of a model that may serve it. */
	least?: {model: string; version: number};
	/** Exactly this version of a model. */
	exact?: {model: string; version: number};
	/** Names what requests share, to find an endpoint that has read it. */
	warmKey?: string;
	/** Most requests of this process at one endpoint, as a multiple of its slots; undefined for no limit. */
	openLimit?: number;
};

/** Time for which a connection is open after its last request, in milliseconds, as endpoints commonly keep them. */
const connectedMs = 3000;

/** Most shared parts remembered for one endpoint; older ones are forgotten first. */
const maxWarmKeys = 256;

/** Registered endpoints and their standing. */
export class EndpointDirectory {
	readonly #standings = new Map<string, Standing>();
	readonly #random: Random;
	readonly #listeners = new Set<() => void>();

	constructor(random: Random) {
		this.#random = random;
	}

	/** Takes over a registration. */
	put(endpoint: RegisteredEndpoint): void {
		const standing = this.#standings.get(endpoint.id) ?? createStanding(endpoint);
		standing.endpoint = endpoint;
		standing.vanishedAt = undefined;
		for (const {model, version} of endpoint.models) {
			noteVersion(standing, model, version);
		}

		this.#standings.set(endpoint.id, standing);
		this.#notify();
	}

	/** Notes that a registration is gone; the endpoint is a last resort for a moment. */
	remove(id: string): void {
		const standing = this.#standings.get(id);
		if (standing) {
			standing.vanishedAt ??= performance.now();
		}
	}

	/** The registration of an endpoint, as last known. */
	get(id: string): RegisteredEndpoint | undefined {
		return this.#standings.get(id)?.endpoint;
	}

	/** Registered endpoints of a service, also those that are leaving. */
	list(service?: string): RegisteredEndpoint[] {
		this.#forget();
		return [...this.#standings.values()]
			.filter(({endpoint, vanishedAt}) => vanishedAt === undefined && (service === undefined || endpoint.service === service))
			.map(({endpoint}) => endpoint);
	}

	/** Newest version of a model that an endpoint is known to hold; undefined if it does not hold it. */
	findVersion(id: string, model: string): number | undefined {
		return this.#standings.get(id)?.versions.get(model);
	}

	/** Requests of this process that are open at an endpoint. */
	countOpen(id: string): number {
		return this.#standings.get(id)?.open ?? 0;
	}

	/** Calls back whenever an endpoint may have become free or fit; returns how to end that. */
	onChange(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Chooses an endpoint for an attempt and counts it as open there; undefined if none can be asked now. */
	take(need: EndpointNeed): RegisteredEndpoint | undefined {
		this.#forget();
		const now = performance.now();
		const fits = [...this.#standings.values()].filter(standing => isFit(standing, need));
		const usable = fits.filter(({vanishedAt, pausedUntil}) => vanishedAt === undefined && pausedUntil <= now);
		const chosen = this.#choose(usable, need) ?? this.#choose(fits.filter(({vanishedAt, pausedUntil}) => vanishedAt !== undefined && pausedUntil <= now), need);
		if (!chosen) {
			return undefined;
		}

		chosen.open += 1;
		if (need.warmKey !== undefined) {
			noteWarm(chosen, need.warmKey);
		}

		return chosen.endpoint;
	}

	/** Ends what `take` has begun. */
	release(id: string): void {
		const standing = this.#standings.get(id);
		if (standing) {
			standing.open = Math.max(0, standing.open - 1);
			standing.usedAt = performance.now();
			this.#notify();
		}
	}

	/** Learns from the beginning of an answer. */
	recordHead(id: string, {load, isNotRun, status}: ServingHead): void {
		const standing = this.#standings.get(id);
		if (!standing) {
			return;
		}

		standing.failures = 0;
		if (load) {
			standing.load = load;
			standing.loadAt = performance.now();
			standing.openAtLoad = standing.open;
		}

		if (!isNotRun) {
			standing.refusals = 0;
		} else if (status !== 421 && standing.pausedUntil <= performance.now()) {
			// Of refusals at the same time one counts.
			standing.pausedUntil = performance.now() + Math.min(longestFullPauseMs, fullPauseMs * (2 ** standing.refusals));
			standing.refusals += 1;
		}
	}

	/** Notes that another server has the address, so this one is gone. */
	recordMisdirected(id: string): void {
		this.#standings.delete(id);
	}

	/** Notes that nothing or nothing sound came back. */
	recordFailure(id: string): void {
		const standing = this.#standings.get(id);
		if (standing) {
			standing.pausedUntil = performance.now() + Math.min(longestPauseMs, firstPauseMs * (2 ** standing.failures));
			standing.failures += 1;
		}
	}

	/** Learns how long a unit of work took. */
	recordPace(id: string, unitMs: number): void {
		const standing = this.#standings.get(id);
		if (!standing) {
			return;
		}

		// A pause for new weights says nothing of the pace.
		if (unitMs > maxUnitMs) {
			return;
		}

		const now = performance.now();
		if (now - standing.paceAt > paceAgeMs) {
			standing.paceMs = undefined;
			standing.paceCount = 0;
		}

		standing.paceMs = standing.paceMs === undefined ? unitMs : standing.paceMs + (paceSmoothing * (unitMs - standing.paceMs));
		standing.paceAt = now;
		standing.paceCount += 1;
	}

	/** Whether a run at an endpoint had better go on at another one that fits the same need. */
	shouldMove(id: string, need: EndpointNeed, isLong: boolean): boolean {
		const current = this.#standings.get(id);
		if (!current) {
			return false;
		}

		const now = performance.now();
		const others = [...this.#standings.values()].filter(standing => standing !== current && standing.vanishedAt === undefined && standing.pausedUntil <= now && isFit(standing, need));
		return shouldMove(toCandidate(current, undefined), others.map(standing => toCandidate(standing, undefined)), isLong);
	}

	/** Learns which version of a model an endpoint serves. */
	recordVersion(id: string, model: string, version: number): void {
		const standing = this.#standings.get(id);
		if (standing && noteVersion(standing, model, version)) {
			this.#notify();
		}
	}

	/** Leaves an endpoint alone for a time, such as while it loads weights. */
	pause(id: string, pauseMs: number): void {
		const standing = this.#standings.get(id);
		if (standing) {
			standing.pausedUntil = Math.max(standing.pausedUntil, performance.now() + pauseMs);
		}
	}

	#choose(standings: readonly Standing[], need: EndpointNeed): Standing | undefined {
		const candidates = standings.map(standing => toCandidate(standing, need.warmKey));
		const chosen = chooseDirect(candidates, this.#random.next());
		return chosen && this.#standings.get(chosen.id);
	}

	#forget(): void {
		const now = performance.now();
		for (const [id, {vanishedAt}] of this.#standings) {
			if (vanishedAt !== undefined && now - vanishedAt > vanishedMs) {
				this.#standings.delete(id);
			}
		}
	}

	#notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}

function createStanding(endpoint: RegisteredEndpoint): Standing {
	return {
		endpoint, vanishedAt: undefined, open: 0, load: undefined, loadAt: 0, openAtLoad: 0, pausedUntil: 0, failures: 0, refusals: 0, paceMs: undefined, paceAt: 0, paceCount: 0,
		versions: new Map(), warmKeys: new Set(), usedAt: Number.NEGATIVE_INFINITY,
	};
}

function noteVersion({versions}: Standing, model: string, version: number): boolean {
	if (version <= (versions.get(model) ?? 0)) {
		return false;
	}

	versions.set(model, version);
	return true;
}

function noteWarm({warmKeys}: Standing, key: string): void {
	warmKeys.delete(key);
	warmKeys.add(key);
	if (warmKeys.size > maxWarmKeys) {
		const [oldest] = warmKeys;
		warmKeys.delete(oldest!);
	}
}

function isFit({endpoint, open, versions}: Standing, {service, excluded, least, exact, openLimit}: EndpointNeed): boolean {
	return endpoint.service === service
		&& !endpoint.isDraining
		&& !excluded?.has(endpoint.id)
		&& (openLimit === undefined || open < openLimit * endpoint.slots)
		&& (!least || (versions.get(least.model) ?? 0) >= least.version)
		&& (!exact || versions.get(exact.model) === exact.version);
}

function toCandidate(standing: Standing, warmKey: string | undefined): DirectCandidate {
	const {endpoint, open, load, loadAt, openAtLoad, paceMs, paceAt, paceCount, warmKeys, usedAt} = standing;
	const now = performance.now();
	const isFresh = load !== undefined && now - loadAt < loadAgeMs;
	const hasPace = paceCount >= minPaces && now - paceAt < paceAgeMs;
	return {
		id: endpoint.id,
		slots: endpoint.slots,
		open,
		others: isFresh ? Math.max(0, load.running + load.waiting - openAtLoad) : 0,
		paceMs: hasPace ? paceMs : undefined,
		isWarm: warmKey !== undefined && warmKeys.has(warmKey),
		isConnected: now - usedAt < connectedMs,
	};
}
