/**
 * Runs requests that are suspected of crashing endpoints in isolation, with nothing else in flight at the endpoint.
 *
 * Otherwise the next crash would make all requests that run beside the poison request suspects as well.
 */
import type {ExecutorQueue} from './executor-queue.js';

type Job = {signal: AbortSignal; run(): Promise<void>};

/** Runs the suspects of one endpoint one at a time, and pauses its queue in the meantime. */
export class SuspectGate {
	readonly #queue: ExecutorQueue;
	readonly #jobs: Job[] = [];
	#running = 0;
	#loop: Promise<void> | undefined;

	constructor(queue: ExecutorQueue) {
		this.#queue = queue;
	}

	/** Number of running suspects, 0 or 1. */
	get running(): number {
		return this.#running;
	}

	/** Number of waiting suspects. */
	get waiting(): number {
		return this.#jobs.filter(({signal}) => !signal.aborted).length;
	}

	/** @param signal - aborted if the job must not be started any more */
	add(run: () => Promise<void>, signal: AbortSignal): void {
		this.#jobs.push({run, signal});
		this.#loop ??= this.#runJobs();
	}

	/** Resolves when no suspect waits or runs. */
	async onIdle(): Promise<void> {
		await this.#loop;
	}

	async #runJobs(): Promise<void> {
		this.#queue.pause();
		for (let job = this.#jobs.shift(); job; job = this.#jobs.shift()) {
			// Suspects run one at a time.
			// eslint-disable-next-line no-await-in-loop
			await this.#runAlone(job);
		}

		this.#loop = undefined;
		this.#queue.start();
	}

	async #runAlone({run, signal}: Job): Promise<void> {
		await waitUnlessAborted(this.#queue.onPendingZero(), signal);
		if (signal.aborted) {
			return;
		}

		this.#running = 1;
		try {
			await run();
		} finally {
			this.#running = 0;
		}
	}
}

async function waitUnlessAborted(event: Promise<void>, signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
		void event.then(resolve);
	});
}
