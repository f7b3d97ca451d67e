/**
 * The report on steps: what each waited for, how much of that was above the least possible, and what it adds up to by trainer.
 */
import {groupBy} from '@wasabiusher/shared';
import {measureSlots, type SlotUse} from './slot-use.js';
import {
	chainLinks, findBestPace, findChain, findLowerBound, type ChainLink, type StepChain,
} from './step-chain.js';
import type {StepHistories, StepHistory} from './step-history.js';

/** Interval of the slots' use, in milliseconds. */
const slotStepMs = 500;

/** One step as it is reported; times in milliseconds from `askedAt` on. */
export type ReportedStep = {
	trainer: string;
	step: number;
	batch: string;
	askedAt: number;
	owners: number;
	boundMs: number | undefined;
	wholeMs: number | undefined;
	endedMs: number | undefined;
	chain: StepChain | undefined;
};

/** Sums over the steps of one trainer. */
export type TrainerSum = {
	trainer: string;
	steps: number;
	/** Steps that never had the groups that were waited for. */
	unfinished: number;
	meanWholeMs: number;
	meanBoundMs: number;
	/** Time for which the trainer waited beyond the least possible, over all steps, in milliseconds. */
	lostMs: number;
	/** Mean of each link of the chains, in milliseconds. */
	links: ReadonlyMap<ChainLink, number>;
};

export type StepsReport = {
	from: number;
	to: number;
	bestPaceMs: number | undefined;
	steps: ReportedStep[];
	trainers: TrainerSum[];
	slots: SlotUse[];
	slotStepMs: number;
	loads: number;
};

/** Makes the report. */
export function reportSteps(histories: StepHistories): StepsReport {
	const known = histories.list();
	const bestPaceMs = findBestPace(known);
	const steps = known.map(step => reportStep(step, bestPaceMs)).toSorted((a, b) => a.trainer.localeCompare(b.trainer) || a.askedAt - b.askedAt);
	const times = [...known.map(({askedAt}) => askedAt), ...histories.runs.map(({to}) => to)];
	const {from, to} = findSpan(times);
	return {
		from,
		to,
		bestPaceMs,
		steps,
		trainers: [...groupBy(steps, ({trainer}) => trainer)].map(([trainer, own]) => sumTrainer(trainer, own)),
		slots: measureSlots(histories.runs, from, to, slotStepMs),
		slotStepMs,
		loads: histories.loads.length,
	};
}

function findSpan(times: readonly number[]): {from: number; to: number} {
	let [from = 0] = times;
	let to = from;
	for (const time of times) {
		from = Math.min(from, time);
		to = Math.max(to, time);
	}

	return {from, to};
}

function reportStep(step: StepHistory, bestPaceMs: number | undefined): ReportedStep {
	const chain = findChain(step);
	return {
		trainer: step.series,
		step: step.step,
		batch: step.batch,
		askedAt: step.askedAt,
		owners: step.owners,
		boundMs: bestPaceMs === undefined ? undefined : findLowerBound(step, bestPaceMs),
		wholeMs: chain?.wholeMs,
		endedMs: step.endedAt === undefined ? undefined : step.endedAt - step.askedAt,
		chain,
	};
}

function sumTrainer(trainer: string, steps: readonly ReportedStep[]): TrainerSum {
	const whole = steps.filter(({chain}) => chain !== undefined);
	const mean = (find: (step: ReportedStep) => number) => whole.length === 0 ? 0 : whole.reduce((sum, step) => sum + find(step), 0) / whole.length;
	return {
		trainer,
		steps: steps.length,
		unfinished: steps.length - whole.length,
		meanWholeMs: mean(({wholeMs}) => wholeMs ?? 0),
		meanBoundMs: mean(({boundMs}) => boundMs ?? 0),
		lostMs: whole.reduce((sum, {wholeMs, boundMs}) => sum + Math.max(0, (wholeMs ?? 0) - (boundMs ?? 0)), 0),
		links: new Map(chainLinks.map(link => [link, mean(({chain}) => chain!.links[link])])),
	};
}
