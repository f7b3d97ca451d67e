/**
 * Wait queue of an executor: strict priority among classes, weighted fair queueing by work among callers.
 *
 * Load pattern: one caller, or one class, sends far more than its share. Without fair queueing its requests fill the queue and all others wait behind
 * them.
 *
 * Classes are served in strict order of urgency, but each less urgent class with waiting jobs is guaranteed a minimum part of the work served, so that
 * none starves. Capacity that a class or caller does not use is available to the others, and is reclaimed at the next `pop` after it returns: within the
 * time until the next slot is free, as running work is not stopped.
 */
import {priorityClasses, type PriorityClass} from '@wasabiusher/shared';
import {CallerQueue, type QueuedJob, type Ticket} from './caller-queue.js';

export type {Ticket} from './caller-queue.js';

/** Bounds on the waiting jobs of one caller. */
export type CallerBounds = {
	/** Number of jobs. */
	count: number;
	/** Work, in the unit of the tickets' cost. */
	work: number;
};

/** Waiting jobs of one caller: their number and work. */
export type Backlog = {count: number; work: number};

/**
 * Minimum part of the served work that each class gets while it has waiting jobs. 10% keeps rollouts in progress during a flood of interactive requests;
 * background work, for which nobody waits, gets half of that. Together they leave at least 85% to interactive callers.
 */
export const classFloors: Readonly<Record<PriorityClass, number>> = {interactive: 0, rollout: 0.1, background: 0.05};

const unbounded: CallerBounds = {count: Number.POSITIVE_INFINITY, work: Number.POSITIVE_INFINITY};

type ClassQueue<Job> = {
	floor: number;
	queue: CallerQueue<Job>;
	/** Work that it has accrued from its minimum part. */
	credit: number;
};

const emptyBacklog: Readonly<Backlog> = {count: 0, work: 0};

/** Queues jobs in fair order; each operation takes O(log callers). */
export class FairQueue<Job> {
	readonly #bounds: CallerBounds;
	readonly #classes: ReadonlyArray<ClassQueue<Job>>;
	readonly #entries = new Map<string, QueuedJob<Job>>();
	readonly #backlogs = new Map<string, Backlog>();
	#work = 0;

	/** @param bounds - on the waiting jobs of one caller; unbounded by default */
	constructor(bounds: CallerBounds = unbounded) {
		this.#bounds = bounds;
		this.#classes = priorityClasses.map(name => ({floor: classFloors[name], queue: new CallerQueue<Job>(), credit: 0}));
	}

	get size(): number {
		return this.#entries.size;
	}

	/** Waiting work, in the unit of the tickets' cost. */
	get work(): number {
		return this.#work;
	}

	/** Returns the number and work of a caller's waiting jobs. */
	backlogOf(caller: string): Readonly<Backlog> {
		return this.#backlogs.get(caller) ?? emptyBacklog;
	}

	/** Adds a job; returns false if its caller's bound is reached or its id is already queued. */
	push(ticket: Ticket, job: Job): boolean {
		const backlog = this.backlogOf(ticket.caller);
		const exceedsBound = backlog.count + 1 > this.#bounds.count || backlog.work + ticket.cost > this.#bounds.work;
		// A single job may exceed the bound on work, or it could never run.
		if (this.#entries.has(ticket.id) || (exceedsBound && backlog.count > 0)) {
			return false;
		}

		const entry: QueuedJob<Job> = {ticket, job};
		this.#entries.set(ticket.id, entry);
		this.#findClassQueue(ticket).queue.push(entry);
		this.#addToBacklog(ticket, 1);
		return true;
	}

	/** Class of the next job; a less urgent one may have to leave slots free. */
	get nextClass(): PriorityClass | undefined {
		return this.#chooseNextQueue()?.queue.first?.ticket.class;
	}

	/** Removes and returns the next job. */
	pop(): Job | undefined {
		const next = this.#chooseNextQueue();
		if (!next) {
			return undefined;
		}

		const {ticket, job} = next.queue.pop()!;
		this.#settleCredits(next, ticket.cost);
		this.#discard(ticket);
		return job;
	}

	/** Removes a job before it is served; returns undefined if it is not queued. */
	remove(id: string): Job | undefined {
		const entry = this.#entries.get(id);
		if (!entry) {
			return undefined;
		}

		const {queue} = this.#findClassQueue(entry.ticket);
		queue.remove(entry);
		this.#discard(entry.ticket);
		return entry.job;
	}

	#findClassQueue({class: name}: Ticket): ClassQueue<Job> {
		return this.#classes[priorityClasses.indexOf(name)]!;
	}

	/** Returns the queue of a class that has accrued enough credit for its next job, or else of the most urgent class with waiting jobs. */
	#chooseNextQueue(): ClassQueue<Job> | undefined {
		const owedClass = this.#classes.find(({queue, credit}) => queue.first && credit >= queue.first.ticket.cost && credit > 0);
		return owedClass ?? this.#classes.find(({queue}) => !queue.isEmpty);
	}

	#settleCredits(served: ClassQueue<Job>, cost: number): void {
		const servedIndex = this.#classes.indexOf(served);
		for (const [index, other] of this.#classes.entries()) {
			if (other.queue.isEmpty) {
				// Classes without waiting jobs accrue no credit.
				other.credit = 0;
			} else if (index > servedIndex) {
				other.credit += other.floor * cost;
			}
		}

		served.credit = Math.max(0, served.credit - cost);
	}

	#discard(ticket: Ticket): void {
		this.#entries.delete(ticket.id);
		this.#addToBacklog(ticket, -1);
	}

	#addToBacklog({caller, cost}: Ticket, sign: 1 | -1): void {
		const {count, work} = this.backlogOf(caller);
		this.#work = this.#entries.size === 0 ? 0 : this.#work + (sign * cost);
		if (count + sign === 0) {
			this.#backlogs.delete(caller);
		} else {
			this.#backlogs.set(caller, {count: count + sign, work: work + (sign * cost)});
		}
	}
}
