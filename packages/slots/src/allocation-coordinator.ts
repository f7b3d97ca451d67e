/**
 * Coordinator side of slot allocation: records the demands of hosts for an endpoint and allocates its slots to them.
 *
 * Load pattern: demands of a dozen hosts for one endpoint within milliseconds, some late, some from hosts that then freeze. Each demand of a host releases
 * the slots that it does not fill; nothing else is taken from a host before its term has ended. So no slot is allocated twice, whatever
 * messages are in flight.
 */
import {divideSlots, type SlotClaim} from './divide-slots.js';
import type {SlotDemand, SlotAllocation, QueuedWork} from './slot-allocation.js';

/** Validity of an allocation from its arrival on, in milliseconds: long compared with a message, short compared with the loss of a coordinator. */
export const allocationTermMs = 1000;

/** Time for which a coordinator reserves slots beyond the announced term, in milliseconds: covers message latency and a busy process. */
const termMarginMs = 200;

/** Validity of a reported load that no host's demand accounts for, in milliseconds: an endpoint's load changes within a run. */
const unreportedLoadTtlMs = 300;

/** Delay from the first demand for an endpoint until its slots are divided, in milliseconds: other hosts begin at the same time and have filled slots already. */
const firstDivisionDelayMs = 3;

/** Demand and allocation of one host. */
type Holder = {
	sequence: number;
	filled: number;
	wants: readonly QueuedWork[];
	/** Slots that it may fill, including those that it fills already. */
	allocated: number;
	expiresAt: number;
	/** When it last got a slot or began to wait for one. */
	waitingSince: number;
};

/** Demands and allocations of one endpoint. */
type EndpointAllocations = {
	slots: number;
	holders: Map<string, Holder>;
	/** Requests at the endpoint that belong to no host with an allocation, as last reported. */
	unreportedLoad: number;
	unreportedLoadAt: number;
	/** Slots divided so far. */
	dividedSlots: number;
	/** When the first division may take place: simultaneous demands have arrived by then. */
	firstDivisionAt: number;
};

/** An allocation and the host that it is for. */
export type HostAllocation = {host: string; ration: SlotAllocation};

/** Allocates the slots of the endpoints that this host coordinates. */
export class AllocationCoordinator {
	/** Demands accepted, late demands ignored, and allocations sent. */
	readonly counts = {demands: 0, lateDemands: 0, rations: 0};
	readonly #endpoints = new Map<string, EndpointAllocations>();
	readonly #send: (allocations: readonly HostAllocation[]) => void;

	/** @param send - sends allocations to their hosts */
	constructor(send: (allocations: readonly HostAllocation[]) => void) {
		this.#send = send;
	}

	/** Number of endpoints with a recent demand of any host. */
	get size(): number {
		return this.#endpoints.size;
	}

	/**
	 * Handles a demand of a host: answers it unless it is late, and notifies other hosts that get more slots.
	 *
	 * @param slots - total slots of the endpoint
	 */
	handleDemand(host: string, demand: SlotDemand, slots: number): void {
		const allocations = this.#getOrAdd(demand.endpoint, slots);
		const known = allocations.holders.get(host);
		if (known && demand.sequence <= known.sequence) {
			this.counts.lateDemands += 1;
			return;
		}

		this.counts.demands += 1;
		const now = performance.now();
		const isNewlyWaiting = demand.wants.length > 0 && !known?.wants.length;
		allocations.holders.set(host, {
			sequence: demand.sequence, filled: demand.filled, wants: demand.wants, allocated: demand.filled, expiresAt: now + allocationTermMs + termMarginMs,
			waitingSince: known && !isNewlyWaiting ? known.waitingSince : now,
		});
		recordUnreportedLoad(allocations, host, demand);
		if (allocations.firstDivisionAt <= now) {
			this.#divide(demand.endpoint, allocations, [host]);
		} else if (allocations.holders.size === 1) {
			setTimeout(() => {
				this.#divide(demand.endpoint, allocations, [...allocations.holders.keys()]);
			}, firstDivisionDelayMs);
		}
	}

	/** Drops endpoints without a demand for a term; to be called periodically. */
	sweep(): void {
		for (const [endpoint, allocations] of this.#endpoints) {
			dropExpired(allocations);
			if (allocations.holders.size === 0) {
				this.#endpoints.delete(endpoint);
			}
		}
	}

	#getOrAdd(endpoint: string, slots: number): EndpointAllocations {
		const known = this.#endpoints.get(endpoint);
		const allocations = known ?? {
			slots, holders: new Map<string, Holder>(), unreportedLoad: 0, unreportedLoadAt: Number.NEGATIVE_INFINITY, dividedSlots: 0,
			firstDivisionAt: performance.now() + firstDivisionDelayMs,
		};
		allocations.slots = slots;
		dropExpired(allocations);
		this.#endpoints.set(endpoint, allocations);
		return allocations;
	}

	#divide(endpoint: string, allocations: EndpointAllocations, requesters: readonly string[]): void {
		const now = performance.now();
		const grants = divideSlots(countFree(allocations), listClaims(allocations), allocations.dividedSlots);
		for (const [host, count] of grants) {
			const holder = allocations.holders.get(host)!;
			holder.allocated += count;
			holder.waitingSince = now;
			holder.expiresAt = now + allocationTermMs + termMarginMs;
			allocations.dividedSlots += count;
		}

		const recipients = [...new Set([...requesters, ...grants.keys()])].filter(host => allocations.holders.has(host));
		this.counts.rations += recipients.length;
		this.#send(recipients.map(host => {
			const {allocated, sequence} = allocations.holders.get(host)!;
			return {
				host, ration: {
					endpoint, slots: allocated, termMs: allocationTermMs, sequence,
				},
			};
		}));
	}
}

function dropExpired({holders}: EndpointAllocations): void {
	const now = performance.now();
	for (const [host, {expiresAt}] of holders) {
		if (expiresAt <= now) {
			holders.delete(host);
		}
	}
}

function recordUnreportedLoad(allocations: EndpointAllocations, host: string, {others}: SlotDemand): void {
	if (others === undefined) {
		return;
	}

	const allocatedToOthers = [...allocations.holders].filter(([name]) => name !== host).reduce((sum, [, {allocated}]) => sum + allocated, 0);
	allocations.unreportedLoad = Math.max(0, others - allocatedToOthers);
	allocations.unreportedLoadAt = performance.now();
}

function countFree({slots, holders, unreportedLoad, unreportedLoadAt}: EndpointAllocations): number {
	const allocatedSlots = [...holders.values()].reduce((sum, holder) => sum + holder.allocated, 0);
	return Math.max(0, slots - allocatedSlots - (performance.now() - unreportedLoadAt < unreportedLoadTtlMs ? unreportedLoad : 0));
}

/** Returns what each host wants beyond the slots that it was allocated since its demand. */
function listClaims({holders}: EndpointAllocations): SlotClaim[] {
	const now = performance.now();
	return [...holders].flatMap(([host, {wants, allocated, filled, waitingSince}]) => {
		const remaining = skipWants(wants, allocated - filled);
		return remaining.length === 0 ? [] : [{host, wants: remaining, waitedMs: now - waitingSince}];
	});
}

/** Returns the queued work without its first `count` requests, for which slots have been allocated since the demand. */
function skipWants(wants: readonly QueuedWork[], count: number): QueuedWork[] {
	let toSkip = count;
	return wants.flatMap(want => {
		const skipped = Math.min(toSkip, want.count);
		toSkip -= skipped;
		return skipped < want.count ? [{...want, count: want.count - skipped}] : [];
	});
}
