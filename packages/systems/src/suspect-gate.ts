/**
 * Runs suspects of a crash alone: nothing else is in flight at the endpoint meanwhile.
 *
 * Without this the next crash makes suspects of all that runs beside the one at fault.
 */
import type {ExecutorQueue} from './executor-queue.js';

type Job = {signal: AbortSignal; run(): Promise<void>};

/** Suspects of one endpoint, one after another, between the runs of its queue. */
export class SuspectGate {
	readonly #queue: ExecutorQueue;
	readonly #jobs: Job[] = [];
	#running = 0;
	#loop: Promise<void> | undefined;

	constructor(queue: ExecutorQueue) {
		this.#queue = queue;
	}

	/** Suspects that run now: none or one. */
	get running(): number {
		return this.#running;
	}

	/** Suspects that wait. */
	get waiting(): number {
		return this.#jobs.filter(({signal}) => !signal.aborted).length;
	}

	/** @param signal - aborted if the job is no longer wanted; then it is not run */
	add(run: () => Promise<void>, signal: AbortSignal): void {
		this.#jobs.push({run, signal});
		this.#loop ??= this.#work();
	}

	/** Resolves when no suspect waits or runs. */
	async onIdle(): Promise<void> {
		await this.#loop;
	}

	async #work(): Promise<void> {
		this.#queue.pause();
		for (let job = this.#jobs.shift(); job; job = this.#jobs.shift()) {
			// Suspects follow one another.
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
