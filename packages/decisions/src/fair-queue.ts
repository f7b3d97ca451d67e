/**
 * The waiting line of an executor: urgent classes first, weighted fair among callers by work.
 *
 * Load pattern: one caller, or one class, sends far more than its share. Without this
 * its requests fill the line and all others wait behind them.
 *
 * Classes go in strict order of urgency, but each less urgent class that has waiters is
 * owed a floor of the work served, so that none starves. Share that a class or caller
 * leaves idle is used by the others at once, and is taken back at the next `pop` after
 * it returns: within the time until the next slot is free, as running work is not stopped.
 */
import {priorityClasses, type PriorityClass} from '@wasabiusher/shared';
import {CallerQueue, type QueuedJob, type Ticket} from './caller-queue.js';

export type {Ticket} from './caller-queue.js';

/** Bounds of what one caller may have waiting. */
export type CallerBounds = {
	/** Jobs. */
	count: number;
	/** Work, in the unit of the tickets' cost. */
	work: number;
};

/** What one caller, or all, have waiting. */
export type Backlog = {count: number; work: number};

/**
 * Least part of the work served that a class is owed while it has waiters. 10% keeps
 * rollouts moving through an interactive flood; background work, for which nobody waits, gets half
 * of that. Together they leave 85% to interactive callers at the worst.
 */
export const classFloors: Readonly<Record<PriorityClass, number>> = {interactive: 0, rollout: 0.1, background: 0.05};

const unbounded: CallerBounds = {count: Number.POSITIVE_INFINITY, work: Number.POSITIVE_INFINITY};

type ClassQueue<Job> = {
	floor: number;
	queue: CallerQueue<Job>;
	/** Work owed to it. */
	credit: number;
};

const emptyBacklog: Readonly<Backlog> = {count: 0, work: 0};

/** Jobs in fair order; each operation takes O(log callers). */
export class FairQueue<Job> {
	readonly #bounds: CallerBounds;
	readonly #classes: ReadonlyArray<ClassQueue<Job>>;
	readonly #entries = new Map<string, QueuedJob<Job>>();
	readonly #backlogs = new Map<string, Backlog>();
	#work = 0;

	/** @param bounds - of what one caller may have waiting; none by default */
	constructor(bounds: CallerBounds = unbounded) {
		this.#bounds = bounds;
		this.#classes = priorityClasses.map(name => ({floor: classFloors[name], queue: new CallerQueue<Job>(), credit: 0}));
	}

	get size(): number {
		return this.#entries.size;
	}

	/** Work that waits, in the unit of the tickets' cost. */
	get work(): number {
		return this.#work;
	}

	/** What a caller has waiting. */
	backlogOf(caller: string): Readonly<Backlog> {
		return this.#backlogs.get(caller) ?? emptyBacklog;
	}

	/** Adds a job; false if its caller's bound is met or its id is already there. */
	push(ticket: Ticket, job: Job): boolean {
		const backlog = this.backlogOf(ticket.caller);
		const exceedsBound = backlog.count + 1 > this.#bounds.count || backlog.work + ticket.cost > this.#bounds.work;
		// One job may exceed the bound in work by itself, or it could never run.
		if (this.#entries.has(ticket.id) || (exceedsBound && backlog.count > 0)) {
			return false;
		}

		const entry: QueuedJob<Job> = {ticket, job};
		this.#entries.set(ticket.id, entry);
		this.#findClassQueue(ticket).queue.push(entry);
		this.#addToBacklog(ticket, 1);
		return true;
	}

	/** Class of the job whose turn it is; a less urgent one may have to leave slots free. */
	get nextClass(): PriorityClass | undefined {
		return this.#chooseNextQueue()?.queue.first?.ticket.class;
	}

	/** Takes the job whose turn it is. */
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

	/** Takes out a job whose turn has not come; undefined if it is not there. */
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

	/** A class that is owed its next job goes first, else the most urgent. */
	#chooseNextQueue(): ClassQueue<Job> | undefined {
		const owed = this.#classes.find(({queue, credit}) => queue.first && credit >= queue.first.ticket.cost && credit > 0);
		return owed ?? this.#classes.find(({queue}) => !queue.isEmpty);
	}

	#settleCredits(served: ClassQueue<Job>, cost: number): void {
		const servedIndex = this.#classes.indexOf(served);
		for (const [index, other] of this.#classes.entries()) {
			if (other.queue.isEmpty) {
				// Nothing is owed to a class that doesn't wait, so none can be saved up.
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
