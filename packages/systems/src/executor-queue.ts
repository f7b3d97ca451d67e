/**
 * Joins the fair order to p-queue, which holds the concurrency.
 */
import {FairQueue, type CallerBounds, type Ticket} from '@wasabiusher/decisions';
import {LayerError} from '@wasabiusher/shared';
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

/**
 * Creates the queue of an executor; `concurrency` may be changed as limits change.
 *
 * @param bounds - of what one caller may have waiting; `add` rejects with `CallerBoundError` beyond them
 */
export function createExecutorQueue(concurrency: number, bounds?: CallerBounds): ExecutorQueue {
	class BoundedOrder extends FairOrder {
		constructor() {
			super(bounds);
		}
	}

	return new PQueue<FairOrder, ExecutorOptions>({concurrency, queueClass: BoundedOrder});
}
