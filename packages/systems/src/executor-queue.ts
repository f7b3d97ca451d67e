/**
 * Joins the fair order to p-queue, which holds the concurrency.
 */
import {FairQueue, type CallerBounds, type Ticket} from '@wasabiusher/decisions';
import {LayerError, type PriorityClass} from '@wasabiusher/shared';
import PQueue, {type Queue, type QueueAddOptions} from 'p-queue';

type Job = () => Promise<unknown>;

/** Options of each job added to an executor queue. */
export type ExecutorOptions = QueueAddOptions & {ticket: Ticket};

/** The order of p-queue's waiting jobs, by `FairQueue`. */
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

	/** Class of the job whose turn it is. */
	get nextClass(): PriorityClass | undefined {
		return this.#queue.nextClass;
	}

	enqueue(run: Job, options?: Partial<ExecutorOptions>): void {
		if (!this.#queue.push(options!.ticket!, run)) {
			// P-queue turns it into the rejection of `add`.
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

	// P-queue asks for these; the executor neither filters jobs nor changes their priority.
	filter(): Job[] {
		return [];
	}

	setPriority(): void {
		throw new TypeError('a ticket fixes its place when it is drawn');
	}
}

/** The caller already has as much waiting as it may; the job was not run. */
export class CallerBoundError extends LayerError<'caller-full'> {
	override readonly name = 'CallerBoundError';

	constructor() {
		super('caller-full', 'the caller has as much waiting as its bound allows, or this job waits already');
	}
}

/** A p-queue in fair order. */
export type ExecutorQueue = PQueue<FairOrder, ExecutorOptions>;

/** What an executor queue may be told besides its concurrency. */
export type ExecutorQueueSettings = {
	/** Bounds of what one caller may have waiting; `add` rejects with `CallerBoundError` beyond them. */
	bounds?: CallerBounds;
	/** Jobs that may run when one of this class starts, so that less urgent work leaves slots free; at least 1. */
	limitFor?(name: PriorityClass): number;
};

/**
 * Creates the queue of an executor; `concurrency` may be changed as limits change.
 * With `limitFor` the concurrency follows the class whose turn it is, at each job that comes, starts or ends.
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
		const follow = () => {
			const name = orders[0]?.nextClass;
			const limit = name === undefined ? queue.concurrency : limitFor(name);
			if (limit !== queue.concurrency) {
				queue.concurrency = limit;
			}
		};

		for (const event of ['add', 'active', 'next'] as const) {
			queue.on(event, follow);
		}
	}

	return queue;
}
