/**
 * Finds the request that crashes each endpoint that runs it.
 *
 * Load pattern: now and then a single request crashes its endpoint, and its caller sends it again. Without this
 * each retry and each re-send takes down one more endpoint, with all that runs there. What was in flight at a crash
 * is suspect, by a fingerprint of its content. A suspect runs again only by itself, at the one endpoint that
 * `chooseIsolation` names whichever entry asks, so that copies sent through several entries meet there. A second
 * crash quarantines it; finishing anywhere clears it.
 */
import {orderByRank, dropOldest} from '@wasabiusher/shared';

/** How a request with some fingerprint may run. */
export type Verdict
	= | {kind: 'free'}
		/** Alone, and not where it was when an endpoint crashed. */
		| {kind: 'isolate'; avoid: readonly string[]}
		| {kind: 'quarantined'; retryAfterMs: number};

/** A crash, named the same by all that hear of it. */
export type Crash = {
	endpoint: string;
	/** Tells one run of the endpoint's process from the next. */
	incarnation: string;
	/** Fingerprints of what was in flight there. */
	fingerprints: readonly string[];
};

/** What entries tell one another of a fingerprint; times are left over, as their clocks differ. */
export type Suspicion = {
	fingerprint: string;
	/** `<endpoint>@<incarnation>` of each crash at which it was in flight. */
	crashes: readonly string[];
	/** Those of them that a later finish has cleared it of. */
	cleared: readonly string[];
	remainingMs: number;
	/** Terms of quarantine so far. */
	terms: number;
};

type Suspect = {crashes: Set<string>; cleared: Set<string>; until: number; terms: number};

export type PoisonLimits = {
	/** Crashes of different runs at which a request must have been in flight to be quarantined. */
	crashesToQuarantine: number;
	/** How long a suspect is remembered, in milliseconds. */
	suspicionMs: number;
	/** First term of quarantine, in milliseconds, doubled by each that follows a further crash, up to a day. */
	firstTermMs: number;
};

/** For requests that run alone once they are suspect; callers that send again do so within minutes. */
const defaultLimits: PoisonLimits = {crashesToQuarantine: 2, suspicionMs: 600_000, firstTermMs: 600_000};

const maxQuarantineMs = 86_400_000;

/** Fingerprints remembered; an endpoint holds some hundred requests, so this covers a hundred crashes in some megabytes. */
const maxSuspects = 10_000;

/** Judges requests by what crashed. */
export class PoisonGuard {
	readonly #suspects = new Map<string, Suspect>();
	readonly #limits: PoisonLimits;

	constructor(limits: Partial<PoisonLimits> = {}) {
		this.#limits = {...defaultLimits, ...limits};
	}

	/** Requests that are or were suspect; while there are none, none needs a fingerprint. */
	get size(): number {
		return this.#suspects.size;
	}

	/** Whether a request was in flight at a crash of late. */
	isSuspect(fingerprint: string): boolean {
		const row = this.#suspects.get(fingerprint);
		return row !== undefined && listUnclearedCrashes(row).length > 0;
	}

	/** How a request may run now. */
	judge(fingerprint: string, now: number): Verdict {
		const row = this.#suspects.get(fingerprint);
		const crashes = row ? listUnclearedCrashes(row) : [];
		if (!row || crashes.length === 0 || (now >= row.until && row.terms === 0)) {
			return {kind: 'free'};
		}

		// After its term it is tried again, but alone.
		return crashes.length >= this.#limits.crashesToQuarantine && now < row.until
			? {kind: 'quarantined', retryAfterMs: row.until - now}
			: {kind: 'isolate', avoid: crashes.map(crash => crash.slice(0, crash.lastIndexOf('@')))};
	}

	/** Suspects what was in flight at a crash; one that was heard of already changes nothing. */
	recordCrash({endpoint, incarnation, fingerprints}: Crash, now: number): void {
		for (const fingerprint of new Set(fingerprints)) {
			this.#addCrashes(fingerprint, [`${endpoint}@${incarnation}`], now);
		}
	}

	/** It finished, so it was not what crashed an endpoint. */
	recordFinished(fingerprint: string): void {
		const row = this.#suspects.get(fingerprint);
		if (row) {
			row.cleared = new Set([...row.cleared, ...row.crashes]);
		}
	}

	/** What to tell other entries. */
	list(now: number): Suspicion[] {
		return [...this.#suspects].map(([fingerprint, {crashes, cleared, until, terms}]) => ({
			fingerprint, crashes: [...crashes], cleared: [...cleared], remainingMs: Math.max(0, until - now), terms,
		}));
	}

	/** Takes what another entry tells; in any order and any number of times. */
	merge(suspicions: readonly Suspicion[], now: number): void {
		for (const {fingerprint, crashes, cleared, remainingMs, terms} of suspicions) {
			this.#addCrashes(fingerprint, crashes, now);
			const row = this.#suspects.get(fingerprint)!;
			row.cleared = new Set([...row.cleared, ...cleared]);
			row.terms = Math.max(row.terms, terms);
			row.until = Math.max(row.until, now + remainingMs);
		}
	}

	#addCrashes(fingerprint: string, crashes: readonly string[], now: number): void {
		const row = this.#suspects.get(fingerprint) ?? {
			crashes: new Set(), cleared: new Set(), until: 0, terms: 0,
		};
		const isNew = crashes.some(crash => !row.crashes.has(crash) && !row.cleared.has(crash));
		row.crashes = new Set([...row.crashes, ...crashes]);
		this.#suspects.delete(fingerprint);
		this.#suspects.set(fingerprint, row);
		if (isNew) {
			extendDeadline(row, now, this.#limits);
		}

		dropOldest(this.#suspects, maxSuspects);
	}
}

function extendDeadline(row: Suspect, now: number, {crashesToQuarantine, suspicionMs, firstTermMs}: PoisonLimits): void {
	if (listUnclearedCrashes(row).length < crashesToQuarantine) {
		row.until = Math.max(row.until, now + suspicionMs);
		return;
	}

	row.until = now + Math.min(maxQuarantineMs, firstTermMs * (2 ** row.terms));
	row.terms += 1;
}

function listUnclearedCrashes({crashes, cleared}: Suspect): string[] {
	return [...crashes].filter(crash => !cleared.has(crash));
}

/**
 * The endpoint at which a suspect runs alone: the same whichever entry asks.
 *
 * @param avoid - endpoints that crashed with it in flight
 */
export function chooseIsolation(fingerprint: string, endpoints: readonly string[], avoid: readonly string[]): string | undefined {
	const [first] = orderByRank(fingerprint, endpoints.filter(endpoint => !avoid.includes(endpoint)));
	return first;
}
