/**
 * Load pattern of one training step: 2,048 samples in groups of 8 with heavy-tailed lengths, on 6 engines of 32 slots. One engine
 * generates half as many tokens per second as the others.
 */
import {
	chooseSample, LengthPrediction, orderSamples, planCopies, type PendingSample,
} from '@wasabiusher/decisions';
import {Random} from '@wasabiusher/shared';
import {drawHeavyTailed} from './call-patterns.js';
import type {Figure} from './figure.js';

const groupCount = 256;
const groupSize = 8;
const slotsPerEngine = 32;
const maxTokens = 6000;
const meanTokens = 1000;

/** Tokens per millisecond of each slot, by engine. */
const speeds = [0.1, 0.1, 0.1, 0.1, 0.1, 0.05];

const tickMs = 200;

/** Interval at which the samples are reordered, in milliseconds. */
const reorderMs = 1000;

/** A sample and its length, which the policy doesn't know beforehand. */
type Sample = {group: number; index: number; tokens: number};

/** One run of a sample on a slot. */
type Attempt = {sample: Sample; engine: number; made: number; isCopy: boolean};

/** Draws the samples of a step. The lengths vary between prompts, and half as much between the samples of a prompt. */
function drawStep(random: Random): Sample[] {
	const drawGroup = drawHeavyTailed(meanTokens, 0.8);
	const drawSample = drawHeavyTailed(1, 0.4);
	return Array.from({length: groupCount}, (_, group) => {
		const mean = drawGroup(random);
		return Array.from({length: groupSize}, (__, index) => ({group, index, tokens: Math.min(maxTokens, Math.ceil(mean * drawSample(random)))}));
	}).flat();
}

/** Returns a lower bound of the time to complete a step in any order, in milliseconds. */
function findLowerBound(samples: readonly Sample[]): number {
	const work = samples.reduce((sum, {tokens}) => sum + tokens, 0);
	const capacity = speeds.reduce((sum, speed) => sum + (speed * slotsPerEngine), 0);
	return Math.max(work / capacity, Math.max(...samples.map(({tokens}) => tokens)) / Math.max(...speeds));
}

type StepRun = {wholeMs: number; madeTokens: number; copies: number};

/** Chooses the next sample to start and the running samples to copy near the end of a step. */
type StepPolicy = {
	/** Returns the next sample for an engine that has a free slot. */
	next(engine: number, left: Map<string, Sample>): Sample | undefined;
	finish(sample: Sample): void;
	progress(attempts: readonly Attempt[]): void;
	copy(attempts: readonly Attempt[], idle: readonly number[], startedFraction: number): Array<{attempt: Attempt; engine: number}>;
};

function formatKey({group, index}: Pick<Sample, 'group' | 'index'>): string {
	return `${group}/${index}`;
}

/** Orders and copies samples by the real decisions. */
class RealOrder implements StepPolicy {
	readonly #prediction: LengthPrediction;
	#order: PendingSample[] = [];
	#needsReorder = true;
	#ticksSince = 0;
	#timeLeftMs = 0;

	constructor(prediction: LengthPrediction) {
		this.#prediction = prediction;
	}

	next(engine: number, left: Map<string, Sample>): Sample | undefined {
		if (this.#needsReorder) {
			this.#reorder(left);
		}

		const ordered = this.#order.filter(sample => left.has(formatKey(sample)));
		this.#order = ordered;
		// The fastest engines start the longest samples first; the others start samples that they can finish in time.
		const chosen = speeds[engine] === Math.max(...speeds) ? ordered[0] : chooseSample(ordered, speeds[engine]!, this.#timeLeftMs);
		return chosen && left.get(formatKey(chosen));
	}

	finish({group, tokens}: Sample): void {
		this.#prediction.record('step', `${group}`, tokens);
	}

	progress(attempts: readonly Attempt[]): void {
		for (const {sample, made} of attempts) {
			this.#prediction.recordProgress('step', `${sample.group}`, made);
		}

		this.#ticksSince += 1;
		this.#needsReorder = this.#ticksSince * tickMs >= reorderMs;
	}

	copy(attempts: readonly Attempt[], idle: readonly number[], startedFraction: number) {
		const running = new Map(attempts.map(attempt => [formatKey(attempt.sample), attempt]));
		const copied = new Set(attempts.filter(({isCopy}) => isCopy).map(({sample}) => formatKey(sample)));
		const capacity = speeds.reduce((sum, speed) => sum + (speed * slotsPerEngine), 0);
		const remaining = [...running].map(([id, {sample, made}]) => ({id, tokens: this.#prediction.predictRemaining('step', `${sample.group}`, made, maxTokens)}));
		const stepLeftMs = this.#timeLeftMs + (remaining.reduce((sum, {tokens}) => sum + tokens, 0) / capacity);
		const stragglers = remaining.map(({id, tokens}) => {
			const {engine, made} = running.get(id)!;
			return {
				id, endpoint: `${engine}`, remainingTokens: tokens, madeTokens: made, speed: speeds[engine]!, hasCopy: copied.has(id), stepLeftMs,
			};
		});
		const places = idle.map((slots, engine) => ({id: `${engine}`, slots, speed: speeds[engine]!}));
		return planCopies(stragglers, places, startedFraction, true).map(({sample, to}) => ({attempt: running.get(sample)!, engine: Number(to)}));
	}

	#reorder(left: Map<string, Sample>): void {
		this.#needsReorder = false;
		this.#ticksSince = 0;
		this.#order = orderSamples([...left.values()].map(({group, index}) => ({
			group, index, predictedTokens: this.#prediction.predict('step', `${group}`, maxTokens), isUnknown: !this.#prediction.hasFinishedSample('step', `${group}`),
		})));
		const leftTokens = this.#order.reduce((sum, {predictedTokens}) => sum + predictedTokens, 0);
		this.#timeLeftMs = leftTokens / speeds.reduce((sum, speed) => sum + (speed * slotsPerEngine), 0);
	}
}

/** Assigns each sample to a random engine in advance; each engine runs its samples first come, first served. */
class BaselineOrder implements StepPolicy {
	readonly #queues: Sample[][];

	constructor(samples: readonly Sample[], random: Random) {
		this.#queues = speeds.map(() => []);
		for (const sample of samples) {
			random.pick(this.#queues).push(sample);
		}
	}

	next(engine: number): Sample | undefined {
		return this.#queues[engine]!.shift();
	}

	finish(): void {
		// The baseline makes no predictions.
	}

	progress(): void {
		// The baseline makes no predictions.
	}

	copy(): never[] {
		return [];
	}
}

function runStep(samples: readonly Sample[], policy: StepPolicy): StepRun {
	const left = new Map(samples.map(sample => [formatKey(sample), sample]));
	const run: StepRun = {wholeMs: 0, madeTokens: 0, copies: 0};
	let attempts: Attempt[] = [];
	let finished = 0;
	while (finished < samples.length) {
		const startedFraction = 1 - (left.size / samples.length);
		for (const {attempt, engine} of policy.copy(attempts, listIdle(attempts), startedFraction)) {
			run.copies += 1;
			attempts.push({...attempt, engine, isCopy: true});
		}

		start(attempts, left, policy);

		run.wholeMs += tickMs;
		for (const attempt of attempts) {
			attempt.made += speeds[attempt.engine]! * tickMs;
			run.madeTokens += speeds[attempt.engine]! * tickMs;
		}

		const whole = new Set(attempts.filter(({made, sample}) => made >= sample.tokens).map(({sample}) => sample));
		attempts = attempts.filter(({sample}) => !whole.has(sample));
		policy.progress(attempts);
		finished += whole.size;
		for (const sample of whole) {
			policy.finish(sample);
		}
	}

	return run;
}

function listIdle(attempts: readonly Attempt[]): number[] {
	const idle = speeds.map(() => slotsPerEngine);
	for (const {engine} of attempts) {
		idle[engine]! -= 1;
	}

	return idle;
}

function start(attempts: Attempt[], left: Map<string, Sample>, policy: StepPolicy): void {
	const idle = listIdle(attempts);
	// Fills the engines slot by slot, the fastest engines first, so that long samples are spread over them.
	for (let slot = 0; slot < slotsPerEngine; slot++) {
		for (const [engine, free] of idle.entries()) {
			const sample = slot < free ? policy.next(engine, left) : undefined;
			if (sample) {
				left.delete(formatKey(sample));
				attempts.push({
					sample, engine, made: 0, isCopy: false,
				});
			}
		}
	}
}

/** Training time per step, in milliseconds; the trainer is idle while it waits for samples. */
const trainMs = 60_000;

function runStepPattern(seed: number): Figure[] {
	const pattern = 'step of 2,048 in groups of 8';
	const samples = drawStep(new Random(seed));
	const bound = findLowerBound(samples);
	const prediction = new LengthPrediction();
	const first = runStep(samples, new RealOrder(prediction));
	// A later step repeats the same prompts; its samples are drawn again around the mean lengths of the first step.
	const again = drawAgain(samples, new Random(seed + 1000));
	const later = runStep(again, new RealOrder(prediction));
	const laterBound = findLowerBound(again);
	const baseline = runStep(samples, new BaselineOrder(samples, new Random(seed)));
	const laterBaseline = runStep(again, new BaselineOrder(again, new Random(seed)));
	const findIdle = ({wholeMs}: StepRun) => wholeMs / (wholeMs + trainMs);
	return [
		{
			pattern, measure: 'time over the lower bound, prompts not seen before', real: first.wholeMs / bound, baseline: baseline.wholeMs / bound, bar: {atMost: 1.15},
		},
		{
			pattern, measure: 'time over the lower bound, prompts seen once before', real: later.wholeMs / laterBound, baseline: laterBaseline.wholeMs / laterBound, bar: {atMost: 1.15},
		},
		{
			pattern, measure: 'trainer idle, of a cycle with 60 s of training', real: findIdle(first), baseline: findIdle(baseline),
		},
		{
			pattern, measure: 'seconds until the step is whole', real: first.wholeMs / 1000, baseline: baseline.wholeMs / 1000, bar: {atMost: 180},
		},
		{
			pattern, measure: 'tokens made over those needed', real: first.madeTokens / samples.reduce((sum, {tokens}) => sum + tokens, 0), baseline: 1,
		},
	];
}

function drawAgain(samples: readonly Sample[], random: Random): Sample[] {
	const drawSample = drawHeavyTailed(1, 0.4);
	const sums = new Map<number, number>();
	for (const {group, tokens} of samples) {
		sums.set(group, (sums.get(group) ?? 0) + (tokens / groupSize));
	}

	return samples.map(sample => ({...sample, tokens: Math.min(maxTokens, Math.ceil(sums.get(sample.group)! * drawSample(random)))}));
}

/** Patterns of one training step, by name. */
export const stepPatterns: Readonly<Record<string, (seed: number) => Figure[]>> = {step: runStepPattern};
