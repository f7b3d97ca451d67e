/**
 * Runs the tick loop of the call patterns and computes measures of the callers' outcomes.
 */
import {Random} from '@wasabiusher/shared';
import {BaselinePolicy} from './baseline-policy.js';
import {
	tickMs, type Call, type CallOutcome, type CallRun,
} from './call.js';
import {createPool, type PoolShape} from './pool.js';
import {RealPolicy} from './real-policy.js';

const policies = {real: RealPolicy, baseline: BaselinePolicy} as const;

export type PolicyName = keyof typeof policies;

/** Upper limit of a run's duration after the last arrival, in milliseconds. */
const maxTailMs = 300_000;

/** Runs a policy on the arrivals until each call has an outcome or `maxTailMs` has passed since the last arrival. */
export function runCalls(name: PolicyName, shape: PoolShape, arrivals: readonly Call[], seed: number): CallRun {
	const random = new Random(seed);
	const policy = new policies[name](createPool(shape, random), random);
	let next = 0;
	const lastAt = arrivals.at(-1)?.at ?? 0;
	for (let now = 0; now < lastAt + maxTailMs && (next < arrivals.length || policy.open > 0); now += tickMs) {
		for (; next < arrivals.length && arrivals[next]!.at <= now; next++) {
			policy.arrive(arrivals[next]!, now);
		}

		policy.tick(now);
	}

	return policy.run;
}

/** Returns the percentile of the values for a fraction from 0 to 1, or 0 if there are no values. */
export function findPercentile(values: readonly number[], part: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;
}

/** Returns the times from sending to answer of the calls answered in time, in milliseconds. */
export function listTimes(outcomes: readonly CallOutcome[]): number[] {
	return outcomes.filter(({kind}) => kind === 'answered').map(({call, at}) => at - call.at);
}

/** Returns the times until the caller was notified or gave up, in milliseconds, of all calls that were not refused. */
export function listWaits(outcomes: readonly CallOutcome[]): number[] {
	return outcomes.filter(({kind}) => kind !== 'refused').map(({call, at}) => at - call.at);
}

export function countKind(outcomes: readonly CallOutcome[], kind: CallOutcome['kind']): number {
	return outcomes.filter(outcome => outcome.kind === kind).length;
}

/** Returns the fraction of the outcomes that were answered in time; 1 if there are none. */
export function findPartInTime(outcomes: readonly CallOutcome[]): number {
	return outcomes.length === 0 ? 1 : countKind(outcomes, 'answered') / outcomes.length;
}

/** Returns the work of the calls answered in time within [from, to), in slot-milliseconds. */
export function sumWork(outcomes: readonly CallOutcome[], from: number, to: number): number {
	return outcomes
		.filter(({kind, at}) => kind === 'answered' && at >= from && at < to)
		.reduce((sum, {call}) => sum + call.workMs, 0);
}
