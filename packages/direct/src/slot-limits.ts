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
import type {EndpointStanding} from './endpoint-standing.js';

/** One that waits for a slot. */
export type SlotWaiter = {
	/** Names it among all that wait in this process. */
	id: string;
	/** Class of urgency; 0 goes first. */
	urgency: number;
};

/** Time after which one that has not looked for a slot again has left, in milliseconds: three looks. */
const unseenMs = 300;

/** Least time between two notes of one that waits, in milliseconds: all look at each change. */
const askMs = 50;

/** Time until one is due that does not tell, in milliseconds: after all that do. */
const lastDueMs = 60_000;

/** What endpoints need not have to be wanted. */
const anyRoomNeed = {openLimit: undefined, waiter: undefined} as const;

/** Time for which one keeps the endpoint that it wants, in milliseconds: some messages to its home. */
const stayMs = 100;

/** Part of an endpoint's slots beyond which this process tells of it though nothing waits. */
const quietFraction = 0.5;

/** Age up to which an endpoint's load tells of requests that hosts have not told of, in milliseconds; later those have told that they ended. */
const freshMs = 50;

/** Time for which an endpoint is told of after it was last contended, in milliseconds. */
const lingerMs = 1000;

/** What of a need counts here. */
export type SlotNeed = {waiter?: SlotWaiter; dueInMs?: number; avoidsFull?: boolean};

type Wish = SlotWaiter & {endpoint: string; dueAt: number; since: number; seenAt: number};

/** The slots that are contended. */
export class SlotLimits {
	readonly #source: RationSource;
	readonly #find: (endpoint: string) => EndpointStanding | undefined;
	/** By waiter, and waiters by endpoint. */
	readonly #wishes = new Map<string, Wish>();
	readonly #waiters = new Map<string, Set<string>>();
	/** Until when each endpoint is told of, on the monotonic clock. */
	readonly #contended = new Map<string, number>();

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
		const standing = this.#find(endpoint);
		return standing ? Math.max(1, Math.floor((standing.endpoint.slots - standing.others) * quietFraction)) : 1;
	}

	/** Notes that one was sent. */
	noteBegun(standing: EndpointStanding, waiter: SlotWaiter | undefined): void {
		const wished = waiter && this.#drop(waiter.id);
		const {id, slots} = standing.endpoint;
		if (standing.open > slots * quietFraction) {
			this.#contend(id);
		}

		this.#tell(standing);
		const other = wished === undefined || wished === id ? undefined : this.#find(wished);
		if (other) {
			// Its slot there goes to others.
			this.#tell(other);
		}
	}

	/** Notes that one has ended. */
	note(standing: EndpointStanding): void {
		this.#tell(standing);
	}

	/** Learns from the beginning of an answer whether an endpoint has turned one away since its slots were taken. */
	noteHead(standing: EndpointStanding | undefined, {isNotRun, load}: ServingHead): void {
		if (standing && isNotRun && load && load.running + load.waiting >= load.slots) {
			this.#contend(standing.endpoint.id);
			this.#tell(standing);
		}
	}

	/**
	 * Notes that one found no room. Who would leave room to others wants none.
	 *
	 * @param list - finds the endpoints that would serve it if they had room
	 */
	noteUnmet({waiter, dueInMs = lastDueMs, avoidsFull}: SlotNeed, list: (anyRoom: typeof anyRoomNeed) => EndpointStanding[]): void {
		const now = performance.now();
		const known = waiter && this.#wishes.get(waiter.id);
		const isNoted = known !== undefined && now - known.seenAt < askMs;
		if (!waiter || isNoted || avoidsFull) {
			return;
		}

		const {id, urgency} = waiter;
		const candidates = list(anyRoomNeed);
		const stays = known && now - known.since < stayMs && candidates.some(({endpoint}) => endpoint.id === known.endpoint);
		const endpoint = stays ? known.endpoint : this.#choose(candidates);
		const standing = candidates.find(candidate => candidate.endpoint.id === endpoint);
		if (endpoint === undefined || !standing) {
			this.#drop(id);
			return;
		}

		if (!stays) {
			this.#drop(id);
			const waiters = this.#waiters.get(endpoint) ?? new Set();
			this.#waiters.set(endpoint, waiters.add(id));
		}

		this.#wishes.set(id, {
			id, urgency, endpoint, dueAt: now + dueInMs, since: stays ? known.since : now, seenAt: now,
		});
		this.#contend(endpoint);
		if (!stays) {
			this.#tell(standing);
		}
	}

	/** Forgets those that have left; to be called each 50 ms or so. */
	tick(): void {
		const now = performance.now();
		for (const {id, seenAt} of this.#wishes.values()) {
			if (now - seenAt > unseenMs) {
				this.#drop(id);
			}
		}

		for (const [endpoint, until] of this.#contended) {
			const standing = this.#find(endpoint);
			if (standing) {
				this.#tell(standing);
			}

			if (!standing || (until < now && standing.open === 0)) {
				this.#contended.delete(endpoint);
			}
		}
	}

	#contend(endpoint: string): void {
		this.#contended.set(endpoint, performance.now() + lingerMs);
	}

	#tell({endpoint: {id}, open, others, loadAgeMs}: EndpointStanding): void {
		if (this.#contended.has(id)) {
			this.#source.want({
				endpoint: id, filled: open, wants: this.#listWants(id), ...(loadAgeMs < freshMs ? {others} : {}),
			});
		}
	}

	/** What waits for an endpoint: by urgency, each with the due time of its first. */
	#listWants(endpoint: string): Want[] {
		const now = performance.now();
		const wants = new Map<number, Want>();
		for (const waiter of this.#waiters.get(endpoint) ?? []) {
			const {urgency, dueAt} = this.#wishes.get(waiter)!;
			const known = wants.get(urgency);
			wants.set(urgency, {urgency, count: (known?.count ?? 0) + 1, dueInMs: Math.min(known?.dueInMs ?? Number.POSITIVE_INFINITY, Math.round(dueAt - now))});
		}

		return [...wants.values()].toSorted((a, b) => a.urgency - b.urgency);
	}

	#choose(candidates: readonly EndpointStanding[]): string | undefined {
		const weighed = candidates.map(standing => {
			const candidate = standing.toCandidate(undefined);
			return {...candidate, open: candidate.open + (this.#waiters.get(candidate.id)?.size ?? 0)};
		});
		// Any of equals will do: the wishes that were counted decide between them.
		return chooseDirect(weighed, 0)?.id;
	}

	/** Forgets what one wants; returns where it wanted it. */
	#drop(id: string): string | undefined {
		const wish = this.#wishes.get(id);
		if (!wish) {
			return undefined;
		}

		this.#wishes.delete(id);
		const waiters = this.#waiters.get(wish.endpoint)!;
		waiters.delete(id);
		if (waiters.size === 0) {
			this.#waiters.delete(wish.endpoint);
		}

		return wish.endpoint;
	}
}
