/**
 * The calls of one service at this entry: who is let in, in which order they go, and
 * what its endpoints have shown so far. The decisions are those of the decisions package.
 */
import {
	Admission, DrainRate, Ejection, Hedging, type AdmissionBounds, type AdmissionDecision,
} from '@wasabiusher/decisions';
import {priorityClasses, type PriorityClass} from '@wasabiusher/shared';
import type {Call} from './call.js';
import type {CallRun} from './dispatcher-run.js';
import {createExecutorQueue, type ExecutorQueue} from './executor-queue.js';

/**
 * Bounds of the line at one entry. A trainer's step is 2,048 samples and ten trainers may
 * stand at one entry; a waiting call takes some 2 KB beside its body, so a full line
 * stays within 64 MB.
 */
const bounds: AdmissionBounds = {
	count: 24_576, work: 64_000_000, callerCount: 4096, callerWork: 16_000_000,
};

/** Weight of a new measurement in the average time a unit of work takes: ten make two thirds of it. */
const smoothing = 0.1;

/** Calls of one service. */
export class Pool {
	readonly admission = new Admission(bounds);
	readonly ejection = new Ejection();
	readonly hedging = new Hedging();
	/** A finished call that may be run again, to probe endpoints with. */
	sample: Call | undefined;
	readonly #lanes: Readonly<Record<PriorityClass, ExecutorQueue>>;
	#slots: number;
	#rate: DrainRate | undefined;
	#msPerCost: number | undefined;

	/** @param slots - requests that the endpoints run at once */
	constructor(slots: number) {
		this.#slots = slots;
		// A lane for each class: a slot's worth of a less urgent one in flight must not keep
		// an urgent call from the agents, whose queues put the classes in order.
		this.#lanes = {
			interactive: createExecutorQueue(slots), rollout: createExecutorQueue(slots), background: createExecutorQueue(slots),
		};
	}

	/** Follows the capacity as endpoints come, go and drain. */
	resize(slots: number): void {
		if (slots === this.#slots) {
			return;
		}

		this.#slots = slots;
		for (const name of priorityClasses) {
			this.#lanes[name].concurrency = slots;
		}
	}

	/** Reserves a place in the line, or refuses with when to come back. */
	admit({id, profile, caller, cost, deadlineAt}: Call, now: number): AdmissionDecision {
		return this.admission.reserve({
			id, class: profile.class, caller, share: profile.share, cost, deadlineAt, serviceMs: this.estimateMs(cost) ?? 0,
		}, now, this.#rate?.perMs ?? Number.POSITIVE_INFINITY);
	}

	/** Runs the call when its turn has come; rejects if it was not let in or ended before. */
	async enqueue(run: CallRun): Promise<void> {
		const {id, call: {profile, caller, cost}, abort: {signal}} = run;
		await this.#lanes[profile.class].add(async () => run.drive(), {
			id,
			signal,
			ticket: {
				id, class: profile.class, priority: profile.priority, caller, share: profile.share, cost,
			},
		});
	}

	/** Time that work is expected to take once it runs, in milliseconds; undefined until measured. */
	estimateMs(cost: number): number | undefined {
		return this.#msPerCost === undefined ? undefined : this.#msPerCost * cost;
	}

	/** Learns from a call that was answered whole in this time. */
	recordFinished(call: Call, runMs: number, now: number): void {
		const {cost, profile} = call;
		const measured = runMs / cost;
		this.#msPerCost = this.#msPerCost === undefined ? measured : this.#msPerCost + (smoothing * (measured - this.#msPerCost));
		// Until a backlog has been measured, all slots are taken to work as this one did.
		this.#rate ??= new DrainRate(this.#slots * cost / Math.max(1, runMs));
		this.#rate.record(cost, now, this.admission.waiting > 0);
		if (profile.idempotent) {
			this.sample = call;
		}
	}
}
