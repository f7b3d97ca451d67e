/**
 * Queue of one class with fair queueing among its callers.
 *
 * Load pattern: one caller sends twenty times its share. Without fair queueing its requests fill the queue and every other caller waits behind all of
 * them. Implements start-time fair queueing (Goyal, Vin and Cheng, 1996), charging the work when a job is served, so that a job that is removed unserved
 * costs its caller nothing. A caller is charged in advance for at most one job: capacity that it used while others were idle is not counted against it.
 */
import type {PriorityClass} from '@wasabiusher/shared';
import {IndexedHeap, type HeapItem} from './indexed-heap.js';
import {FlowClock} from './flow-clock.js';

/** Determines the position of a job. */
export type Ticket = {
	/** Identifies the job for removal. */
	id: string;
	class: PriorityClass;
	/** Caller that is charged for the job. */
	caller: string;
	/** From 0, the least urgent, to 9, the most urgent. */
	priority: number;
	/** Weight of the caller's profile. */
	share: number;
	/** Work, in tokens or calls. */
	cost: number;
};

/** A waiting job, linked to its neighbours in its caller's flow. */
export type QueuedJob<Job> = {
	ticket: Ticket;
	job: Job;
	flow?: Flow<Job>;
	previous?: QueuedJob<Job>;
	next?: QueuedJob<Job>;
};

/** The jobs of one caller at one priority, first in, first out. */
type Flow<Job> = HeapItem & {
	key: string;
	/** Virtual start time of its next job; the lowest is served first. */
	start: number;
	/** Order of arrival, which breaks ties. */
	order: number;
	head?: QueuedJob<Job>;
	tail?: QueuedJob<Job>;
};

/**
 * Factor of a caller's weight in its class for each priority level: 9 is served 16 times as often as 5, but 0 is still served. A strict order would
 * starve low priorities.
 */
const weightPerPriority = 2;

/** Priority at which the weight is the profile's share. */
const neutralPriority = 5;

/** Minimum work charged for a job, so that jobs with a stated cost of zero are queued fairly too. */
const minCost = 1e-3;

/** Queues the jobs of one class in fair order. */
export class CallerQueue<Job> {
	readonly #flows = new Map<string, Flow<Job>>();
	readonly #clock = new FlowClock();
	readonly #heap = new IndexedHeap<Flow<Job>>((a, b) => a.start < b.start || (a.start === b.start && a.order < b.order));
	#arrivals = 0;

	get isEmpty(): boolean {
		return this.#heap.size === 0;
	}

	/** The next job, which stays in the queue. */
	get first(): QueuedJob<Job> | undefined {
		return this.#heap.first?.head;
	}

	push(entry: QueuedJob<Job>): void {
		const flow = this.#findOrAddFlow(entry.ticket);
		entry.flow = flow;
		entry.previous = flow.tail;
		if (flow.tail) {
			flow.tail.next = entry;
		} else {
			flow.head = entry;
		}

		flow.tail = entry;
	}

	/** Removes and returns the next job, and charges its caller. */
	pop(): QueuedJob<Job> | undefined {
		const entry = this.first;
		if (entry) {
			const flow = entry.flow!;
			this.#clock.advance(flow.start);
			flow.start += Math.max(minCost, entry.ticket.cost) / findWeight(entry.ticket);
			this.#unlink(entry);
		}

		return entry;
	}

	/** Removes a job before it is served; its caller is not charged. */
	remove(entry: QueuedJob<Job>): void {
		this.#unlink(entry);
	}

	#findOrAddFlow({caller, priority}: Ticket): Flow<Job> {
		const key = `${priority}/${caller}`;
		let flow = this.#flows.get(key);
		if (!flow) {
			this.#arrivals += 1;
			flow = {
				key, start: this.#clock.enter(key), order: this.#arrivals, heapIndex: -1,
			};
			this.#flows.set(key, flow);
			this.#heap.add(flow);
		}

		return flow;
	}

	#unlink(entry: QueuedJob<Job>): void {
		const flow = entry.flow!;
		if (entry.previous) {
			entry.previous.next = entry.next;
		} else {
			flow.head = entry.next;
		}

		if (entry.next) {
			entry.next.previous = entry.previous;
		} else {
			flow.tail = entry.previous;
		}

		if (flow.head) {
			this.#heap.update(flow);
		} else {
			this.#removeFlow(flow);
		}
	}

	#removeFlow(flow: Flow<Job>): void {
		this.#heap.remove(flow);
		this.#flows.delete(flow.key);
		this.#clock.leave(flow.key, flow.start);
	}
}

function findWeight({share, priority}: Ticket): number {
	return share * (weightPerPriority ** (priority - neutralPriority));
}
