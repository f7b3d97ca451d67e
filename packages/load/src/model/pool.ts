/**
 * Simulated endpoints: each has a number of slots, each of which processes one call at the endpoint's speed.
 */
import type {Random} from '@wasabiusher/shared';
import {tickMs, type Call} from './call.js';

/** Health of an endpoint at a time. */
export type Condition = {
	/** Work done per millisecond on each slot, in milliseconds; 1 is healthy. */
	speed: number;
	/** Fraction of the calls that fail soon after they start. */
	failureRate: number;
};

/** Returns the condition of an endpoint by its index and the time in milliseconds. */
export type Conditions = (index: number, now: number) => Condition;

export const healthy: Condition = {speed: 1, failureRate: 0};

/** A call that runs or waits at an endpoint. */
export type Execution = {
	call: Call;
	startedAt: number;
	leftMs: number;
	willFail: boolean;
	onEnd(hasFailed: boolean, now: number): void;
};

/** Time after which a failing call fails, in milliseconds; shorter than the usual time to an answer. */
const failureMs = 20;

/** A simulated endpoint with its own unbounded queue for calls beyond its slots. */
export class ModelEndpoint {
	readonly id: string;
	readonly slots: number;
	readonly #index: number;
	readonly #conditions: Conditions;
	readonly #random: Random;
	#running: Execution[] = [];
	readonly #waiting: Execution[] = [];

	constructor(index: number, slots: number, conditions: Conditions, random: Random) {
		this.id = `endpoint-${index}`;
		this.slots = slots;
		this.#index = index;
		this.#conditions = conditions;
		this.#random = random;
	}

	/** Number of calls that run or wait at the endpoint. */
	get load(): number {
		return this.#running.length + this.#waiting.length;
	}

	get running(): readonly Execution[] {
		return this.#running;
	}

	start(call: Call, now: number, onEnd: Execution['onEnd']): Execution {
		const {failureRate} = this.#conditions(this.#index, now);
		const willFail = this.#random.next() < failureRate;
		const execution = {
			call, startedAt: now, leftMs: willFail ? failureMs : call.workMs, willFail, onEnd,
		};
		this.#waiting.push(execution);
		this.#fill();
		return execution;
	}

	/** Cancels a call and frees its slot immediately. */
	cancel(execution: Execution): void {
		this.#running = this.#running.filter(other => other !== execution);
		const index = this.#waiting.indexOf(execution);
		if (index !== -1) {
			this.#waiting.splice(index, 1);
		}

		this.#fill();
	}

	tick(now: number): void {
		const {speed} = this.#conditions(this.#index, now);
		const ended: Execution[] = [];
		for (const execution of this.#running) {
			execution.leftMs -= tickMs * (execution.willFail ? 1 : speed);
			if (execution.leftMs <= 0) {
				ended.push(execution);
			}
		}

		this.#running = this.#running.filter(({leftMs}) => leftMs > 0);
		this.#fill();
		for (const execution of ended) {
			execution.onEnd(execution.willFail, now);
		}
	}

	#fill(): void {
		while (this.#running.length < this.slots && this.#waiting.length > 0) {
			this.#running.push(this.#waiting.shift()!);
		}
	}
}

/** Size of a pool and the conditions of its endpoints. */
export type PoolShape = {endpoints: number; slots: number; conditions?: Conditions};

export function createPool({endpoints, slots, conditions = () => healthy}: PoolShape, random: Random): ModelEndpoint[] {
	return Array.from({length: endpoints}, (_, index) => new ModelEndpoint(index, slots, conditions, random));
}
