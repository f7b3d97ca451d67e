/**
 * The waiting line of one class: callers take turns by the work that they have had.
 *
 * Load pattern: one caller sends twenty times its share. Without this its requests fill
 * the line and each other caller waits behind all of them. Start-time fair queueing
 * (Goyal, Vin and Cheng, 1996) with the work charged when a job is taken, so that
 * a job that is taken out unserved costs its caller nothing. A caller is never in debt
 * by more than one job: what it used of the others' idle share is not held against it.
 */
import type {PriorityClass} from '@wasabiusher/shared';
import {IndexedHeap, type HeapItem} from './indexed-heap.js';
import {TurnClock} from './flow-clock.js';

/** What the order is decided by. */
export type Ticket = {
	/** Names the entry, to take it out again. */
	id: string;
	class: PriorityClass;
	/** Whose turn it uses up. */
	caller: string;
	/** 0 is the least urgent, 9 the most. */
	priority: number;
	/** Weight of the caller's profile. */
	share: number;
	/** Work, in tokens or calls. */
	cost: number;
};

/** A waiting job and its place in its caller's line. */
export type QueuedJob<Job> = {
	ticket: Ticket;
	job: Job;
	flow?: Flow<Job>;
	previous?: QueuedJob<Job>;
	next?: QueuedJob<Job>;
};

/** The jobs of one caller at one priority, first come first served. */
type Flow<Job> = HeapItem & {
	key: string;
	/** Virtual time at which its next job may start; the least goes first. */
	start: number;
	/** Breaks ties in order of arrival. */
	order: number;
	head?: QueuedJob<Job>;
	tail?: QueuedJob<Job>;
};

/**
 * Each step of priority doubles a caller's weight in its class: 9 goes 16 times as often
 * as 5, yet 0 still gets a turn. A strict order would starve the low priorities.
 */
const weightPerPriority = 2;

/** The priority at which the weight is the profile's share. */
const neutralPriority = 5;

/** Least work charged for a job, so that jobs stated to cost nothing still take turns. */
const minCost = 1e-3;

/** Jobs of one class in fair order. */
export class CallerQueue<Job> {
	readonly #flows = new Map<string, Flow<Job>>();
	readonly #clock = new TurnClock();
	readonly #heap = new IndexedHeap<Flow<Job>>((a, b) => a.start < b.start || (a.start === b.start && a.order < b.order));
	#arrivals = 0;

	get isEmpty(): boolean {
		return this.#heap.size === 0;
	}

	/** The job whose turn it is, left in its place. */
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

	/** Takes the job whose turn it is and charges its caller. */
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

	/** Takes out a job whose turn has not come; its caller is not charged. */
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
