/**
 * Tracks which processes are alive, by heartbeat rows that they write to the store while they own work.
 *
 * Clocks of different hosts are never compared. A process counts as gone when its host has started a new process, when it has announced that it leaves,
 * or when it has been silent for a time during which this process had contact with the store. An outage of the store restarts that time, since no
 * heartbeats can be received then. The store's feed may work while heartbeats are refused, and heartbeats may be accepted while the feed hangs. A process
 * that suspects another one therefore writes heartbeats itself, and lets the silence count only while it receives its own heartbeats from the feed.
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {PlatformError, type RowChange, type RowStore} from '@wasabiusher/backends';
import {defaultPolicy, type Policy} from '@wasabiusher/decisions';
import {
	describeError, rankCandidate, RepeatedFailures, type Log,
} from '@wasabiusher/shared';
import {z} from 'zod';

export const hostTable = 'hosts';

/** Time between heartbeats of a process that owns work, in milliseconds. */
const heartbeatMs = 400;

/**
 * Silence after which work is taken over from a process that has sent no heartbeat since the work was assigned to it, in milliseconds. A live process
 * sends one within three calls to the store, each of which takes a quarter of a second if the store is slow. The process may have failed while it had no
 * work, when its silence goes unnoticed.
 */
const maxNewOwnerSilenceMs = 1200;

/**
 * Maximum heartbeats without an answer at a time. If the store loses answers, each lost one stays open for most of a second; with only one at a time, two
 * consecutive losses would count as silence, and live hosts would lose their shares.
 */
const maxUnansweredHeartbeats = 3;

/** Silence after which an owner's work is taken over, in milliseconds: two heartbeats and twice the latency of a store that is eighty times slower than usual. */
const maxOwnerSilenceMs = 1700;

/** Time without contact with the store after which the silence of every process is counted from zero, in milliseconds: its longest regular wait and a slow answer. */
const maxContactGapMs = 2200;

/**
 * Time for which a process continues its heartbeats after it last owned work, in milliseconds. A trainer takes about a second between two batches, and the
 * next one is assigned only to a process whose heartbeats are received.
 */
const idleHeartbeatsMs = 3000;

/** Silence after which a process is suspected, in milliseconds: two heartbeats and the latency of a slow one. */
const suspectAfterMs = 900;

/**
 * Additional delay of each lower-ranked host before it suspects a process and takes over, in milliseconds: a few calls to the store. Only the first hosts by rank
 * then act; if all 1,700 hosts did, they would write 4,250 heartbeats a second when an owner fails.
 */
const delayPerRankMs = 30;

/** Time for which a process must have received its own heartbeats before it acts on a suspicion, in milliseconds: within it two heartbeats of a suspect that is alive would have arrived. */
const minOwnHeartbeatsMs = 800;

/** Age after which a received heartbeat no longer proves that the feed works, in milliseconds. */
const heartbeatValidityMs = 1000;

/**
 * Number of the first heartbeat that reports paces of endpoints, and the interval of such heartbeats: two seconds after a process has started to own
 * work, then every four seconds. Paces change slowly, and each row is sent to every host.
 */
const firstPacesHeartbeat = 5;
const pacesEveryHeartbeats = 10;

/** Maximum endpoints in one report of paces; they make a row 0.35 KB longer. */
const maxReportedPaces = 12;

/** Upper bounds of cores, and of a pace in milliseconds, above any real value, so that an invalid row cannot distort scheduling. */
const maxCores = 4096;
const maxPaceMs = 3_600_000;

const hostSchema = z.object({
	incarnation: z.string(),
	beat: z.int(),
	isLeaving: z.boolean(),
	/** Whether the process has no work, so that it sends no further heartbeats until it has. */
	isResting: z.boolean().default(false),
	/** Data centre of the host, and the cores that its process may use; 0 if unknown. */
	dataCentre: z.string().default(''),
	cores: z.number().nonnegative().max(maxCores).default(0),
	/** Recent event-loop lag of the process, in milliseconds. */
	lateMs: z.number().default(0),
	/** Address at which other hosts reach it, `ip:port`; empty if they can't. */
	address: z.string().default(''),
	/** Wall-clock time of its host minus the store's clock, in milliseconds, at the time of writing. */
	clockMs: z.number().optional(),
	/** Number of samples that it has not started, by model; omitted if there are none. */
	waiting: z.record(z.string(), z.int().nonnegative()).optional(),
	/** Best paces of endpoints that it has measured, in milliseconds by endpoint id; only in some heartbeats. */
	paces: z.record(z.string(), z.number().positive().max(maxPaceMs)).optional(),
});

type HostRow = z.infer<typeof hostSchema>;

export type HostRegistrySettings = {
	rows: RowStore;
	host: string;
	/** Address at which other hosts reach this one, `ip:port`; undefined if they can't. */
	address?: string;
	log: Log;
	policy?: Policy;
	dataCentre?: string;
	/** Cores that this process may use; undefined if unknown. */
	cores?: number;
	/** Returns the event-loop lag of this process, in milliseconds. */
	findEventLoopLagMs?(): number;
	/** Returns the wall-clock time of this host minus the store's clock, in milliseconds; undefined while unknown. */
	readClockOffsetMs?(): number | undefined;
	/** Called with the clock offset that a host has reported, in milliseconds. */
	onClockOffset?(host: string, clockMs: number): void;
	/** Whether this process owns work, so that it must send heartbeats. */
	hasWork(): boolean;
	/** Returns the number of samples that this process has not started, by model. */
	listWaiting?(): Record<string, number>;
	/** Returns paces of at most `maxCount` endpoints to report to other hosts, in milliseconds by endpoint id. */
	listPaces?(maxCount: number): Record<string, number>;
	/** Called with the paces that another process has reported, in milliseconds by endpoint id. */
	onPaces?(paces: Record<string, number>): void;
};

/** What this process believes of the owner of some work; times in milliseconds. */
export type OwnerState = {
	/** Time since the owner's last heartbeat, or since the work was assigned to it. */
	silentMs: number;
	/** Time since the store last answered about heartbeats. */
	contactAgeMs: number;
	/** Whether this process receives its own heartbeats, without which it takes nothing over. */
	hearsItself: boolean;
	/** Time since the store last refused a heartbeat of this process; undefined if it never did. */
	refusedAgeMs: number | undefined;
};

/** Last heartbeat of a process that is not known to be gone, and the time since then in milliseconds. */
export type LiveHost = Pick<HostRow, 'incarnation' | 'dataCentre' | 'cores' | 'isResting' | 'lateMs' | 'address'> & {host: string; silentMs: number};

/** Sends heartbeats of this process, and tracks those of other hosts. */
export class HostRegistry {
	/** Differs for each start of the process. */
	readonly incarnation = randomUUID();
	readonly #settings: HostRegistrySettings;
	readonly #failures: RepeatedFailures;
	readonly #hosts = new Map<string, HostRow & {receivedAt: number}>();
	readonly #gone = new Set<string>();
	/** Incarnations that a newer process of their host has replaced, with the number of their last heartbeat. */
	readonly #replaced = new Map<string, number>();
	#contactAt = Number.NEGATIVE_INFINITY;
	#silenceCountedFrom = Number.NEGATIVE_INFINITY;
	#heartbeatCount = 0;
	#isLeaving = false;
	/** Number of heartbeats without an answer of the store. */
	#unanswered = 0;
	#hasAnnounced = false;
	/** Whether the clock offset of this host was reported. */
	#hasReportedClock = false;
	/** Time at which this process last suspected another one, on the monotonic clock like all times below. */
	#suspectedAt = Number.NEGATIVE_INFINITY;
	/** Time at which this process last received its own heartbeat. */
	#ownReceivedAt = Number.NEGATIVE_INFINITY;
	/** Time since which this process has received its own heartbeats without a gap. */
	#ownReceivedSince = Number.POSITIVE_INFINITY;
	/** Time at which the store last refused a heartbeat of this process. */
	#refusedAt = Number.NEGATIVE_INFINITY;
	/** Time at which this process last owned work. */
	#ownedAt = Number.NEGATIVE_INFINITY;
	/** Whether the last heartbeat reported that this process has no work. */
	#hasReportedIdle = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(settings: HostRegistrySettings) {
		this.#settings = settings;
		this.#failures = new RepeatedFailures({log: settings.log, event: 'heartbeat_failed', overEvent: 'heartbeats_resumed'});
	}

	/** Announces this process, and sends heartbeats while it owns work. */
	start(): void {
		this.#timer = setInterval(() => {
			void this.sendHeartbeat();
		}, heartbeatMs);
		void this.sendHeartbeat();
	}

	/** Number of hosts that have sent a heartbeat and are not known to be gone. */
	get count(): number {
		return this.#hosts.size;
	}

	/** Returns the addresses of other hosts that are not known to be gone, `ip:port`. */
	listPeers(): string[] {
		return [...this.#hosts].flatMap(([host, {address}]) => host === this.#settings.host || address === '' ? [] : [address]);
	}

	/**
	 * Returns the time that this host leaves to higher-ranked hosts before it acts on a name, in milliseconds. Hosts with work rank before idle ones, since
	 * they already receive their own heartbeats, without which no host takes anything over.
	 */
	findTakeoverDelayMs(name: string): number {
		const {host, policy = defaultPolicy} = this.#settings;
		if (!policy.ranksTakeOvers) {
			return 0;
		}

		const own = rankCandidate(name, host);
		const isIdle = this.#isIdle(performance.now());
		const isBefore = (other: string, isResting: boolean) => isResting === isIdle ? rankCandidate(name, other) > own : isIdle;
		return delayPerRankMs * [...this.#hosts].filter(([other, {isResting}]) => other !== host && isBefore(other, isResting)).length;
	}

	/** Lists processes that have sent a heartbeat and are not known to be gone. */
	listLive(): LiveHost[] {
		const now = performance.now();
		return [...this.#hosts].map(([host, {receivedAt, ...row}]) => ({...row, host, silentMs: now - receivedAt}));
	}

	/** Counts samples of a model that have not started, as reported by heartbeats that are not overdue. */
	countWaiting(model: string): number {
		const now = performance.now();
		return [...this.#hosts.values()].filter(({receivedAt}) => now - receivedAt <= suspectAfterMs).reduce((sum, {waiting}) => sum + (waiting?.[model] ?? 0), 0);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Announces that this process leaves, so that its work may be taken over at once. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		await this.#write(false);
	}

	/** Sends a heartbeat if it is due; never rejects. */
	async sendHeartbeat(): Promise<void> {
		const now = performance.now();
		if (this.#settings.hasWork()) {
			this.#ownedAt = now;
		}

		const isResting = this.#isIdle(now);
		const hasUnreported = !this.#hasAnnounced || (!this.#hasReportedClock && this.#settings.readClockOffsetMs?.() !== undefined);
		const isDue = hasUnreported || !isResting || this.#hasReportedIdle !== isResting || now - this.#suspectedAt < heartbeatValidityMs;
		if (!isDue || this.#unanswered >= maxUnansweredHeartbeats || this.#isLeaving) {
			return;
		}

		await this.#write(isResting);
	}

	/** Applies a change of the host table. Throws if the row is not valid. */
	apply({key, value}: RowChange): void {
		const known = this.#hosts.get(key);
		if (value === undefined) {
			this.#hosts.delete(key);
			return;
		}

		const row = hostSchema.parse(JSON.parse(Buffer.from(value).toString()));
		if (row.isLeaving) {
			this.#gone.add(row.incarnation);
			this.#hosts.delete(key);
		}

		// A replaced process may have late heartbeats, at most as many as can be without an answer. If it sends more, it is the newer process, replaced by mistake.
		if (this.#gone.has(row.incarnation) || row.beat <= (this.#replaced.get(row.incarnation) ?? Number.NEGATIVE_INFINITY) + maxUnansweredHeartbeats) {
			return;
		}

		this.#replaced.delete(row.incarnation);

		if (row.incarnation === this.incarnation) {
			this.#recordOwnHeartbeat();
		}

		if (known && known.incarnation !== row.incarnation) {
			this.#replaced.set(known.incarnation, known.beat);
		}

		this.#hosts.set(key, {...row, receivedAt: performance.now()});
		if (row.clockMs !== undefined) {
			this.#settings.onClockOffset?.(key, row.clockMs);
		}

		if (row.paces && row.incarnation !== this.incarnation) {
			this.#settings.onPaces?.(row.paces);
		}
	}

	/** Records contact with the store. */
	recordContact(): void {
		const now = performance.now();
		if (now - this.#contactAt > maxContactGapMs) {
			this.#silenceCountedFrom = now;
		}

		this.#contactAt = now;
	}

	/**
	 * Whether the owner of some work is gone, so that the work may be taken over.
	 *
	 * @param ownedSince - time at which this process first read that it owns the work, on the monotonic clock
	 */
	isGone(incarnation: string, ownedSince: number): boolean {
		if (incarnation === '' || this.#gone.has(incarnation) || this.#replaced.has(incarnation)) {
			return true;
		}

		const now = performance.now();
		if (now - this.#contactAt > maxContactGapMs) {
			return false;
		}

		const receivedAt = this.#findReceivedAt(incarnation);
		const limitMs = receivedAt < ownedSince ? maxNewOwnerSilenceMs : maxOwnerSilenceMs;
		const silentMs = now - Math.max(receivedAt, ownedSince, this.#silenceCountedFrom);
		// The delay is computed only for silent processes, since it hashes the name of each host.
		if (silentMs > suspectAfterMs && silentMs > suspectAfterMs + this.findTakeoverDelayMs(incarnation)) {
			this.#suspect(now);
		}

		// A store that refuses some heartbeats of this process may also have refused those of the silent one.
		return silentMs > limitMs && this.#hearsItself(now) && now - this.#refusedAt > limitMs;
	}

	/** Describes what `isGone` judges by. */
	describeOwner(incarnation: string, ownedSince: number): OwnerState {
		const now = performance.now();
		return {
			silentMs: Math.round(now - Math.max(this.#findReceivedAt(incarnation), ownedSince)),
			contactAgeMs: Math.round(now - this.#contactAt),
			hearsItself: this.#hearsItself(now),
			refusedAgeMs: Number.isFinite(this.#refusedAt) ? Math.round(now - this.#refusedAt) : undefined,
		};
	}

	/** When the last heartbeat of a process arrived; negative infinity if none has. */
	#findReceivedAt(incarnation: string): number {
		return [...this.#hosts.values()].find(host => host.incarnation === incarnation)?.receivedAt ?? Number.NEGATIVE_INFINITY;
	}

	/** Whether the feed returns this process its own heartbeats without a gap. */
	#hearsItself(now: number): boolean {
		return now - this.#ownReceivedAt < heartbeatValidityMs && now - this.#ownReceivedSince >= minOwnHeartbeatsMs;
	}

	#isIdle(now: number): boolean {
		return now - this.#ownedAt >= idleHeartbeatsMs;
	}

	#suspect(now: number): void {
		const isNew = now - this.#suspectedAt >= heartbeatValidityMs;
		this.#suspectedAt = now;
		if (isNew) {
			void this.sendHeartbeat();
		}
	}

	#recordOwnHeartbeat(): void {
		const now = performance.now();
		if (now - this.#ownReceivedAt >= heartbeatValidityMs) {
			this.#ownReceivedSince = now;
		}

		this.#ownReceivedAt = now;
	}

	async #write(isResting: boolean): Promise<void> {
		const {
			rows, host, address = '', dataCentre = '', cores = 0, findEventLoopLagMs, readClockOffsetMs,
		} = this.#settings;
		const clockMs = readClockOffsetMs?.();
		const waiting = this.#settings.listWaiting?.() ?? {};
		this.#unanswered += 1;
		this.#heartbeatCount += 1;
		const row: HostRow = {
			incarnation: this.incarnation, beat: this.#heartbeatCount, isLeaving: this.#isLeaving, isResting, dataCentre, cores, lateMs: Math.round(findEventLoopLagMs?.() ?? 0), address, clockMs,
			...(Object.keys(waiting).length > 0 ? {waiting} : {}),
			...(this.#heartbeatCount % pacesEveryHeartbeats === firstPacesHeartbeat ? {paces: this.#settings.listPaces?.(maxReportedPaces)} : {}),
		};
		try {
			await rows.commit({
				conditions: [],
				puts: [{
					table: hostTable, part: '', key: host, value: Buffer.from(JSON.stringify(row)),
				}],
				deletes: [],
			});
			this.#failures.recover();
			this.#hasAnnounced = true;
			this.#hasReportedClock ||= clockMs !== undefined;
			this.#hasReportedIdle = isResting;
		} catch (error) {
			if (wasRefused(error)) {
				this.#refusedAt = performance.now();
			}

			this.#failures.record({beat: this.#heartbeatCount, reason: describeError(error)});
		} finally {
			this.#unanswered -= 1;
		}
	}
}

/** Whether the store has refused a write, so that no other host has received it. */
function wasRefused(error: unknown): boolean {
	return error instanceof PlatformError && (error.code === 'limited' || error.code === 'unavailable');
}
