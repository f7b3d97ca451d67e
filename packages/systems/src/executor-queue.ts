/**
 * Joins the fair order to p-queue, which holds the concurrency.
 */
import {FairQueue, type Ticket} from '@wasabiusher/decisions';
import PQueue, {type Queue, type QueueAddOptions} from 'p-queue';

type Job = () => Promise<unknown>;

/** Options of each job added to an executor queue. */
export type ExecutorOptions = QueueAddOptions & {ticket: Ticket};

/** The order of p-queue's waiting jobs, by `FairQueue`. */
class FairOrder implements Queue<Job, ExecutorOptions> {
	readonly #queue = new FairQueue<Job>();

	get size(): number {
		return this.#queue.size;
	}

	get work(): number {
		return this.#queue.work;
	}

	enqueue(run: Job, options?: Partial<ExecutorOptions>): void {
		this.#queue.push(options!.ticket!, run);
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

/** A p-queue in fair order. */
export type ExecutorQueue = PQueue<FairOrder, ExecutorOptions>;

/** Creates the queue of an executor; `concurrency` may be changed as limits change. */
export function createExecutorQueue(concurrency: number): ExecutorQueue {
	return new PQueue<FairOrder, ExecutorOptions>({concurrency, queueClass: FairOrder});
}
