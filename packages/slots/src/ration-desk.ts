/**
 * The asking side of rations: tells homes what this host wants and keeps what it may fill.
 *
 * Load pattern: a hundred texts begin at once on one host while as many begin on others, and endpoints have room for a part of them. One
 * demand at a time is on its way for an endpoint; until it is answered nothing more is filled there than is filled already, so that the
 * home can give the rest to others. A home that doesn't answer, or isn't linked, is not waited for: the host then goes by what it sees itself.
 */
import type {
	RationSource, SlotDemand, SlotRation, Want,
} from './ration.js';

/** Longest wait for an answer, in milliseconds: a connection's time between hosts of a data centre, many times over. */
const answerMs = 100;

/** Time for which a home that has not answered is not asked, in milliseconds: a freeze lasts for seconds. */
const restMs = 1000;

/** Time after which a demand is told anew, in milliseconds: two fit into a term. */
const renewMs = 400;

/** Time over which changes are gathered into one demand, in milliseconds: a share's texts begin within it. */
const gatherMs = 2;

/** Time for which an endpoint is looked after once nothing is wanted or filled there, in milliseconds. */
const lingerMs = 1000;

type Wish = Omit<SlotDemand, 'sequence'>;

type Entry = {
	wish: Wish;
	sequence: number;
	/** When the demand was sent that is not answered yet, on the monotonic clock. */
	askedAt: number | undefined;
	sentAt: number;
	/** What was told last. */
	told: Wish | undefined;
	/** Whether slots were given back since. */
	hasFreed: boolean;
	limit: number;
	limitEndsAt: number;
	restsUntil: number;
	usedAt: number;
	isPlanned: boolean;
};

export type RationDeskSettings = {
	/** Sends a demand to the endpoint's home; false if that is not linked, and a link is then being opened. */
	send(demand: SlotDemand): boolean;
	/** Whether the endpoint's home is linked, or may be in a moment. */
	isUsable(endpoint: string): boolean;
	/** Slots of an endpoint that a host fills without asking. */
	findFreePart(endpoint: string): number;
};

/** What this host may fill. */
export class RationDesk implements RationSource {
	/** Demands sent, rations taken, those ignored since they were late, and demands without an answer. */
	readonly counts = {
		demands: 0, rations: 0, lateRations: 0, unanswered: 0,
	};

	readonly #settings: RationDeskSettings;
	readonly #entries = new Map<string, Entry>();
	readonly #listeners = new Set<() => void>();
	/** Counts on from the time of day, so that a process that has started again tells newer ones. */
	#sequence = Date.now();

	constructor(settings: RationDeskSettings) {
		this.#settings = settings;
	}

	/** Endpoints that are looked after. */
	get size(): number {
		return this.#entries.size;
	}

	findLimit(endpoint: string): number | undefined {
		const entry = this.#entries.get(endpoint);
		const now = performance.now();
		if (entry && now < entry.restsUntil) {
			return undefined;
		}

		if (entry?.askedAt !== undefined) {
			return now - entry.askedAt < answerMs ? entry.limit : undefined;
		}

		if (entry && now < entry.limitEndsAt) {
			return entry.limit;
		}

		return this.#settings.isUsable(endpoint) ? this.#settings.findFreePart(endpoint) : undefined;
	}

	want(wish: Wish): void {
		const entry = this.#entries.get(wish.endpoint) ?? this.#open(wish);
		if (wish.filled < entry.wish.filled) {
			// What was freed goes to whoever wants it most, on whichever host.
			entry.hasFreed = true;
			entry.limit = Math.min(entry.limit, wish.filled);
		}

		entry.wish = wish;
		if (wish.filled > 0 || wish.wants.length > 0) {
			entry.usedAt = performance.now();
		}

		this.#planLook(entry);
	}

	onChange(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Takes a ration; one that answers another demand than the last is late and ignored. */
	take(ration: SlotRation): void {
		const entry = this.#entries.get(ration.endpoint);
		if (ration.sequence !== entry?.sequence) {
			this.counts.lateRations += 1;
			return;
		}

		this.counts.rations += 1;
		entry.askedAt = undefined;
		entry.restsUntil = Number.NEGATIVE_INFINITY;
		entry.limit = ration.slots;
		entry.limitEndsAt = performance.now() + ration.termMs;
		this.#planLook(entry);
		this.#notify();
	}

	/** Renews demands, and leaves homes alone that have not answered; to be called each 50 ms or so. */
	tick(): void {
		const now = performance.now();
		for (const [endpoint, entry] of this.#entries) {
			if (entry.askedAt !== undefined && now - entry.askedAt >= answerMs) {
				this.counts.unanswered += 1;
				entry.askedAt = undefined;
				entry.limitEndsAt = Number.NEGATIVE_INFINITY;
				entry.restsUntil = now + restMs;
				this.#notify();
			}

			if (now - entry.usedAt >= lingerMs && entry.askedAt === undefined) {
				this.#entries.delete(endpoint);
			} else {
				this.#look(entry);
			}
		}
	}

	#open(wish: Wish): Entry {
		const never = Number.NEGATIVE_INFINITY;
		const entry: Entry = {
			wish, sequence: 0, askedAt: undefined, sentAt: never, told: undefined, hasFreed: false, limit: 0, limitEndsAt: never, restsUntil: never,
			usedAt: performance.now(), isPlanned: false,
		};
		this.#entries.set(wish.endpoint, entry);
		return entry;
	}

	#planLook(entry: Entry): void {
		if (!entry.isPlanned) {
			entry.isPlanned = true;
			setTimeout(() => {
				entry.isPlanned = false;
				this.#look(entry);
			}, gatherMs);
		}
	}

	/** Sends a demand if it is due. */
	#look(entry: Entry): void {
		const now = performance.now();
		if (entry.askedAt !== undefined || now < entry.restsUntil || !isDue(entry, now)) {
			return;
		}

		const {wish} = entry;
		const before = {...entry};
		this.#sequence += 1;
		// The answer may come before `send` returns, where this host is the home.
		Object.assign(entry, {
			sequence: this.#sequence, askedAt: now, sentAt: now, told: wish, hasFreed: false, limit: wish.filled,
		});
		if (this.#settings.send({...wish, sequence: this.#sequence})) {
			this.counts.demands += 1;
		} else {
			Object.assign(entry, before);
		}
	}

	#notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}

/** Whether the home should know: something was given back, more is wanted or something else, or the term goes by. */
function isDue({
	wish, told, hasFreed, sentAt, limit,
}: Entry, now: number): boolean {
	if (!told) {
		return true;
	}

	const wantsMore = wish.filled + countWants(wish.wants) > Math.max(limit, told.filled + countWants(told.wants)) || isMoreUrgent(wish.wants, told.wants);
	const wantsLess = limit > wish.filled + countWants(wish.wants);
	const isUsed = wish.filled > 0 || wish.wants.length > 0;
	return hasFreed || wantsMore || wantsLess || (isUsed && now - sentAt >= renewMs);
}

function countWants(wants: readonly Want[]): number {
	return wants.reduce((sum, {count}) => sum + count, 0);
}

function isMoreUrgent([first]: readonly Want[], [before]: readonly Want[]): boolean {
	return first !== undefined && (before === undefined || first.urgency < before.urgency);
}
