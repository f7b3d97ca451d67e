/**
 * Holds the calls of one service at this entry: admission, queue order, and the statistics of its endpoints.
 * The rules are those of the decisions package.
 */
import {
	Admission, DrainRate, Ejection, Hedging, type AdmissionBounds, type AdmissionDecision,
} from '@wasabiusher/decisions';
import {priorityClasses, type PriorityClass} from '@wasabiusher/shared';
import type {Call} from './call.js';
import type {CallRun} from './dispatcher-run.js';
import {createExecutorQueue, type ExecutorQueue} from './executor-queue.js';

/**
 * Bounds of the queue at one entry. A training step has 2,048 samples and up to ten trainers may
 * use one entry. A queued call takes about 2 KB besides its body, so a full queue stays within 64 MB.
 */
const admissionBounds: AdmissionBounds = {
	count: 24_576, work: 64_000_000, callerCount: 4096, callerWork: 16_000_000,
};

/** Weight of a new sample in the moving average of the time per unit of work: the last ten samples have two thirds of the weight. */
const paceSmoothing = 0.1;

/** Calls of one service. */
export class Pool {
	readonly admission = new Admission(admissionBounds);
	readonly ejection = new Ejection();
	readonly hedging = new Hedging();
	/** A finished idempotent call, whose copies probe ejected endpoints. */
	sample: Call | undefined;
	readonly #queues: Readonly<Record<PriorityClass, ExecutorQueue>>;
	#slots: number;
	#rate: DrainRate | undefined;
	#msPerCost: number | undefined;

	/** @param slots - number of requests that the endpoints run concurrently */
	constructor(slots: number) {
		this.#slots = slots;
		// One queue per class: calls in flight of a less urgent class must not hold an urgent call back
		// from the agents, whose queues order the classes.
		this.#queues = {
			interactive: createExecutorQueue(slots), rollout: createExecutorQueue(slots), background: createExecutorQueue(slots),
		};
	}

	/** Adjusts the concurrency to the capacity, as endpoints are added, removed and drained. */
	resize(slots: number): void {
		if (slots === this.#slots) {
			return;
		}

		this.#slots = slots;
		for (const name of priorityClasses) {
			this.#queues[name].concurrency = slots;
		}
	}

	/** Reserves a position in the queue, or refuses with the time after which to retry. */
	admit({id, profile, caller, cost, deadlineAt}: Call, now: number): AdmissionDecision {
		return this.admission.reserve({
			id, class: profile.class, caller, share: profile.share, cost, deadlineAt, serviceMs: this.estimateMs(cost) ?? 0,
		}, now, this.#rate?.perMs ?? Number.POSITIVE_INFINITY);
	}

	/** Queues the call and runs it when a slot is free. Rejects if it was not admitted or ended before. */
	async enqueue(run: CallRun): Promise<void> {
		const {id, call: {profile, caller, cost}, abort: {signal}} = run;
		await this.#queues[profile.class].add(async () => run.drive(), {
			id,
			signal,
			ticket: {
				id, class: profile.class, priority: profile.priority, caller, share: profile.share, cost,
			},
		});
	}

	/** Returns the expected run time of a call with the given cost, in milliseconds; undefined until measured. */
	estimateMs(cost: number): number | undefined {
		return this.#msPerCost === undefined ? undefined : this.#msPerCost * cost;
	}

	/**
	 * Updates the statistics with a call that was answered completely.
	 *
	 * @param runMs - run time of the call, in milliseconds
	 */
	recordFinished(call: Call, runMs: number, now: number): void {
		const {cost, profile} = call;
		const measured = runMs / cost;
		this.#msPerCost = this.#msPerCost === undefined ? measured : this.#msPerCost + (paceSmoothing * (measured - this.#msPerCost));
		// Until a backlog has been measured, all slots are assumed to be as fast as this one.
		this.#rate ??= new DrainRate(this.#slots * cost / Math.max(1, runMs));
		this.#rate.record(cost, now, this.admission.waiting > 0);
		if (profile.idempotent) {
			this.sample = call;
		}
	}
}
