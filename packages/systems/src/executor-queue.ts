/**
 * Combines the fair order of the decisions package with p-queue, which limits the concurrency.
 */
import {FairQueue, type CallerBounds, type Ticket} from '@wasabiusher/decisions';
import {LayerError, type PriorityClass} from '@wasabiusher/shared';
import PQueue, {type Queue, type QueueAddOptions} from 'p-queue';

type Job = () => Promise<unknown>;

/** Options of each job added to an executor queue. */
export type ExecutorOptions = QueueAddOptions & {ticket: Ticket};

/** Orders the waiting jobs of p-queue by a `FairQueue`. */
class FairOrder implements Queue<Job, ExecutorOptions> {
	readonly #queue: FairQueue<Job>;

	constructor(bounds?: CallerBounds) {
		this.#queue = new FairQueue<Job>(bounds);
	}

	get size(): number {
		return this.#queue.size;
	}

	get work(): number {
		return this.#queue.work;
	}

	/** Class of the next job. */
	get nextClass(): PriorityClass | undefined {
		return this.#queue.nextClass;
	}

	enqueue(run: Job, options?: Partial<ExecutorOptions>): void {
		if (!this.#queue.push(options!.ticket!, run)) {
			// P-queue rejects `add` with this error.
			throw new CallerBoundError();
		}
	}

	dequeue(): Job | undefined {
		return this.#queue.pop();
	}

	/** Called by p-queue when a waiting job's signal is aborted. */
	remove(id: string): void {
		this.#queue.remove(id);
	}

	// Required by p-queue's interface. The executor neither filters jobs nor changes their priority.
	filter(): Job[] {
		return [];
	}

	setPriority(): void {
		throw new TypeError('the priority of a queued job can not be changed: its ticket is fixed when the job is added');
	}
}

/** The caller has reached its bound of queued work, or the job is queued already. The job was not run. */
export class CallerBoundError extends LayerError<'caller-full'> {
	override readonly name = 'CallerBoundError';

	constructor() {
		super('caller-full', 'the caller has reached its bound of queued work, or this job is queued already');
	}
}

/** A p-queue with fair order. */
export type ExecutorQueue = PQueue<FairOrder, ExecutorOptions>;

/** Options of an executor queue. */
export type ExecutorQueueSettings = {
	/** Bounds of the queued work of one caller. Beyond them `add` rejects with `CallerBoundError`. */
	bounds?: CallerBounds;
	/** Returns the maximum concurrency at which a job of a class may start, so that less urgent work leaves slots free; at least 1. */
	limitFor?(name: PriorityClass): number;
};

/**
 * Creates the queue of an executor. `concurrency` may be changed later.
 * With `limitFor`, the concurrency is set to the limit of the next job's class whenever a job is added, starts or ends.
 */
export function createExecutorQueue(concurrency: number, {bounds, limitFor}: ExecutorQueueSettings = {}): ExecutorQueue {
	const orders: FairOrder[] = [];
	class BoundedOrder extends FairOrder {
		constructor() {
			super(bounds);
			orders.push(this);
		}
	}

	const queue = new PQueue<FairOrder, ExecutorOptions>({concurrency, queueClass: BoundedOrder});
	if (limitFor) {
		const updateConcurrency = () => {
			const name = orders[0]?.nextClass;
			const limit = name === undefined ? queue.concurrency : limitFor(name);
			if (limit !== queue.concurrency) {
				queue.concurrency = limit;
			}
		};

		for (const event of ['add', 'active', 'next'] as const) {
			queue.on(event, updateConcurrency);
		}
	}

	return queue;
}
