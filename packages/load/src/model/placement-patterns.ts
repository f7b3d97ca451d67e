/**
 * Placement of two models on 6 engines. The models' shares of the demand swap every 10 minutes; changing the model of an engine takes 15 s.
 */
import {DemandHistory, planPlacement, type PlacedEndpoint} from '@wasabiusher/decisions';
import {Random} from '@wasabiusher/shared';
import type {Figure} from './figure.js';

const engineCount = 6;
const swapEveryMs = 600_000;
const swaps = 5;
const changeMs = 15_000;
const tickMs = 1000;

/** Demand of the two models, in engines; together 90% of the capacity. */
const shares = [3.6, 1.8] as const;

/** Upper limit of a model's backlog, in seconds of one engine's work; callers beyond it give up. */
const maxBacklog = 5;

const names = ['range-reports', 'closures'] as const;

type PlacementRun = {changes: number; met: number};

function drawDemand(now: number, random: Random): number[] {
	const isSwapped = Math.floor(now / swapEveryMs) % 2 === 1;
	const noise = () => 0.8 + (0.4 * random.next());
	return (isSwapped ? [shares[1], shares[0]] : [...shares]).map(share => share * noise());
}

function runPlacement(doesChange: boolean, seed: number): PlacementRun {
	const random = new Random(seed);
	const history = new DemandHistory();
	const backlog = [0, 0];
	const initial = [0, 0, 0, 0, 1, 1].slice(0, engineCount);
	let holders: PlacedEndpoint[] = initial.map((model, i) => ({id: `engine-${i}`, holds: names[model]!, changedAt: Number.NEGATIVE_INFINITY}));
	let changes = 0;
	let served = 0;
	let asked = 0;
	for (let now = 0; now < (swaps + 1) * swapEveryMs; now += tickMs) {
		holders = holders.map(holder => ({...holder, isChanging: now - holder.changedAt < changeMs}));
		const isCounted = now >= swapEveryMs && now % swapEveryMs >= 60_000;
		for (const [model, demand] of drawDemand(now, random).entries()) {
			const able = holders.filter(({holds, isChanging}) => holds === names[model] && !isChanging).length;
			const wanted = backlog[model]! + demand;
			const done = Math.min(able, wanted);
			backlog[model] = Math.min(maxBacklog, wanted - done);
			history.record({name: names[model]!, total: demand + (backlog[model] / 10), interactive: demand * 0.2}, now);
			served += isCounted ? Math.min(done, demand) : 0;
			asked += isCounted ? demand : 0;
		}

		const plan = doesChange ? planPlacement(holders, history.list(), {costMs: () => changeMs}, now) : [];
		changes += plan.length;
		for (const {id, to} of plan) {
			holders = holders.map(holder => holder.id === id
				? {
					...holder, holds: to, changedAt: now, isChanging: true,
				}
				: holder);
		}
	}

	return {changes, met: served / asked};
}

function runSwaps(seed: number): Figure[] {
	const pattern = 'two models\' demand swaps every 10 min';
	const real = runPlacement(true, seed);
	const baseline = runPlacement(false, seed);
	return [
		{
			pattern, measure: 'changes of model an engine a swap', real: real.changes / swaps / engineCount, baseline: 0, bar: {atMost: 1},
		},
		{
			pattern, measure: 'part of the demand met from 60 s after', real: real.met, baseline: baseline.met, bar: {atLeast: 0.9},
		},
	];
}

/** Placement patterns, by name. */
export const placementPatterns: Readonly<Record<string, (seed: number) => Figure[]>> = {placement: runSwaps};
