/**
 * Which processes are alive, by rows that they write while they own work.
 *
 * Nobody compares clocks between hosts. A process is taken for gone when its host has started anew or has said that it
 * leaves, or when it has been silent for a time during which this process heard the store. An outage of the store
 * begins the count anew, since then nobody can be heard. The store's feed may go on while it takes no heartbeats, and
 * heartbeats be taken while the feed hangs: so who suspects another writes heartbeats of its own, and counts only while it hears
 * them come back in the feed.
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
 * Silence after which work is taken over that was given to a process which has not been heard since, in milliseconds: one that
 * lives says so within three calls to the store, of which each takes a quarter of a second at a slow one. It was perhaps lost while it
 * had no work, when nobody listens for it.
 */
const unheardMs = 1200;

/**
 * Most heartbeats on their way at a time. A store that loses answers leaves each lost one on its way for most of a second; one at a time, two
 * lost ones in a row would be a silence, and hosts that work would lose their shares.
 */
const maxUnanswered = 3;

/** Silence after which an owner's work is taken over, in milliseconds: two heartbeats and twice the delay of a store that is eighty times slower than usual. */
const silenceMs = 1700;

/** Gap in hearing the store after which all counts begin anew, in milliseconds: the longest regular wait at the store and its slow answer. */
const contactGapMs = 2200;

/**
 * Time for which a process that owned work goes on with heartbeats, in milliseconds: a trainer takes about a second
 * between two batches, and only who is heard is given the next one.
 */
const lingerMs = 3000;

/** Silence from which a process is suspected, in milliseconds: two heartbeats and the delay of a slow one. */
const suspicionMs = 900;

/**
 * How much later each further host suspects and takes over, in milliseconds: some calls to the store. So the first few hosts by rank
 * do it; when all hosts did, 1,700 of them would write 4,250 heartbeats a second at an owner's death.
 */
const rankStepMs = 30;

/** Time for which the one who suspects must have heard its own heartbeats, in milliseconds: two of the other's in a row would have been heard. */
const soundMs = 800;

/** Age from which a heartbeat that was heard proves nothing of the present, in milliseconds. */
const proofMs = 1000;

/**
 * The first heartbeat that tells paces of endpoints, and how many follow until the next one that does: two seconds after a process has begun
 * to own work, then every four. Paces change slowly, and each row goes to every host.
 */
const firstPacesBeat = 5;
const pacesEvery = 10;

/** Most endpoints of which a heartbeat tells; they make a row 0.35 KB longer. */
const maxToldPaces = 12;

/** More cores than a host has, and a longer time than any unit of work takes, in milliseconds: rows of other writers must not decide what goes where. */
const maxCores = 4096;
const maxPaceMs = 3_600_000;

const hostSchema = z.object({
	incarnation: z.string(),
	beat: z.int(),
	isLeaving: z.boolean(),
	/** Whether it has no work, so that nothing more is heard of it until it has. */
	isResting: z.boolean().default(false),
	/** Where it is, and the cores that its process may use; 0 if it does not know. */
	dataCentre: z.string().default(''),
	cores: z.number().nonnegative().max(maxCores).default(0),
	/** How late the process's timers were of late, in milliseconds. */
	lateMs: z.number().default(0),
	/** Where other hosts reach it, `ip:port`; empty if they can't. */
	address: z.string().default(''),
	/** Time of day of its host less the store's clock, in milliseconds, as told when it was written. */
	clockMs: z.number().optional(),
	/** Texts that it has not begun yet, by their model; left out if there are none. */
	waiting: z.record(z.string(), z.int().nonnegative()).optional(),
	/** Best paces of endpoints that it has measured, in milliseconds; told now and then. */
	paces: z.record(z.string(), z.number().positive().max(maxPaceMs)).optional(),
});

type HostRow = z.infer<typeof hostSchema>;

export type HostRegistrySettings = {
	rows: RowStore;
	host: string;
	/** Where other hosts reach this one, `ip:port`; undefined if they can't. */
	address?: string;
	log: Log;
	policy?: Policy;
	dataCentre?: string;
	/** Cores that this process may use; undefined if it does not know. */
	cores?: number;
	/** How late this process is with its own work, in milliseconds. */
	findLateMs?(): number;
	/** Time of day of this host less the store's clock, in milliseconds; undefined until that is known. */
	readClockMs?(): number | undefined;
	/** Called with what another host has told of its clock. */
	onClock?(host: string, clockMs: number): void;
	/** Whether this process owns work, so that its silence would mean something. */
	ownsWork(): boolean;
	/** Texts that this process has not begun yet, by their model. */
	listWaiting?(): Record<string, number>;
	/** Paces of endpoints to tell to the others; of so many at most. */
	listPaces?(most: number): Record<string, number>;
	/** Called with what another process has told of them. */
	onPaces?(paces: Record<string, number>): void;
};

/** What was heard of a process that is not known to be gone. */
export type LiveHost = Pick<HostRow, 'incarnation' | 'dataCentre' | 'cores' | 'isResting' | 'lateMs' | 'address'> & {host: string; silentMs: number};

/** Heartbeats of this process, and what is heard of others. */
export class HostRegistry {
	/** Differs for each start of the process. */
	readonly incarnation = randomUUID();
	readonly #settings: HostRegistrySettings;
	readonly #failures: RepeatedFailures;
	readonly #hosts = new Map<string, HostRow & {heardAt: number}>();
	readonly #gone = new Set<string>();
	/** Starts whose host was heard under another one since, and the last heartbeat of each. */
	readonly #replaced = new Map<string, number>();
	#contactAt = Number.NEGATIVE_INFINITY;
	#countFrom = Number.NEGATIVE_INFINITY;
	#beat = 0;
	#isLeaving = false;
	/** Heartbeats that are not answered yet. */
	#unanswered = 0;
	#hasAnnounced = false;
	/** Whether the others know this host's clock. */
	#hasToldClock = false;
	/** When this process last suspected another. */
	#suspectedAt = Number.NEGATIVE_INFINITY;
	/** When this process last heard a heartbeat of its own, and since when it hears each one. */
	#ownHeardAt = Number.NEGATIVE_INFINITY;
	#soundFrom = Number.POSITIVE_INFINITY;
	/** When the store last refused a heartbeat of this process. */
	#refusedAt = Number.NEGATIVE_INFINITY;
	/** When this process last owned work. */
	#ownedAt = Number.NEGATIVE_INFINITY;
	/** Whether the others were told that this process has no work. */
	#hasRested = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(settings: HostRegistrySettings) {
		this.#settings = settings;
		this.#failures = new RepeatedFailures({log: settings.log, event: 'heartbeat_failed', overEvent: 'heartbeats_resumed'});
	}

	/** Announces this process, and goes on with heartbeats while it owns work. */
	start(): void {
		this.#timer = setInterval(() => {
			void this.beat();
		}, heartbeatMs);
		void this.beat();
	}

	/** Hosts that were heard of and are not known to be gone. */
	get count(): number {
		return this.#hosts.size;
	}

	/** Where other hosts that are not known to be gone can be reached, `ip:port`. */
	listPeers(): string[] {
		return [...this.#hosts].flatMap(([host, {address}]) => host === this.#settings.host || address === '' ? [] : [address]);
	}

	/**
	 * Time that this host leaves to those that come before it in looking after something, in milliseconds. Hosts that work come before those that rest:
	 * they hear their own heartbeats already, without which nobody takes anything over.
	 */
	findTurnMs(name: string): number {
		const {host, policy = defaultPolicy} = this.#settings;
		if (!policy.ranksTakeOvers) {
			return 0;
		}

		const own = rankCandidate(name, host);
		const rests = this.#isResting(performance.now());
		const isBefore = (other: string, isResting: boolean) => isResting === rests ? rankCandidate(name, other) > own : rests;
		return rankStepMs * [...this.#hosts].filter(([other, {isResting}]) => other !== host && isBefore(other, isResting)).length;
	}

	/** Processes that were heard of and are not known to be gone. */
	listLive(): LiveHost[] {
		const now = performance.now();
		return [...this.#hosts].map(([host, {heardAt, ...row}]) => ({...row, host, silentMs: now - heardAt}));
	}

	/** Texts of a model that have not begun, as hosts have told within the time of two heartbeats. */
	countWaiting(model: string): number {
		const now = performance.now();
		return [...this.#hosts.values()].filter(({heardAt}) => now - heardAt <= suspicionMs).reduce((sum, {waiting}) => sum + (waiting?.[model] ?? 0), 0);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Says that this process leaves; its work may be taken over at once. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		await this.#write(false);
	}

	/** Writes a heartbeat if it is due; never rejects. */
	async beat(): Promise<void> {
		const now = performance.now();
		if (this.#settings.ownsWork()) {
			this.#ownedAt = now;
		}

		const isResting = this.#isResting(now);
		const hasNews = !this.#hasAnnounced || (!this.#hasToldClock && this.#settings.readClockMs?.() !== undefined);
		const isDue = hasNews || !isResting || this.#hasRested !== isResting || now - this.#suspectedAt < proofMs;
		if (!isDue || this.#unanswered >= maxUnanswered || this.#isLeaving) {
			return;
		}

		await this.#write(isResting);
	}

	/** Takes over a change of the table of hosts. */
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

		// A heartbeat of an earlier start that the store performed late says nothing of the present one; one that goes on was itself taken for the earlier.
		if (this.#gone.has(row.incarnation) || row.beat <= (this.#replaced.get(row.incarnation) ?? Number.NEGATIVE_INFINITY) + maxUnanswered) {
			return;
		}

		this.#replaced.delete(row.incarnation);

		if (row.incarnation === this.incarnation) {
			this.#noteOwn();
		}

		if (known && known.incarnation !== row.incarnation) {
			this.#replaced.set(known.incarnation, known.beat);
		}

		this.#hosts.set(key, {...row, heardAt: performance.now()});
		if (row.clockMs !== undefined) {
			this.#settings.onClock?.(key, row.clockMs);
		}

		if (row.paces && row.incarnation !== this.incarnation) {
			this.#settings.onPaces?.(row.paces);
		}
	}

	/** Notes that the store was heard. */
	noteContact(): void {
		const now = performance.now();
		if (now - this.#contactAt > contactGapMs) {
			this.#countFrom = now;
		}

		this.#contactAt = now;
	}

	/**
	 * Whether a process no longer looks after what it owns.
	 *
	 * @param ownedSince - when this process first saw that it owns it, on the monotonic clock
	 */
	isGone(incarnation: string, ownedSince: number): boolean {
		if (incarnation === '' || this.#gone.has(incarnation) || this.#replaced.has(incarnation)) {
			return true;
		}

		const now = performance.now();
		if (now - this.#contactAt > contactGapMs) {
			return false;
		}

		const heardAt = [...this.#hosts.values()].find(host => host.incarnation === incarnation)?.heardAt ?? Number.NEGATIVE_INFINITY;
		const limitMs = heardAt < ownedSince ? unheardMs : silenceMs;
		const silentMs = now - Math.max(heardAt, ownedSince, this.#countFrom);
		// The turn is worked out only for who is silent: it takes a hash of each host.
		if (silentMs > suspicionMs && silentMs > suspicionMs + this.findTurnMs(incarnation)) {
			this.#suspect(now);
		}

		const isSound = now - this.#ownHeardAt < proofMs && now - this.#soundFrom >= soundMs;
		// A store that takes some heartbeats and refuses others has perhaps refused those of the one who is silent.
		return silentMs > limitMs && isSound && now - this.#refusedAt > limitMs;
	}

	#isResting(now: number): boolean {
		return now - this.#ownedAt >= lingerMs;
	}

	#suspect(now: number): void {
		const isNew = now - this.#suspectedAt >= proofMs;
		this.#suspectedAt = now;
		if (isNew) {
			void this.beat();
		}
	}

	#noteOwn(): void {
		const now = performance.now();
		if (now - this.#ownHeardAt >= proofMs) {
			this.#soundFrom = now;
		}

		this.#ownHeardAt = now;
	}

	async #write(isResting: boolean): Promise<void> {
		const {
			rows, host, address = '', dataCentre = '', cores = 0, findLateMs, readClockMs,
		} = this.#settings;
		const clockMs = readClockMs?.();
		const waiting = this.#settings.listWaiting?.() ?? {};
		this.#unanswered += 1;
		this.#beat += 1;
		const row: HostRow = {
			incarnation: this.incarnation, beat: this.#beat, isLeaving: this.#isLeaving, isResting, dataCentre, cores, lateMs: Math.round(findLateMs?.() ?? 0), address, clockMs,
			...(Object.keys(waiting).length > 0 ? {waiting} : {}),
			...(this.#beat % pacesEvery === firstPacesBeat ? {paces: this.#settings.listPaces?.(maxToldPaces)} : {}),
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
			this.#hasToldClock ||= clockMs !== undefined;
			this.#hasRested = isResting;
		} catch (error) {
			if (wasRefused(error)) {
				this.#refusedAt = performance.now();
			}

			this.#failures.record({beat: this.#beat, reason: describeError(error)});
		} finally {
			this.#unanswered -= 1;
		}
	}
}

/** Whether nothing was written, so that nobody has heard it. */
function wasRefused(error: unknown): boolean {
	return error instanceof PlatformError && (error.code === 'limited' || error.code === 'unavailable');
}
