/**
 * What this process wants of each endpoint's slots, and which of them it may fill.
 *
 * Load pattern: a hundred texts find no room on a dozen endpoints that other hosts fill as well. Each is counted as wanting a slot of one endpoint, the
 * one that would serve it soonest, so that homes don't keep slots for a text at several of them. Endpoints that nobody contends for are asked
 * about by nobody.
 */
import {chooseDirect} from '@wasabiusher/decisions';
import type {ServingHead} from '@wasabiusher/backends';
import type {RationSource, Want} from '@wasabiusher/slots';
import type {EndpointStanding} from './endpoint-state.js';

/** One that waits for a slot. */
export type SlotWaiter = {
	/** Names it among all that wait in this process. */
	id: string;
	/** Class of urgency; 0 goes first. */
	urgency: number;
};

/** Time after which one that has not looked for a slot again has left, in milliseconds: three looks. */
const requestExpiryMs = 300;

/** Least time between two notes of one that waits, in milliseconds: all look at each change. */
const minRequestIntervalMs = 50;

/** Time until one is due that does not tell, in milliseconds: after all that do. */
const defaultDueMs = 60_000;

/** What endpoints need not have to be wanted. */
const withoutLimits = {openLimit: undefined, waiter: undefined} as const;

/** Time for which one keeps the endpoint that it wants, in milliseconds: some messages to its home. */
const minStayMs = 100;

/** Part of an endpoint's slots beyond which this process tells of it though nothing waits. */
const unreportedFraction = 0.5;

/** Age up to which an endpoint's load tells of requests that hosts have not told of, in milliseconds; later those have told that they ended. */
const freshLoadMs = 50;

/** Time for which an endpoint is told of after it was last contended, in milliseconds. */
const contentionMs = 1000;

/** What of a need counts here. */
export type UnmetRequirement = {waiter?: SlotWaiter; dueInMs?: number; avoidsFull?: boolean};

type SlotRequest = SlotWaiter & {endpoint: string; dueAt: number; since: number; renewedAt: number};

/** The slots that are contended. */
export class SlotLimits {
	readonly #source: RationSource;
	readonly #find: (endpoint: string) => EndpointStanding | undefined;
	/** By waiter, and waiters by endpoint. */
	readonly #requests = new Map<string, SlotRequest>();
	readonly #waiterIds = new Map<string, Set<string>>();
	/** Until when each endpoint is told of, on the monotonic clock. */
	readonly #contendedUntil = new Map<string, number>();

	/** @param find - gives the standing of an endpoint */
	constructor(source: RationSource, find: (endpoint: string) => EndpointStanding | undefined) {
		this.#source = source;
		this.#find = find;
	}

	/** Whether one more may be sent to an endpoint. */
	allows({endpoint, open}: EndpointStanding): boolean {
		const limit = this.#source.findLimit(endpoint.id);
		return limit === undefined || open < limit;
	}

	/** Slots of an endpoint that are filled without asking: half of what others leave, since several see the same free slots. */
	findFreePart(endpoint: string): number {
		const state = this.#find(endpoint);
		return state ? Math.max(1, Math.floor((state.endpoint.slots - state.others) * unreportedFraction)) : 1;
	}

	/** Notes that one was sent. */
	recordBegun(state: EndpointStanding, waiter: SlotWaiter | undefined): void {
		const requestedEndpoint = waiter && this.#withdraw(waiter.id);
		const {id, slots} = state.endpoint;
		if (state.open > slots * unreportedFraction) {
			this.#markContended(id);
		}

		this.#report(state);
		const other = requestedEndpoint === undefined || requestedEndpoint === id ? undefined : this.#find(requestedEndpoint);
		if (other) {
			// Its slot there goes to others.
			this.#report(other);
		}
	}

	/** Notes that one has ended. */
	recordEnd(state: EndpointStanding): void {
		this.#report(state);
	}

	/** Learns from the beginning of an answer whether an endpoint has turned one away since its slots were taken. */
	recordHead(state: EndpointStanding | undefined, {isNotRun, load}: ServingHead): void {
		if (state && isNotRun && load && load.running + load.waiting >= load.slots) {
			this.#markContended(state.endpoint.id);
			this.#report(state);
		}
	}

	/**
	 * Notes that one found no room. Who would leave room to others wants none.
	 *
	 * @param list - finds the endpoints that would serve it if they had room
	 */
	recordUnmet({waiter, dueInMs = defaultDueMs, avoidsFull}: UnmetRequirement, list: (overrides: typeof withoutLimits) => EndpointStanding[]): void {
		const now = performance.now();
		const known = waiter && this.#requests.get(waiter.id);
		const isRecent = known !== undefined && now - known.renewedAt < minRequestIntervalMs;
		if (!waiter || isRecent || avoidsFull) {
			return;
		}

		const {id, urgency} = waiter;
		const candidates = list(withoutLimits);
		const stays = known && now - known.since < minStayMs && candidates.some(({endpoint}) => endpoint.id === known.endpoint);
		const endpoint = stays ? known.endpoint : this.#choose(candidates);
		const state = candidates.find(candidate => candidate.endpoint.id === endpoint);
		if (endpoint === undefined || !state) {
			this.#withdraw(id);
			return;
		}

		if (!stays) {
			this.#withdraw(id);
			const waiterIds = this.#waiterIds.get(endpoint) ?? new Set();
			this.#waiterIds.set(endpoint, waiterIds.add(id));
		}

		this.#requests.set(id, {
			id, urgency, endpoint, dueAt: now + dueInMs, since: stays ? known.since : now, renewedAt: now,
		});
		this.#markContended(endpoint);
		if (!stays) {
			this.#report(state);
		}
	}

	/** Forgets those that have left; to be called each 50 ms or so. */
	tick(): void {
		const now = performance.now();
		for (const {id, renewedAt: seenAt} of this.#requests.values()) {
			if (now - seenAt > requestExpiryMs) {
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

	#report({endpoint: {id}, open, others, loadAgeMs}: EndpointStanding): void {
		if (this.#contendedUntil.has(id)) {
			this.#source.want({
				endpoint: id, filled: open, wants: this.#listWants(id), ...(loadAgeMs < freshLoadMs ? {others} : {}),
			});
		}
	}

	/** What waits for an endpoint: by urgency, each with the due time of its first. */
	#listWants(endpoint: string): Want[] {
		const now = performance.now();
		const wants = new Map<number, Want>();
		for (const waiter of this.#waiterIds.get(endpoint) ?? []) {
			const {urgency, dueAt} = this.#requests.get(waiter)!;
			const known = wants.get(urgency);
			wants.set(urgency, {urgency, count: (known?.count ?? 0) + 1, dueInMs: Math.min(known?.dueInMs ?? Number.POSITIVE_INFINITY, Math.round(dueAt - now))});
		}

		return [...wants.values()].toSorted((a, b) => a.urgency - b.urgency);
	}

	#choose(candidates: readonly EndpointStanding[]): string | undefined {
		const weighted = candidates.map(state => {
			const candidate = state.toCandidate(undefined);
			return {...candidate, open: candidate.open + (this.#waiterIds.get(candidate.id)?.size ?? 0)};
		});
		// Any of equals will do: the wishes that were counted decide between them.
		return chooseDirect(weighted, 0)?.id;
	}

	/** Forgets what one wants; returns where it wanted it. */
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
