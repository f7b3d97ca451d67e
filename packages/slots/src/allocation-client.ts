/**
 * Client side of slot allocation: sends this host's demands to the coordinators of endpoints and keeps the slots that it may fill.
 *
 * Load pattern: a hundred generations begin at once on one host while as many begin on others, and endpoints have slots for a part of them. One
 * demand per endpoint is in flight at a time; until it is answered no further slots are filled there, so that the coordinator can allocate
 * the rest to other hosts. A coordinator that doesn't answer, or isn't linked, is not waited for: the host then relies on its own observations.
 */
import type {
	AllocationSource, SlotDemand, SlotAllocation, QueuedWork,
} from './slot-allocation.js';

/** Time limit for an answer, in milliseconds: many times the time to connect between hosts of a data centre. */
const answerTimeoutMs = 100;

/** Time for which no demand is sent to a coordinator that has not answered, in milliseconds: a freeze lasts for seconds. */
const coordinatorPauseMs = 1000;

/** Interval at which an unchanged demand is sent again, in milliseconds: two fit into a term. */
const renewalIntervalMs = 400;

/** Time over which changes are batched into one demand, in milliseconds: the generations of a share begin within it. */
const batchingDelayMs = 2;

/** Time for which an endpoint is tracked after its last demand or filled slot, in milliseconds. */
const idleRetentionMs = 1000;

/** A demand that is not numbered yet. */
type CurrentDemand = Omit<SlotDemand, 'sequence'>;

/** Demand and limit of one endpoint; times are on the monotonic clock. */
type EndpointDemand = {
	current: CurrentDemand;
	sequence: number;
	/** When the demand in flight was sent; undefined if none is. */
	unansweredSince: number | undefined;
	sentAt: number;
	/** The demand that was sent last. */
	lastSent: CurrentDemand | undefined;
	/** Whether slots were released since then. */
	hasReleasedSlots: boolean;
	limit: number;
	limitExpiresAt: number;
	pausedUntil: number;
	lastUsedAt: number;
	isSendScheduled: boolean;
};

export type AllocationClientSettings = {
	/** Sends a demand to the endpoint's coordinator; returns false if that is not linked, and opens a link then. */
	send(demand: SlotDemand): boolean;
	/** Whether the endpoint's coordinator is linked or a link may be opened shortly. */
	isCoordinatorAvailable(endpoint: string): boolean;
	/** Slots of an endpoint that a host may fill without an allocation. */
	findDefaultLimit(endpoint: string): number;
};

/** Keeps the slots of each endpoint that this host may fill. */
export class AllocationClient implements AllocationSource {
	/** Demands sent, allocations accepted, late allocations ignored, and demands without an answer. */
	readonly counts = {
		demands: 0, rations: 0, lateRations: 0, unanswered: 0,
	};

	readonly #settings: AllocationClientSettings;
	readonly #entries = new Map<string, EndpointDemand>();
	readonly #listeners = new Set<() => void>();
	/** Starts from the time of day, so that the demands of a restarted process count as newer. */
	#sequence = Date.now();

	constructor(settings: AllocationClientSettings) {
		this.#settings = settings;
	}

	/** Number of endpoints that are tracked. */
	get size(): number {
		return this.#entries.size;
	}

	findLimit(endpoint: string): number | undefined {
		const entry = this.#entries.get(endpoint);
		const now = performance.now();
		if (entry && now < entry.pausedUntil) {
			return undefined;
		}

		if (entry?.unansweredSince !== undefined) {
			return now - entry.unansweredSince < answerTimeoutMs ? entry.limit : undefined;
		}

		if (entry && now < entry.limitExpiresAt) {
			return entry.limit;
		}

		return this.#settings.isCoordinatorAvailable(endpoint) ? this.#settings.findDefaultLimit(endpoint) : undefined;
	}

	updateDemand(demand: CurrentDemand): void {
		const entry = this.#entries.get(demand.endpoint) ?? this.#addEntry(demand);
		if (demand.filled < entry.current.filled) {
			// A released slot goes to the most urgent work of all hosts.
			entry.hasReleasedSlots = true;
			entry.limit = Math.min(entry.limit, demand.filled);
		}

		entry.current = demand;
		if (demand.filled > 0 || demand.wants.length > 0) {
			entry.lastUsedAt = performance.now();
		}

		this.#scheduleSend(entry);
	}

	onChange(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Accepts an allocation; one that doesn't answer the last demand is late and ignored. */
	handleAllocation(allocation: SlotAllocation): void {
		const entry = this.#entries.get(allocation.endpoint);
		if (allocation.sequence !== entry?.sequence) {
			this.counts.lateRations += 1;
			return;
		}

		this.counts.rations += 1;
		entry.unansweredSince = undefined;
		entry.pausedUntil = Number.NEGATIVE_INFINITY;
		entry.limit = allocation.slots;
		entry.limitExpiresAt = performance.now() + allocation.termMs;
		this.#scheduleSend(entry);
		this.#notify();
	}

	/** Renews demands and pauses those to coordinators that have not answered; to be called about every 50 ms. */
	tick(): void {
		const now = performance.now();
		for (const [endpoint, entry] of this.#entries) {
			if (entry.unansweredSince !== undefined && now - entry.unansweredSince >= answerTimeoutMs) {
				this.counts.unanswered += 1;
				entry.unansweredSince = undefined;
				entry.limitExpiresAt = Number.NEGATIVE_INFINITY;
				entry.pausedUntil = now + coordinatorPauseMs;
				this.#notify();
			}

			if (now - entry.lastUsedAt >= idleRetentionMs && entry.unansweredSince === undefined) {
				this.#entries.delete(endpoint);
			} else {
				this.#sendIfDue(entry);
			}
		}
	}

	#addEntry(demand: CurrentDemand): EndpointDemand {
		const never = Number.NEGATIVE_INFINITY;
		const entry: EndpointDemand = {
			current: demand, sequence: 0, unansweredSince: undefined, sentAt: never, lastSent: undefined, hasReleasedSlots: false, limit: 0, limitExpiresAt: never,
			pausedUntil: never, lastUsedAt: performance.now(), isSendScheduled: false,
		};
		this.#entries.set(demand.endpoint, entry);
		return entry;
	}

	#scheduleSend(entry: EndpointDemand): void {
		if (!entry.isSendScheduled) {
			entry.isSendScheduled = true;
			setTimeout(() => {
				entry.isSendScheduled = false;
				this.#sendIfDue(entry);
			}, batchingDelayMs);
		}
	}

	/** Sends a demand if it is due. */
	#sendIfDue(entry: EndpointDemand): void {
		const now = performance.now();
		if (entry.unansweredSince !== undefined || now < entry.pausedUntil || !isDue(entry, now)) {
			return;
		}

		const {current} = entry;
		const previous = {...entry};
		this.#sequence += 1;
		// The answer may arrive before `send` returns if this host is the coordinator.
		Object.assign(entry, {
			sequence: this.#sequence, unansweredSince: now, sentAt: now, lastSent: current, hasReleasedSlots: false, limit: current.filled,
		});
		if (this.#settings.send({...current, sequence: this.#sequence})) {
			this.counts.demands += 1;
		} else {
			Object.assign(entry, previous);
		}
	}

	#notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}

/** Whether a demand has to be sent: slots were released, more, less or more urgent work waits, or the last one must be renewed. */
function isDue({
	current, lastSent, hasReleasedSlots, sentAt, limit,
}: EndpointDemand, now: number): boolean {
	if (!lastSent) {
		return true;
	}

	const wantsMore = current.filled + countWants(current.wants) > Math.max(limit, lastSent.filled + countWants(lastSent.wants)) || isMoreUrgent(current.wants, lastSent.wants);
	const wantsLess = limit > current.filled + countWants(current.wants);
	const isUsed = current.filled > 0 || current.wants.length > 0;
	return hasReleasedSlots || wantsMore || wantsLess || (isUsed && now - sentAt >= renewalIntervalMs);
}

function countWants(wants: readonly QueuedWork[]): number {
	return wants.reduce((sum, {count}) => sum + count, 0);
}

function isMoreUrgent([first]: readonly QueuedWork[], [previous]: readonly QueuedWork[]): boolean {
	return first !== undefined && (previous === undefined || first.urgency < previous.urgency);
}
