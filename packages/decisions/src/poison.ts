/**
 * Identifies poison requests: requests that crash each endpoint that runs them.
 *
 * Load pattern: occasionally a single request crashes its endpoint, and its caller sends it again. Without this guard each retry and each repeated call
 * takes down one more endpoint with all requests that run on it. Requests in flight at a crash become suspects, identified by a fingerprint of their
 * content. A suspect only runs alone, at the one endpoint that `chooseIsolation` returns on every entry, so that copies sent through several entries
 * meet there. A second crash quarantines it; finishing anywhere clears it.
 */
import {orderByRank, dropOldest} from '@wasabiusher/shared';

/** How a request with a given fingerprint may run. */
export type Verdict
	= | {kind: 'free'}
		/** Runs alone, and not on an endpoint that crashed with it in flight. `sinceTermMs` is the time since its quarantine ended, if it had one. */
		| {kind: 'isolate'; avoid: readonly string[]; sinceTermMs?: number}
		| {kind: 'quarantined'; retryAfterMs: number};

/** A crash; every process that receives it identifies it in the same way. */
export type Crash = {
	endpoint: string;
	/** Identifies one run of the endpoint's process. */
	incarnation: string;
	/** Fingerprints of the requests in flight at the endpoint. */
	fingerprints: readonly string[];
};

/** Record about a fingerprint that entries exchange; it contains the remaining time instead of a timestamp, as their clocks differ. */
export type Suspicion = {
	fingerprint: string;
	/** `<endpoint>@<incarnation>` of each crash at which the request was in flight. */
	crashes: readonly string[];
	/** Crashes of which a later successful run has cleared the request. */
	cleared: readonly string[];
	remainingMs: number;
	/** Number of quarantine terms so far. */
	terms: number;
};

type Suspect = {crashes: Set<string>; cleared: Set<string>; until: number; terms: number};

export type PoisonLimits = {
	/** Number of crashes of different endpoint runs, with the request in flight, that quarantine it. */
	crashesToQuarantine: number;
	/** Time for which a suspect is remembered, in milliseconds. */
	suspicionMs: number;
	/** First quarantine term, in milliseconds; it doubles with each further crash, up to one day. */
	initialTermMs: number;
};

/** Defaults for requests that run alone once they are suspects; callers that retry do so within minutes. */
const defaultLimits: PoisonLimits = {crashesToQuarantine: 2, suspicionMs: 600_000, initialTermMs: 600_000};

const maxQuarantineMs = 86_400_000;

/** Maximum number of remembered fingerprints; an endpoint has a few hundred requests in flight, so this covers a hundred crashes in a few megabytes. */
const maxSuspects = 10_000;

/** Tracks requests that were in flight when endpoints crashed. */
export class PoisonGuard {
	readonly #suspects = new Map<string, Suspect>();
	readonly #limits: PoisonLimits;

	constructor(limits: Partial<PoisonLimits> = {}) {
		this.#limits = {...defaultLimits, ...limits};
	}

	/** Number of current and former suspects; while it is 0, no request needs a fingerprint. */
	get size(): number {
		return this.#suspects.size;
	}

	/** Returns whether a request was in flight at a recent crash of which it has not been cleared. */
	isSuspect(fingerprint: string): boolean {
		const row = this.#suspects.get(fingerprint);
		return row !== undefined && listUnclearedCrashes(row).length > 0;
	}

	/** Returns how a request may run now. */
	judge(fingerprint: string, now: number): Verdict {
		const row = this.#suspects.get(fingerprint);
		const crashes = row ? listUnclearedCrashes(row) : [];
		if (!row || crashes.length === 0 || (now >= row.until && row.terms === 0)) {
			return {kind: 'free'};
		}

		const isPoison = crashes.length >= this.#limits.crashesToQuarantine;
		if (isPoison && now < row.until) {
			return {kind: 'quarantined', retryAfterMs: row.until - now};
		}

		// After its term it is tried again, but in isolation.
		return {kind: 'isolate', avoid: crashes.map(crash => crash.slice(0, crash.lastIndexOf('@'))), ...(isPoison ? {sinceTermMs: now - row.until} : {})};
	}

	/** Makes the requests in flight at a crash suspects; a crash that is already known changes nothing. */
	recordCrash({endpoint, incarnation, fingerprints}: Crash, now: number): void {
		for (const fingerprint of new Set(fingerprints)) {
			this.#addCrashes(fingerprint, [`${endpoint}@${incarnation}`], now);
		}
	}

	/** Clears a request that finished of the crashes known so far. */
	recordFinished(fingerprint: string): void {
		const row = this.#suspects.get(fingerprint);
		if (row) {
			row.cleared = new Set([...row.cleared, ...row.crashes]);
		}
	}

	/** Returns the records to send to other entries. */
	list(now: number): Suspicion[] {
		return [...this.#suspects].map(([fingerprint, row]) => toSuspicion(fingerprint, row, now));
	}

	/** Returns the record of one request to send to other entries; undefined if there is none. */
	describe(fingerprint: string, now: number): Suspicion | undefined {
		const row = this.#suspects.get(fingerprint);
		return row && toSuspicion(fingerprint, row, now);
	}

	/** Merges the records of another entry; idempotent and independent of their order. */
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

function extendDeadline(row: Suspect, now: number, {crashesToQuarantine, suspicionMs, initialTermMs}: PoisonLimits): void {
	if (listUnclearedCrashes(row).length < crashesToQuarantine) {
		row.until = Math.max(row.until, now + suspicionMs);
		return;
	}

	row.until = now + Math.min(maxQuarantineMs, initialTermMs * (2 ** row.terms));
	row.terms += 1;
}

function toSuspicion(fingerprint: string, {crashes, cleared, until, terms}: Suspect, now: number): Suspicion {
	return {
		fingerprint, crashes: [...crashes], cleared: [...cleared], remainingMs: Math.max(0, until - now), terms,
	};
}

function listUnclearedCrashes({crashes, cleared}: Suspect): string[] {
	return [...crashes].filter(crash => !cleared.has(crash));
}

/**
 * Returns the endpoint at which a suspect runs alone; the same on every entry.
 *
 * @param avoid - endpoints that crashed with the request in flight
 */
export function chooseIsolation(fingerprint: string, endpoints: readonly string[], avoid: readonly string[]): string | undefined {
	const [first] = orderByRank(fingerprint, endpoints.filter(endpoint => !avoid.includes(endpoint)));
	return first;
}
