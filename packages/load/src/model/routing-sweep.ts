/**
 * Compares values of the routing constants: 8 entries that don't communicate, 64 endpoints of 8 slots whose load reports are
 * delayed by 500 ms, and 85% load of calls of 100–300 ms. A quarter of the calls arrive in groups of eight that share a long prompt.
 */
import {
	chooseEndpoint, LoadEstimator, PrefixIndex, type Candidate,
} from '@wasabiusher/decisions';
import {Random} from '@wasabiusher/shared';
import {createArrivals, drawEvenly} from './arrivals.js';
import {tickMs, type Call} from './call.js';
import type {Figure} from './figure.js';
import {createPool, type ModelEndpoint} from './pool.js';
import {findPercentile} from './run-calls.js';

const entryCount = 8;
const endpointCount = 64;
const slots = 8;
const meanMs = 200;
const untilMs = 20_000;
const load = 0.85;
const reportEveryMs = 200;
const reportLagMs = 500;

/** Number of calls in a group; all have the same prompt. */
const groupSize = 8;

/** One of this many consecutive blocks of `groupSize` calls shares a prompt; the calls of the others have prompts of their own. */
const groupEvery = 4;

/** Cost of computing a group's prompt without a cache hit, in slot-milliseconds. */
const promptMs = 100;

export type RoutingVariant = {choices: number; hasAffinity: boolean; isCorrected: boolean};

type Entry = {loads: LoadEstimator[]; prefixes: PrefixIndex};

type RoutingRun = {p99Ms: number; computed: number};

/** Returns the name of the prompt that a call shares with its group, or undefined for a call without a group. */
function findPrompt(index: number): string | undefined {
	const group = Math.floor(index / groupSize);
	return group % groupEvery === 0 ? `group-${group}` : undefined;
}

/** Runs one variant. Returns the p99 time to an answer and the fraction of grouped calls whose prompt was not cached at the endpoint. */
export function runRouting(variant: RoutingVariant, seed: number): RoutingRun {
	const random = new Random(seed);
	const endpoints = createPool({endpoints: endpointCount, slots}, random);
	const entries = Array.from({length: entryCount}, (): Entry => ({loads: endpoints.map(() => new LoadEstimator()), prefixes: new PrefixIndex()}));
	const arrivals = createArrivals([{
		class: 'interactive', callers: ['caller'], rate: () => load * endpointCount * slots * 1000 / meanMs, drawWork: drawEvenly(meanMs), expectedMs: meanMs, deadlineMs: untilMs,
	}], untilMs, random);
	const reports: Report[] = [];
	const cached = new Set<string>();
	const times: number[] = [];
	let computed = 0;
	let grouped = 0;
	let next = 0;
	for (let now = 0; times.length < arrivals.length; now += tickMs) {
		report(endpoints, entries, reports, {now, isCorrected: variant.isCorrected});
		for (; next < arrivals.length && arrivals[next]!.at <= now; next++) {
			const prompt = findPrompt(next);
			// All calls of a group go through the entry that their trainer is connected to.
			const entry = entries[(prompt === undefined ? next : Math.floor(next / groupSize)) % entryCount]!;
			const index = choose(entry, endpoints, {
				variant, prompt, random, now,
			});
			const isComputed = prompt !== undefined && !cached.has(`${index}/${prompt}`);
			grouped += prompt === undefined ? 0 : 1;
			computed += isComputed ? 1 : 0;
			cached.add(`${index}/${prompt}`);
			const call = arrivals[next]!;
			send(endpoints[index]!, entry.loads[index]!, {...call, workMs: call.workMs + (isComputed ? promptMs : 0)}, {now, times});
		}

		for (const endpoint of endpoints) {
			endpoint.tick(now);
		}
	}

	return {p99Ms: findPercentile(times, 0.99), computed: computed / grouped};
}

function choose({loads, prefixes}: Entry, endpoints: readonly ModelEndpoint[], {variant, prompt, random, now}: {variant: RoutingVariant; prompt?: string; random: Random; now: number}): number {
	const blocks = prompt === undefined ? [] : [prompt];
	const candidates = endpoints.map(({id}, index): Candidate => ({
		id,
		load: variant.isCorrected ? loads[index]!.estimate(now, meanMs) : loads[index]!.load,
		limit: slots,
		serviceMs: meanMs,
		// The prompt is only a part of a call's work, so a full match counts as that part.
		cached: variant.hasAffinity ? prefixes.match(id, blocks) * promptMs / (promptMs + meanMs) : 0,
	}));
	const {id} = chooseEndpoint(candidates, random, {choices: variant.choices})!;
	prefixes.recordSent(id, blocks, 0);
	return candidates.findIndex(candidate => candidate.id === id);
}

/** Sends a call, counts it in the entry's load estimate and records its duration once it is answered. */
function send(endpoint: ModelEndpoint, load: LoadEstimator, call: Call, {now, times}: {now: number; times: number[]}): void {
	load.recordSent(now);
	endpoint.start(call, now, (_, at) => {
		load.recordEnded(at);
		times.push(at - call.at);
	});
}

/** Loads of all endpoints as measured at one time. */
type Report = {measuredAt: number; loads: number[]};

/** Measures the loads and delivers to the entries the reports that are at least `reportLagMs` old. */
function report(endpoints: readonly ModelEndpoint[], entries: readonly Entry[], reports: Report[], {now, isCorrected}: {now: number; isCorrected: boolean}): void {
	if (now % reportEveryMs !== 0) {
		return;
	}

	reports.push({measuredAt: now, loads: endpoints.map(({load: held}) => held)});
	while (reports[0] && reports[0].measuredAt <= now - reportLagMs) {
		const {measuredAt, loads} = reports.shift()!;
		for (const entry of entries) {
			for (const [index, held] of loads.entries()) {
				// Without the correction, the entry treats the reported load as the current one.
				entry.loads[index]!.receive({load: held, measuredAt: isCorrected ? measuredAt : now});
			}
		}
	}
}

const comparedChoices = [1, 2, 3, 4, 8, 64] as const;

/** Returns the figures of the sweep; they have no bounds, as they are the basis for choosing the constants in `routing.ts`. */
export function runRoutingSweep(seed: number): Figure[] {
	const pattern = 'routing by 8 entries to 64 endpoints';
	const figures = comparedChoices.flatMap(choices => {
		const {p99Ms, computed} = runRouting({choices, hasAffinity: true, isCorrected: true}, seed);
		const blind = runRouting({choices, hasAffinity: false, isCorrected: false}, seed);
		return [
			{
				pattern, measure: `${choices} compared: p99 ms (baseline: no affinity, reports as they come)`, real: p99Ms, baseline: blind.p99Ms,
			},
			{
				pattern, measure: `${choices} compared: part of grouped prompts computed`, real: computed, baseline: blind.computed,
			},
		];
	});
	return figures;
}
