/**
 * Requests slots of contended endpoints for this process, and applies the limits granted to it.
 *
 * Load pattern: a hundred generations find no headroom on a dozen endpoints that other hosts fill too. Each generation requests a slot of one endpoint only,
 * the one that would serve it soonest, so that coordinators don't reserve slots for it at several endpoints. Endpoints without contention cause no messages.
 */
import {chooseDirect} from '@wasabiusher/decisions';
import type {ServingHead} from '@wasabiusher/backends';
import type {AllocationSource, QueuedWork} from '@wasabiusher/slots';
import type {EndpointState} from './endpoint-state.js';

/** Work that waits for a slot. */
export type SlotWaiter = {
	/** Unique among the waiters of this process. */
	id: string;
	/** Urgency class; 0 is served first. */
	urgency: number;
};

/** Time after which a slot request that was not renewed expires, in milliseconds: three polls. */
const requestExpiryMs = 300;

/** Minimum interval between two renewals by one waiter, in milliseconds: all waiters retry at each change. */
const minRequestIntervalMs = 50;

/** Due time of waiters without one, in milliseconds from now: after all others. */
const defaultDueMs = 60_000;

/** Requirements that don't apply to the endpoint of a slot request. */
const withoutLimits = {openLimit: undefined, waiter: undefined} as const;

/** Minimum time for which a waiter keeps its requested endpoint, in milliseconds: a few messages to its coordinator. */
const minStayMs = 100;

/** Fraction of an endpoint's slots beyond which this process reports its use even if nothing waits. */
const unreportedFraction = 0.5;

/** Maximum age of a load report that shows requests which hosts have not reported, in milliseconds; after that the hosts have reported their ends. */
const freshLoadMs = 50;

/** Time for which an endpoint is reported after its last contention, in milliseconds. */
const contentionMs = 1000;

/** The requirements of a waiter that slot requests depend on. */
export type UnmetRequirement = {waiter?: SlotWaiter; dueInMs?: number; avoidsFull?: boolean};

type SlotRequest = SlotWaiter & {endpoint: string; dueAt: number; requestedAt: number; renewedAt: number};

/** Slot requests and limits of contended endpoints. */
export class SlotLimits {
	readonly #source: AllocationSource;
	readonly #find: (endpoint: string) => EndpointState | undefined;
	/** Requests by waiter, and waiters by endpoint. */
	readonly #requests = new Map<string, SlotRequest>();
	readonly #waiterIds = new Map<string, Set<string>>();
	/** Until when each contended endpoint is reported, on the monotonic clock. */
	readonly #contendedUntil = new Map<string, number>();

	/** @param find - returns the state of an endpoint */
	constructor(source: AllocationSource, find: (endpoint: string) => EndpointState | undefined) {
		this.#source = source;
		this.#find = find;
	}

	/** Whether one more request may be sent to an endpoint. */
	allows({endpoint, open}: EndpointState): boolean {
		const limit = this.#source.findLimit(endpoint.id);
		return limit === undefined || open < limit;
	}

	/** Number of an endpoint's slots that may be filled without a grant: half of the free ones, since several hosts see the same free slots. */
	findDefaultLimit(endpoint: string): number {
		const state = this.#find(endpoint);
		return state ? Math.max(1, Math.floor((state.endpoint.slots - state.others) * unreportedFraction)) : 1;
	}

	/** Records that a request was sent. */
	recordBegun(state: EndpointState, waiter: SlotWaiter | undefined): void {
		const requestedEndpoint = waiter && this.#withdraw(waiter.id);
		const {id, slots} = state.endpoint;
		if (state.open > slots * unreportedFraction) {
			this.#markContended(id);
		}

		this.#report(state);
		const other = requestedEndpoint === undefined || requestedEndpoint === id ? undefined : this.#find(requestedEndpoint);
		if (other) {
			// The requested slot is free for other hosts.
			this.#report(other);
		}
	}

	/** Records that a request has ended. */
	recordEnd(state: EndpointState): void {
		this.#report(state);
	}

	/** Marks an endpoint as contended if the head of its answer shows a refusal for lack of free slots. */
	recordHead(state: EndpointState | undefined, {isNotRun, load}: ServingHead): void {
		if (state && isNotRun && load && load.running + load.waiting >= load.slots) {
			this.#markContended(state.endpoint.id);
			this.#report(state);
		}
	}

	/**
	 * Requests a slot for a waiter that found no headroom. Work that avoids full endpoints requests none.
	 *
	 * @param list - lists the endpoints that would be eligible if they had headroom
	 */
	recordUnmet({waiter, dueInMs = defaultDueMs, avoidsFull}: UnmetRequirement, list: (overrides: typeof withoutLimits) => EndpointState[]): void {
		const now = performance.now();
		const known = waiter && this.#requests.get(waiter.id);
		const isRecent = known !== undefined && now - known.renewedAt < minRequestIntervalMs;
		if (!waiter || isRecent || avoidsFull) {
			return;
		}

		const {id, urgency} = waiter;
		const candidates = list(withoutLimits);
		const keepsEndpoint = known && now - known.requestedAt < minStayMs && candidates.some(({endpoint}) => endpoint.id === known.endpoint);
		const endpoint = keepsEndpoint ? known.endpoint : this.#choose(candidates);
		const state = candidates.find(candidate => candidate.endpoint.id === endpoint);
		if (endpoint === undefined || !state) {
			this.#withdraw(id);
			return;
		}

		if (!keepsEndpoint) {
			this.#withdraw(id);
			const waiterIds = this.#waiterIds.get(endpoint) ?? new Set();
			this.#waiterIds.set(endpoint, waiterIds.add(id));
		}

		this.#requests.set(id, {
			id, urgency, endpoint, dueAt: now + dueInMs, requestedAt: keepsEndpoint ? known.requestedAt : now, renewedAt: now,
		});
		this.#markContended(endpoint);
		if (!keepsEndpoint) {
			this.#report(state);
		}
	}

	/** Expires requests that were not renewed, and reports contended endpoints; call it about every 50 ms. */
	tick(): void {
		const now = performance.now();
		for (const {id, renewedAt} of this.#requests.values()) {
			if (now - renewedAt > requestExpiryMs) {
				this.#withdraw(id);
			}
		}

		for (const [endpoint, until] of this.#contendedUntil) {
			const state = this.#find(endpoint);
			if (state) {
				this.#report(state);
			}

			if (!state || (until < now && state.open === 0)) {
				this.#contendedUntil.delete(endpoint);
			}
		}
	}

	#markContended(endpoint: string): void {
		this.#contendedUntil.set(endpoint, performance.now() + contentionMs);
	}

	#report({endpoint: {id}, open, others, loadAgeMs}: EndpointState): void {
		if (this.#contendedUntil.has(id)) {
			this.#source.updateDemand({
				endpoint: id, filled: open, wants: this.#listQueuedWork(id), ...(loadAgeMs < freshLoadMs ? {others} : {}),
			});
		}
	}

	/** Waiters for an endpoint: their number by urgency, each with the earliest due time. */
	#listQueuedWork(endpoint: string): QueuedWork[] {
		const now = performance.now();
		const wants = new Map<number, QueuedWork>();
		for (const waiter of this.#waiterIds.get(endpoint) ?? []) {
			const {urgency, dueAt} = this.#requests.get(waiter)!;
			const known = wants.get(urgency);
			wants.set(urgency, {urgency, count: (known?.count ?? 0) + 1, dueInMs: Math.min(known?.dueInMs ?? Number.POSITIVE_INFINITY, Math.round(dueAt - now))});
		}

		return [...wants.values()].toSorted((a, b) => a.urgency - b.urgency);
	}

	#choose(candidates: readonly EndpointState[]): string | undefined {
		const weighted = candidates.map(state => {
			const candidate = state.toCandidate(undefined);
			return {...candidate, open: candidate.open + (this.#waiterIds.get(candidate.id)?.size ?? 0)};
		});
		// Equal candidates need no random choice: the requests counted above decide between them.
		return chooseDirect(weighted, 0)?.id;
	}

	/** Removes the request of a waiter; returns its endpoint. */
	#withdraw(id: string): string | undefined {
		const request = this.#requests.get(id);
		if (!request) {
			return undefined;
		}

		this.#requests.delete(id);
		const waiterIds = this.#waiterIds.get(request.endpoint)!;
		waiterIds.delete(id);
		if (waiterIds.size === 0) {
			this.#waiterIds.delete(request.endpoint);
		}

		return request.endpoint;
	}
}
