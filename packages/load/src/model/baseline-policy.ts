/**
 * The baseline policy: first come, first served; random routing; an unbounded queue at each endpoint; and up to three tries
 * of each call without delay. No deadline is propagated, so a call continues to run after its caller has given up.
 */
import type {Random} from '@wasabiusher/shared';
import type {Call, CallPolicy, CallRun} from './call.js';
import type {ModelEndpoint} from './pool.js';

/** Tries per call; a number that is usual in clients. */
const maxTries = 3;

export class BaselinePolicy implements CallPolicy {
	readonly run: CallRun = {
		outcomes: [], attempts: [], mostWaiting: 0, ejections: [],
	};

	readonly #endpoints: readonly ModelEndpoint[];
	readonly #random: Random;
	#open = 0;

	constructor(endpoints: readonly ModelEndpoint[], random: Random) {
		this.#endpoints = endpoints;
		this.#random = random;
	}

	get open(): number {
		return this.#open;
	}

	arrive(call: Call, now: number): void {
		this.#open += 1;
		this.#try(call, 1, now);
	}

	tick(now: number): void {
		for (const endpoint of this.#endpoints) {
			endpoint.tick(now);
		}

		const waiting = this.#endpoints.reduce((sum, {load, running}) => sum + load - running.length, 0);
		this.run.mostWaiting = Math.max(this.run.mostWaiting, waiting);
	}

	#try(call: Call, tries: number, now: number): void {
		this.run.attempts.push(now);
		this.#random.pick(this.#endpoints).start(call, now, (hasFailed, at) => {
			if (hasFailed && tries < maxTries) {
				this.#try(call, tries + 1, at);
				return;
			}

			const kind = at <= call.deadlineAt ? 'answered' : 'late';
			this.run.outcomes.push({call, kind: hasFailed ? 'failed' : kind, at: Math.min(at, call.deadlineAt)});
			this.#open -= 1;
		});
	}
}
