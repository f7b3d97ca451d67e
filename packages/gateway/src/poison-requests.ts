/**
 * Quarantines poison requests, which have crashed three endpoints, on all hosts.
 *
 * Load pattern: a request crashes each endpoint that starts it, and its caller retries it through any host. Each host observes only some of
 * the crashes, so each process writes its observations to its own rows; all hosts follow and merge these rows, which outlive the processes.
 * One complete answer of an endpoint at any host clears a request of all earlier crashes.
 */
import {createHash} from 'node:crypto';
import type {RowChange, RowStore} from '@wasabiusher/backends';
import {
	CrashEvidence, findTrialDelayMs, PoisonGuard, trialMs, type EndpointIncarnation, type EndpointRun,
} from '@wasabiusher/decisions';
import type {PoisonRequestTracker, TrackedRequest} from '@wasabiusher/direct';
import {decodeCrashRow, encodeCrashRow} from '@wasabiusher/record';
import {
	describeError, dropOldest, orderByRank, type Log,
} from '@wasabiusher/shared';
import {CrashRowWriter} from './crash-row-writer.js';
import type {EndpointCondition} from './endpoint-check.js';

/** Part of the host table that holds the crash rows. */
export const poisonRequestPart = 'crashers';

/** Number of crashes after which a request is quarantined. */
const crashesToQuarantine = 3;

/** Number of endpoints at which a request has failed without an answer after which these endpoints are checked, unless the request is already a suspect. */
const brokenToCheck = 2;

/** Time for which a suspect request is remembered, and first quarantine term, in milliseconds: long enough for retries of callers, and short for a request that is quarantined wrongly. */
const suspicionMs = 60_000;
const firstTermMs = 60_000;

/**
 * Time after a quarantine for which rows are kept and hosts take turns to try the request, in milliseconds; afterwards it runs freely until it crashes
 * endpoints again.
 */
const forgetMs = 600_000;

/** Upper bound of the retry delay that a refused caller gets, in milliseconds. */
const maxRetryAfterMs = 5000;

/** Maximum number of requests named in one log line, and of quarantines whose end is logged. */
const maxLoggedRequests = 8;
const maxLoggedQuarantines = 1000;

/** Maximum number of rows removed at a time; a store transaction holds at most 100 entries, two of them for each row. */
const maxSweptRows = 50;

/** Conditions that show a crash of a registered endpoint, and of one whose registration was removed. */
const down: ReadonlySet<EndpointCondition> = new Set(['down']);
const downOrUnknown: ReadonlySet<EndpointCondition> = new Set(['down', 'unknown']);

export type PoisonRequestsSettings = {
	rows: RowStore;
	table: string;
	/** Name of this host. */
	host: string;
	/** Id of this process, unique among all starts of all hosts: a process never overwrites rows of an earlier one. */
	writer: string;
	log: Log;
	/** Returns the names of all hosts, which take turns to try a request again after its quarantine. */
	listHosts(): readonly string[];
	/** Whether this host has open runs at an endpoint. */
	hasOpenRuns(endpoint: string): boolean;
	/** Returns the store's clock, in milliseconds. */
	readStoreMs(): number;
	/** Finds out whether an endpoint answers. Never rejects. */
	checkEndpoint(incarnation: EndpointIncarnation): Promise<EndpointCondition>;
};

/** Poison requests as observed by all hosts. */
export class PoisonRequests implements PoisonRequestTracker {
	readonly #counts = {
		crashesSeen: 0, crashersRefused: 0, crashersQuarantined: 0, crashersCleared: 0,
	};

	readonly #settings: PoisonRequestsSettings;
	readonly #guard = new PoisonGuard({crashesToQuarantine, suspicionMs, initialTermMs: firstTermMs});
	readonly #evidence = new CrashEvidence();
	/** Version of each row, and its expiry on the store's clock in milliseconds, by row key. */
	readonly #rows = new Map<string, {version: number; untilMs: number}>();
	/** Checks in progress, by endpoint incarnation. */
	readonly #checks = new Map<string, Promise<EndpointCondition>>();
	/** When this host last tried requests again after their quarantine, by fingerprint. */
	readonly #trialsAt = new Map<string, number>();
	/** Fingerprints of the requests that this host has logged as quarantined. */
	readonly #quarantined = new Set<string>();

	readonly #rowWriter: CrashRowWriter;

	constructor(settings: PoisonRequestsSettings) {
		this.#settings = settings;
		this.#rowWriter = new CrashRowWriter({...settings, part: poisonRequestPart, encode: fingerprint => this.#encode(fingerprint)});
	}

	/** Crashes of endpoints that had requests in flight; requests that were refused, quarantined and cleared; failed writes of rows. */
	get counts() {
		return {...this.#counts, crashersNotTold: this.#rowWriter.failures};
	}

	findRetryDelayMs(request: TrackedRequest): number | undefined {
		if (this.#guard.size === 0) {
			return undefined;
		}

		const delayMs = this.#findDelayMs(computeFingerprint(request));
		if (delayMs === 0) {
			return undefined;
		}

		this.#counts.crashersRefused += 1;
		return Math.min(maxRetryAfterMs, delayMs);
	}

	recordAttempt(request: TrackedRequest): void {
		if (this.#guard.size === 0) {
			return;
		}

		const fingerprint = computeFingerprint(request);
		if (this.#isOnTrial(fingerprint)) {
			this.#trialsAt.set(fingerprint, performance.now());
			dropOldest(this.#trialsAt, maxLoggedQuarantines);
			this.#settings.log.info('quarantine_trial', {request: request.attemptId, fingerprint});
		}
	}

	recordBroken(run: EndpointRun, request: TrackedRequest): void {
		const fingerprint = computeFingerprint(request);
		this.#settings.log.info('run_unanswered', {request: request.attemptId, endpoint: run.endpoint, fingerprint});
		if (this.#evidence.recordBroken(run, fingerprint, performance.now())) {
			this.#recordCrash(run, [fingerprint]);
			return;
		}

		const broken = this.#evidence.listBroken(fingerprint, performance.now());
		if (this.#guard.isSuspect(fingerprint) || broken.length >= brokenToCheck) {
			for (const incarnation of broken) {
				void this.#checkEndpoint(incarnation, down);
			}
		}
	}

	recordDown(incarnation: EndpointIncarnation): void {
		for (const [bornMs, fingerprints] of this.#evidence.takeCrashed(incarnation, performance.now())) {
			this.#recordCrash({...incarnation, bornMs}, fingerprints);
		}
	}

	/**
	 * Records that the registration of an endpoint was removed. It may have lapsed while the store was down, so it shows a crash only if the endpoint does
	 * not answer either.
	 */
	recordRemoved(incarnation: EndpointIncarnation): void {
		if (this.#evidence.hasBroken(incarnation.endpoint) || this.#settings.hasOpenRuns(incarnation.endpoint)) {
			void this.#checkEndpoint(incarnation, downOrUnknown);
		}
	}

	recordFinished(request: TrackedRequest): void {
		if (this.#guard.size === 0 && this.#evidence.isEmpty) {
			return;
		}

		const fingerprint = computeFingerprint(request);
		this.#evidence.recordFinished(fingerprint);
		if (this.#guard.isSuspect(fingerprint)) {
			this.#guard.recordFinished(fingerprint);
			this.#counts.crashersCleared += 1;
			this.#settings.log.info('suspect_cleared', {request: request.attemptId, fingerprint});
			this.#logQuarantines([fingerprint]);
			this.#rowWriter.write([fingerprint]);
		}
	}

	/** Applies a crash row of any host. Throws if the row is malformed. */
	apply(change: RowChange): void {
		const {key, value} = change;
		const [fingerprint = '', writer] = key.split('/');
		if (writer === this.#settings.writer) {
			this.#rowWriter.check(fingerprint, change);
		}

		if (value === undefined) {
			this.#rows.delete(key);
			return;
		}

		const {crashes, cleared, untilMs, terms} = decodeCrashRow(value);
		const leftMs = untilMs - this.#settings.readStoreMs();
		this.#rows.set(key, {version: change.version, untilMs});
		// A host that reads the row only after the quarantine begins a term of its own, so that it doesn't let the request run at once.
		if (leftMs > -forgetMs) {
			this.#guard.merge([{
				fingerprint, crashes, cleared, remainingMs: Math.max(0, Math.min(firstTermMs * (2 ** terms), leftMs)), terms,
			}], performance.now());
			this.#logQuarantines([fingerprint]);
		}
	}

	/** Stops writing rows. */
	stop(): void {
		this.#rowWriter.stop();
	}

	/** Removes expired rows of all hosts. One host needs to do it. Never rejects. */
	async sweep(): Promise<void> {
		const {rows, table, log} = this.#settings;
		const storeMs = this.#settings.readStoreMs();
		const expired = [...this.#rows].filter(([, {untilMs}]) => untilMs + forgetMs < storeMs).slice(0, maxSweptRows);
		if (expired.length === 0) {
			return;
		}

		try {
			// A row that its writer has renewed meanwhile must stay.
			await rows.commit({
				conditions: expired.map(([key, {version}]) => ({
					table, part: poisonRequestPart, key, version,
				})),
				puts: [],
				deletes: expired.map(([key]) => ({table, part: poisonRequestPart, key})),
			});
		} catch (error) {
			log.info('crashers_not_swept', {reason: describeError(error)});
		}
	}

	#recordCrash({endpoint, bornMs}: EndpointIncarnation, fingerprints: readonly string[]): void {
		const {log} = this.#settings;
		this.#counts.crashesSeen += 1;
		this.#guard.recordCrash({endpoint, incarnation: String(bornMs ?? ''), fingerprints}, performance.now());
		log.info('endpoint_crashed', {endpoint, inFlight: fingerprints.length, fingerprints: fingerprints.slice(0, maxLoggedRequests).join(',')});
		this.#logQuarantines(fingerprints);
		this.#rowWriter.write(fingerprints);
	}

	/** Time until a request may run at this host, in milliseconds; 0 if it may run now. */
	#findDelayMs(fingerprint: string): number {
		const now = performance.now();
		const verdict = this.#guard.judge(fingerprint, now);
		if (verdict.kind === 'quarantined') {
			return verdict.retryAfterMs;
		}

		if (verdict.kind === 'free' || verdict.sinceTermMs === undefined || verdict.sinceTermMs > forgetMs) {
			return 0;
		}

		const {host, listHosts} = this.#settings;
		const hosts = [...new Set([host, ...listHosts()])];
		const ownTrialMs = trialMs - (now - (this.#trialsAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY));
		return Math.max(0, ownTrialMs, findTrialDelayMs({
			rank: orderByRank(fingerprint, hosts).indexOf(host), hostCount: hosts.length, sinceTermMs: verdict.sinceTermMs,
		}));
	}

	/** Whether a request has been quarantined and is now tried again. */
	#isOnTrial(fingerprint: string): boolean {
		const verdict = this.#guard.judge(fingerprint, performance.now());
		return verdict.kind === 'isolate' && verdict.sinceTermMs !== undefined;
	}

	/** Finds out whether an endpoint has crashed, rather than wait for its registration to lapse: a process that ends before then takes its evidence with it. */
	async #checkEndpoint(incarnation: EndpointIncarnation, downConditions: ReadonlySet<EndpointCondition>): Promise<void> {
		const key = `${incarnation.endpoint}@${incarnation.bornMs ?? ''}`;
		const check = this.#checks.get(key) ?? this.#settings.checkEndpoint(incarnation);
		this.#checks.set(key, check);
		const condition = await check;
		this.#checks.delete(key);
		if (downConditions.has(condition)) {
			this.recordDown(incarnation);
		}
	}

	#encode(fingerprint: string): Uint8Array | undefined {
		const suspicion = this.#guard.describe(fingerprint, performance.now());
		if (!suspicion) {
			return undefined;
		}

		const {crashes, cleared, remainingMs, terms} = suspicion;
		return encodeCrashRow({
			crashes: [...crashes], cleared: [...cleared], untilMs: this.#settings.readStoreMs() + remainingMs, terms,
		});
	}

	/** Logs which of the requests are quarantined at this host from now on, or no longer. */
	#logQuarantines(fingerprints: readonly string[]): void {
		const now = performance.now();
		for (const fingerprint of fingerprints) {
			const isQuarantined = this.#guard.judge(fingerprint, now).kind === 'quarantined';
			if (isQuarantined === this.#quarantined.has(fingerprint)) {
				continue;
			}

			this.#counts.crashersQuarantined += Number(isQuarantined);
			this.#settings.log.info(isQuarantined ? 'request_quarantined' : 'quarantine_ended', {fingerprint});
			if (isQuarantined) {
				this.#quarantined.add(fingerprint);
				dropOldest(this.#quarantined, maxLoggedQuarantines);
			} else {
				this.#quarantined.delete(fingerprint);
			}
		}
	}
}

/** Hashes the parts of a request that stay the same when its caller retries it: path, customer and body. */
function computeFingerprint({path, customer = '', body}: TrackedRequest): string {
	const hash = createHash('sha256').update(`${customer}\n${path}\n`);
	for (const segment of body instanceof Uint8Array ? [body] : body) {
		hash.update(segment);
	}

	return hash.digest('base64url').slice(0, 32);
}
