/**
 * Reports on steps: what each one waited for, how far its time exceeds the lower bound, and the totals by trainer.
 */
import {groupBy} from '@wasabiusher/shared';
import {measureSlots, type SlotUse} from './slot-use.js';
import {
	chainLinks, findBestPace, findChain, findLowerBound, type ChainLink, type StepChain,
} from './step-chain.js';
import type {StepHistories, StepHistory} from './step-history.js';

/** Interval over which slot use is averaged, in milliseconds. */
const slotStepMs = 500;

/** One step of the report. `askedAt` is in milliseconds since the epoch; the other times are in milliseconds from `askedAt`. */
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

/** Totals and means over the steps of one trainer. */
export type TrainerSummary = {
	trainer: string;
	steps: number;
	/** Steps that never had as many complete groups as the trainer waited for. */
	unfinished: number;
	meanWholeMs: number;
	meanBoundMs: number;
	/** Time that the trainer waited beyond the lower bounds, summed over all steps, in milliseconds. */
	lostMs: number;
	/** Mean of each link of the chains, in milliseconds. */
	links: ReadonlyMap<ChainLink, number>;
};

export type StepsReport = {
	from: number;
	to: number;
	bestPaceMs: number | undefined;
	steps: ReportedStep[];
	trainers: TrainerSummary[];
	slots: SlotUse[];
	slotStepMs: number;
	loads: number;
};

/** Builds the report. */
export function reportSteps(histories: StepHistories): StepsReport {
	const stepHistories = histories.list();
	const bestPaceMs = findBestPace(stepHistories);
	const steps = stepHistories.map(step => reportStep(step, bestPaceMs)).toSorted((a, b) => a.trainer.localeCompare(b.trainer) || a.askedAt - b.askedAt);
	const times = [...stepHistories.map(({askedAt}) => askedAt), ...histories.runs.map(({to}) => to)];
	const {from, to} = findSpan(times);
	return {
		from,
		to,
		bestPaceMs,
		steps,
		trainers: [...groupBy(steps, ({trainer}) => trainer)].map(([trainer, trainerSteps]) => summarizeTrainer(trainer, trainerSteps)),
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

function summarizeTrainer(trainer: string, steps: readonly ReportedStep[]): TrainerSummary {
	const completeSteps = steps.filter(({chain}) => chain !== undefined);
	const mean = (find: (step: ReportedStep) => number) => completeSteps.length === 0 ? 0 : completeSteps.reduce((sum, step) => sum + find(step), 0) / completeSteps.length;
	return {
		trainer,
		steps: steps.length,
		unfinished: steps.length - completeSteps.length,
		meanWholeMs: mean(({wholeMs}) => wholeMs ?? 0),
		meanBoundMs: mean(({boundMs}) => boundMs ?? 0),
		lostMs: completeSteps.reduce((sum, {wholeMs, boundMs}) => sum + Math.max(0, (wholeMs ?? 0) - (boundMs ?? 0)), 0),
		links: new Map(chainLinks.map(link => [link, mean(({chain}) => chain!.links[link])])),
	};
}
