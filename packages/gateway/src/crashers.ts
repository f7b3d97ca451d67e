/**
 * Refuses requests that have crashed three endpoints, on all hosts.
 *
 * Load pattern: a request crashes each endpoint that begins to run it, and its caller sends it again through any host. Each host sees a part of
 * the crashes, so each writes what it saw into rows of its own, which all hosts follow and put together; they outlive the hosts.
 * One answer of an endpoint, at any host, clears a request of all crashes so far.
 */
import {createHash} from 'node:crypto';
import type {RowChange, RowStore} from '@wasabiusher/backends';
import {CrashEvidence, PoisonGuard} from '@wasabiusher/decisions';
import type {CallerRequest, CrashWatch, EndpointDirectory} from '@wasabiusher/direct';
import {decodeCrashRow, encodeCrashRow} from '@wasabiusher/record';
import {describeError, type Log} from '@wasabiusher/shared';

/** Part of the table of hosts in which the rows lie. */
export const crasherPart = 'crashers';

/** Crashes after which a request is refused. */
const crashesToQuarantine = 3;

/** How long a suspect is remembered, and a crasher refused at first, in milliseconds: callers send again within that, and an innocent one is soon free. */
const suspicionMs = 60_000;
const firstTermMs = 60_000;

/** Longest time after which a refused caller is told to come back, in milliseconds. */
const longestRetryMs = 5000;

/** Most rows removed at a time; a transaction of the store holds a hundred. */
const sweptRows = 100;

export type CrashersSettings = {
	rows: RowStore;
	table: string;
	host: string;
	directory: EndpointDirectory;
	log: Log;
	/** The store's clock, in milliseconds. */
	readStoreMs(): number;
};

/** The requests that crash endpoints, as all hosts have seen them. */
export class Crashers implements CrashWatch {
	/** Endpoints that were seen to crash with requests in flight, and requests that were refused for it. */
	readonly counts = {crashesSeen: 0, crashersRefused: 0};
	readonly #settings: CrashersSettings;
	readonly #guard = new PoisonGuard({crashesToQuarantine, suspicionMs, firstTermMs});
	readonly #evidence = new CrashEvidence();
	/** When each row counts for nothing any more, by its key. */
	readonly #untilMs = new Map<string, number>();

	constructor(settings: CrashersSettings) {
		this.#settings = settings;
	}

	findRefusalMs(request: CallerRequest): number | undefined {
		if (this.#guard.size === 0) {
			return undefined;
		}

		const verdict = this.#guard.judge(findFingerprint(request), performance.now());
		if (verdict.kind !== 'quarantined') {
			return undefined;
		}

		this.counts.crashersRefused += 1;
		return Math.min(longestRetryMs, verdict.retryAfterMs);
	}

	noteBroken(endpoint: string, request: CallerRequest): void {
		this.#evidence.noteBroken(endpoint, findFingerprint(request), performance.now());
	}

	noteDown(endpoint: string): void {
		const {directory, log} = this.#settings;
		const fingerprints = this.#evidence.takeDown(endpoint, performance.now());
		if (fingerprints.length === 0) {
			return;
		}

		this.counts.crashesSeen += 1;
		const incarnation = String(directory.get(endpoint)?.bornMs ?? '');
		this.#guard.recordCrash({endpoint, incarnation, fingerprints}, performance.now());
		log.info('endpoint_crashed', {endpoint, inFlight: fingerprints.length});
		void this.#tell(fingerprints);
	}

	noteFinished(request: CallerRequest): void {
		if (this.#guard.size === 0) {
			return;
		}

		const fingerprint = findFingerprint(request);
		if (this.#guard.isSuspect(fingerprint)) {
			this.#guard.recordFinished(fingerprint);
			void this.#tell([fingerprint]);
		}
	}

	/** Takes over a row that a host has written. Throws on one that is none. */
	apply({key, value}: RowChange): void {
		if (value === undefined) {
			this.#untilMs.delete(key);
			return;
		}

		const {crashes, cleared, untilMs, terms} = decodeCrashRow(value);
		const remainingMs = Math.max(0, Math.min(firstTermMs * (2 ** terms), untilMs - this.#settings.readStoreMs()));
		this.#untilMs.set(key, untilMs);
		if (remainingMs > 0) {
			this.#guard.merge([{
				fingerprint: key.split('/', 1)[0]!, crashes, cleared, remainingMs, terms,
			}], performance.now());
		}
	}

	/** Removes rows that count for nothing any more; one host does it for all. Never rejects. */
	async sweep(): Promise<void> {
		const {rows, table, log} = this.#settings;
		const storeMs = this.#settings.readStoreMs();
		const old = [...this.#untilMs].filter(([, untilMs]) => untilMs < storeMs).slice(0, sweptRows);
		if (old.length === 0) {
			return;
		}

		try {
			await rows.commit({conditions: [], puts: [], deletes: old.map(([key]) => ({table, part: crasherPart, key}))});
		} catch (error) {
			log.info('crashers_not_swept', {reason: describeError(error)});
		}
	}

	async #tell(fingerprints: readonly string[]): Promise<void> {
		const {rows, table, host, log, readStoreMs} = this.#settings;
		const suspicions = this.#guard.list(performance.now()).filter(({fingerprint}) => fingerprints.includes(fingerprint));
		try {
			await rows.commit({
				conditions: [],
				puts: suspicions.map(({fingerprint, crashes, cleared, remainingMs, terms}) => ({
					table, part: crasherPart, key: `${fingerprint}/${host}`, value: encodeCrashRow({
						crashes: [...crashes], cleared: [...cleared], untilMs: readStoreMs() + remainingMs, terms,
					}),
				})),
				deletes: [],
			});
		} catch (error) {
			log.warn('crash_not_told', {requests: suspicions.length, reason: describeError(error)});
		}
	}
}

/** Names a request by what its caller sends again: path, customer and body. */
function findFingerprint({path, customer = '', body}: CallerRequest): string {
	return createHash('sha256').update(`${customer}\n${path}\n`).update(body).digest('base64url').slice(0, 32);
}
