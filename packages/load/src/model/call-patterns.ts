/**
 * Load patterns of calls. Unless stated otherwise, the pool has 6 endpoints of 8 slots (48 slots, 240 calls per second), and
 * calls take 100–300 ms and have a deadline of 1 s.
 */
import {Random} from '@wasabiusher/shared';
import {
	createArrivals, createCall, drawEvenly, type Traffic,
} from './arrivals.js';
import type {Call, CallOutcome, CallRun} from './call.js';
import type {Figure} from './figure.js';
import {healthy, type Conditions, type PoolShape} from './pool.js';
import {
	countKind, findPartInTime, findPercentile, listTimes, listWaits, runCalls, sumWork,
} from './run-calls.js';

const pool: PoolShape = {endpoints: 6, slots: 8};
const slots = 48;
const meanMs = 200;
const deadlineMs = 1000;

/** Calls per second that use the pool fully. */
const capacity = slots * 1000 / meanMs;

const callers = Array.from({length: 10}, (_, i) => `caller-${i}`);

const steady: Traffic = {
	class: 'interactive', callers, rate: () => capacity * 0.6, drawWork: drawEvenly(meanMs), expectedMs: meanMs, deadlineMs,
};

type Pair = {real: CallRun; baseline: CallRun};

function runBoth(shape: PoolShape, arrivals: readonly Call[], seed: number): Pair {
	return {real: runCalls('real', shape, arrivals, seed), baseline: runCalls('baseline', shape, arrivals, seed)};
}

/** Computes the same measure of both runs. */
function measure({real, baseline}: Pair, take: (run: CallRun) => number): {real: number; baseline: number} {
	return {real: take(real), baseline: take(baseline)};
}

function sentBetween({outcomes}: CallRun, from: number, to: number): CallOutcome[] {
	return outcomes.filter(({call}) => call.at >= from && call.at < to);
}

/** Returns the lowest goodput of any 5 s window, as a fraction of the capacity. */
function findMinGoodput({outcomes}: CallRun, from: number, to: number): number {
	const windowMs = 5000;
	let least = Number.POSITIVE_INFINITY;
	for (let start = from; start + windowMs <= to; start += windowMs) {
		least = Math.min(least, sumWork(outcomes, start, start + windowMs) / (slots * windowMs));
	}

	return least;
}

/**
 * Returns the seconds after `from` until the run is back to normal. From then on, at least 99% of each second's calls are answered in time,
 * with a median time of at most 1.2 times `normalMs`.
 */
function findRecovery(run: CallRun, normalMs: number, from: number, to: number): number {
	let normalSince = from;
	for (let start = from; start < to; start += 1000) {
		const sent = sentBetween(run, start, start + 1000);
		if (findPartInTime(sent) < 0.99 || findPercentile(listTimes(sent), 0.5) > 1.2 * normalMs) {
			normalSince = start + 1000;
		}
	}

	return (normalSince - from) / 1000;
}

function runOverload(factor: number, seed: number): Figure[] {
	const pattern = `overload ${factor}x for 60 s`;
	const rate = (now: number) => capacity * (now >= 20_000 && now < 80_000 ? factor : 0.6);
	const pair = runBoth(pool, createArrivals([{...steady, rate}], 110_000, new Random(seed)), seed);
	const normal = measure(pair, run => findPercentile(listTimes(sentBetween(run, 5000, 20_000)), 0.5));
	const recovery = {real: findRecovery(pair.real, normal.real, 80_000, 110_000), baseline: findRecovery(pair.baseline, normal.baseline, 80_000, 110_000)};
	const mostWaiting = measure(pair, run => run.mostWaiting);
	return [
		{
			pattern, measure: 'least part of capacity answered in time, 5 s windows', ...measure(pair, run => findMinGoodput(run, 20_000, 80_000)), bar: {atLeast: 0.95},
		},
		{
			pattern, measure: 'seconds until normal after it', ...recovery, bar: {atMost: 5},
		},
		{
			pattern, measure: 'most calls waiting', ...mostWaiting, bar: {atMost: 1000},
		},
	];
}

function runBurst(seed: number): Figure[] {
	const pattern = 'burst of 1,000 onto 8 slots';
	const random = new Random(seed);
	const kind = {...steady, deadlineMs: 2000};
	const arrivals = Array.from({length: 1000}, (_, i) => createCall(kind, `${i}`, 1000, random));
	const pair = runBoth({endpoints: 1, slots: 8}, arrivals, seed);
	const refusals = pair.real.outcomes.filter(({kind: outcome}) => outcome === 'refused');
	const admitted = pair.real.outcomes.filter(({kind: outcome}) => outcome !== 'refused');
	return [
		{
			pattern, measure: 'longest time to a refusal, ms', real: Math.max(...refusals.map(({call, at}) => at - call.at)), bar: {atMost: 10},
		},
		{
			pattern, measure: 'part of the admitted that expired waiting', real: admitted.filter(({hasExpired}) => hasExpired).length / admitted.length, bar: {atMost: 0.01},
		},
		// 8 slots can answer 80 calls of 200 ms within the deadline of 2 s.
		{
			pattern, measure: 'answered in time, of 80 possible', ...measure(pair, run => countKind(run.outcomes, 'answered')), bar: {atLeast: 56},
		},
		{pattern, measure: 'p99 until told, ms', ...measure(pair, run => findPercentile(run.outcomes.map(({call, at}) => at - call.at), 0.99))},
	];
}

function runHotCaller(seed: number): Figure[] {
	const pattern = 'one caller at 20x its share';
	const others: Traffic = {...steady, callers: callers.slice(1), rate: () => capacity * 0.8 * 0.9};
	const hot: Traffic = {...steady, callers: callers.slice(0, 1), rate: () => capacity * 0.1 * 20};
	const without = runBoth(pool, createArrivals([others], 60_000, new Random(seed)), seed);
	const together = runBoth(pool, createArrivals([others, hot], 60_000, new Random(seed)), seed);
	const listOthers = ({outcomes}: CallRun) => outcomes.filter(({call}) => call.caller !== 'caller-0');
	const p99 = (run: CallRun) => findPercentile(listWaits(listOthers(run)), 0.99);
	return [
		{
			pattern, measure: 'others\' p99 over that without it', real: p99(together.real) / p99(without.real), baseline: p99(together.baseline) / p99(without.baseline), bar: {atMost: 1.5},
		},
		{
			pattern, measure: 'part of the others\' calls in time', ...measure(together, run => findPartInTime(listOthers(run))), bar: {atLeast: 0.99},
		},
	];
}

/** Applies the condition to the first endpoint from 20 s to 50 s; all else is healthy. */
function createUnhealthyPeriod(condition: ReturnType<Conditions>): Conditions {
	return (index, now) => index === 0 && now >= 20_000 && now < 50_000 ? condition : healthy;
}

function runUnhealthyEndpoint(pattern: string, condition: ReturnType<Conditions>, seed: number): Figure[] {
	const arrivals = createArrivals([steady], 70_000, new Random(seed));
	const pair = runBoth({...pool, conditions: createUnhealthyPeriod(condition)}, arrivals, seed);
	const normal = measure(pair, run => findPercentile(listWaits(sentBetween(run, 5000, 20_000)), 0.99));
	const ill = measure(pair, run => findPercentile(listWaits(sentBetween(run, 23_000, 50_000)), 0.99));
	const ejections = pair.real.ejections.filter(({endpoint}) => endpoint === 'endpoint-0');
	const backAt = ejections.length === 0 ? Number.POSITIVE_INFINITY : Math.max(...ejections.map(({to}) => to ?? Number.POSITIVE_INFINITY));
	return [
		{
			pattern, measure: 'p99 from 3 s after, over normal', real: ill.real / normal.real, baseline: ill.baseline / normal.baseline, bar: {atMost: 1.3},
		},
		{
			pattern, measure: 'part answered in time from 3 s after', ...measure(pair, run => findPartInTime(sentBetween(run, 23_000, 50_000))), bar: {atLeast: 0.99},
		},
		{
			pattern, measure: 'seconds until back in use', real: (backAt - 50_000) / 1000, bar: {atMost: 10},
		},
		{
			pattern, measure: 'healthy endpoints ejected', real: pair.real.ejections.length - ejections.length, bar: {atMost: 0},
		},
	];
}

/** Returns the work of a class that was answered in time from 10 s until `to`, in slot-milliseconds. */
function sumClassWork(run: CallRun, name: Call['class'], to: number): number {
	return sumWork(run.outcomes.filter(({call}) => call.class === name), 10_000, to);
}

function runMixed(pattern: string, urgent: Traffic, rest: Traffic, seed: number): {alone: Pair; both: Pair; part: {real: number; baseline: number}} {
	const untilMs = 120_000;
	const alone = runBoth(pool, createArrivals([urgent], untilMs, new Random(seed)), seed);
	const both = runBoth(pool, createArrivals([urgent, rest], untilMs, new Random(seed)), seed);
	const restAlone = runBoth(pool, createArrivals([rest], untilMs, new Random(seed)), seed);
	const part = measure(both, run => {
		const name = run === both.real ? 'real' : 'baseline';
		const used = sumClassWork(run, urgent.class, untilMs) / (slots * (untilMs - 10_000));
		return sumClassWork(run, rest.class, untilMs) / (sumClassWork(restAlone[name], rest.class, untilMs) * (1 - used));
	});
	return {alone, both, part};
}

/** Returns a generator of lognormal work, from about a twentieth of the mean to several times the mean, capped at ten times the mean. */
export function drawHeavyTailed(mean: number, sigma: number): (random: Random) => number {
	return random => {
		const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
		return Math.min(10 * mean, mean * Math.exp((sigma * normal) - ((sigma ** 2) / 2)));
	};
}

const longJobs: Traffic = {
	class: 'rollout', callers: ['trainer-a', 'trainer-b'], rate: () => slots * 1.2 / 5, drawWork: drawHeavyTailed(5000, 0.8), expectedMs: 5000, deadlineMs: 60_000,
};

function runLongAmongShort(seed: number): Figure[] {
	const pattern = 'long jobs among short';
	const short: Traffic = {
		...steady, rate: () => slots * 0.3 * 1000 / 100, drawWork: drawEvenly(100), expectedMs: 100,
	};
	const {alone, both, part} = runMixed(pattern, short, longJobs, seed);
	const p99 = ({outcomes}: CallRun) => findPercentile(listWaits(outcomes.filter(({call}) => call.class === 'interactive')), 0.99);
	return [
		{
			pattern, measure: 'short p99 over that alone', real: p99(both.real) / p99(alone.real), baseline: p99(both.baseline) / p99(alone.baseline), bar: {atMost: 2},
		},
		{
			pattern, measure: 'long throughput over that alone on what is left', ...part, bar: {atLeast: 0.9},
		},
	];
}

function runInteractiveOverRollouts(seed: number): Figure[] {
	const pattern = 'interactive over rollouts at full load';
	// The rate doubles for three of every ten seconds.
	const interactive: Traffic = {...steady, rate: now => capacity * (now % 10_000 < 3000 ? 0.3 : 0.15)};
	const {both, part} = runMixed(pattern, interactive, longJobs, seed);
	const inTime = ({outcomes}: CallRun) => findPartInTime(outcomes.filter(({call}) => call.class === 'interactive'));
	return [
		{
			pattern, measure: 'interactive calls in time', ...measure(both, inTime), bar: {atLeast: 0.99},
		},
		{
			pattern, measure: 'rollout throughput over that alone on what is left', ...part, bar: {atLeast: 0.9},
		},
	];
}

function runRetryStorm(seed: number): Figure[] {
	const pattern = 'retry storm: all endpoints fail for 10 s';
	const conditions: Conditions = (_, now) => now >= 20_000 && now < 30_000 ? {speed: 1, failureRate: 1} : healthy;
	const arrivals = createArrivals([{...steady, callers: Array.from({length: 30}, (_, i) => `caller-${i}`)}], 50_000, new Random(seed));
	const pair = runBoth({...pool, conditions}, arrivals, seed);
	const firstTries = arrivals.filter(({at}) => at >= 20_000 && at < 30_000).length;
	return [
		{
			pattern, measure: 'attempts over first tries while it lasts', ...measure(pair, ({attempts}) => attempts.filter(at => at >= 20_000 && at < 30_000).length / firstTries), bar: {atMost: 1.2},
		},
		{
			pattern, measure: 'part answered in time from 5 s after', ...measure(pair, run => findPartInTime(sentBetween(run, 35_000, 50_000))), bar: {atLeast: 0.99},
		},
	];
}

/** Patterns of calls, by name. */
export const callPatterns: Readonly<Record<string, (seed: number) => Figure[]>> = {
	'overload-2x': seed => runOverload(2, seed),
	'overload-5x': seed => runOverload(5, seed),
	burst: runBurst,
	'hot-caller': runHotCaller,
	'slow-endpoint': seed => runUnhealthyEndpoint('one endpoint of 6 ten times slower', {speed: 0.1, failureRate: 0}, seed),
	'failing-endpoint': seed => runUnhealthyEndpoint('one endpoint of 6 failing half its calls', {speed: 1, failureRate: 0.5}, seed),
	'long-among-short': runLongAmongShort,
	'interactive-over-rollouts': runInteractiveOverRollouts,
	'retry-storm': runRetryStorm,
};
