/**
 * Load pattern of a trainer that publishes new weights after each step, on 6 engines of 32 slots. A step has 1,024 samples with
 * a mean of 1,000 tokens and 90 s of training. An engine fetches new weights in 3 s and swaps to them in 1 s; one swap in fifty fails.
 */
import {
	failReplica, isStale, decideDispatch, planWave, shouldCancel, type WeightReplica, type WaveLimits,
} from '@wasabiusher/decisions';
import {Random} from '@wasabiusher/shared';
import {drawHeavyTailed} from './call-patterns.js';
import type {Figure} from './figure.js';

const engineCount = 6;
const slotsPerEngine = 32;
const samplesPerStep = 1024;
const meanTokens = 1000;
const speed = 0.1;
const trainMs = 90_000;
const fetchMs = 3000;
const swapMs = 1000;
const swapFailureRate = 0.02;
const steps = 10;
const tickMs = 200;

/** Number of steps that the trainer posts ahead; without a staleness bound, samples of all of them are generated. */
const postedAhead = 4;

/** Number of initial steps excluded from the figures, until the first weights have been rolled out. */
const warmUpSteps = 2;

const limits: WaveLimits = {storeStreams: 2, peerStreams: 1, interactiveEndpoints: 2};

type Sample = {step: number; oldestVersion: number; tokens: number; made: number};

type Engine = {replica: WeightReplica; version: number; target: number; endsAt: number; running: Sample[]};

type WeightRun = {idle: number; lag: number; stale: number; thrown: number; rolloutMs: number};

/** A simulated trainer and its engines. */
class Trainer {
	readonly #versions: number | undefined;
	readonly #random: Random;
	readonly #engines: Engine[];
	readonly #drawTokens = drawHeavyTailed(meanTokens, 0.8);
	readonly #pending = new Map<number, number>();
	readonly #whole = new Map<number, Sample[]>();
	#version = 0;
	#trainingEndsAt: number | undefined;
	#publishedAt = 0;
	#idleMs = 0;
	#countedMs = 0;
	#lagSum = 0;
	#deliveredSamples = 0;
	#stale = 0;
	#discardedTokens = 0;
	#madeTokens = 0;
	#rolloutMs = 0;

	/** @param versions - staleness bound in versions; undefined for the baseline, which starts and delivers all samples regardless of staleness */
	constructor(versions: number | undefined, seed: number) {
		this.#versions = versions;
		this.#random = new Random(seed);
		this.#engines = Array.from({length: engineCount}, (_, i) => ({
			replica: {id: `engine-${i}`, state: 'current', failures: 0}, version: 0, target: 0, endsAt: 0, running: [],
		}));
	}

	run(): WeightRun {
		for (let now = 0; this.#version < steps; now += tickMs) {
			this.#rollOut(now);
			this.#startSamples(now);
			this.#generate();
			this.#train(now);
		}

		return {
			idle: this.#idleMs / this.#countedMs,
			lag: this.#lagSum / this.#deliveredSamples,
			stale: this.#stale / this.#deliveredSamples,
			thrown: this.#discardedTokens / this.#madeTokens,
			rolloutMs: this.#rolloutMs,
		};
	}

	/** Trains once a step is complete, and publishes the resulting weights as the next version. */
	#train(now: number): void {
		if (this.#version >= warmUpSteps) {
			this.#countedMs += tickMs;
			this.#idleMs += this.#trainingEndsAt === undefined ? tickMs : 0;
		}

		if (this.#trainingEndsAt === undefined) {
			this.#deliver(now);
		} else if (now >= this.#trainingEndsAt) {
			this.#publish(now);
		}
	}

	/** Delivers a complete step to the trainer, after a final staleness check by the weights that generated each sample. */
	#deliver(now: number): void {
		const whole = this.#whole.get(this.#version) ?? [];
		const fresh = whole.filter(sample => !this.#isStale(sample, now));
		for (const {made} of whole.filter(sample => !fresh.includes(sample))) {
			this.#discardedTokens += made;
		}

		this.#whole.set(this.#version, fresh);
		if (fresh.length >= samplesPerStep) {
			for (const {oldestVersion} of fresh) {
				this.#lagSum += this.#version - oldestVersion;
				this.#stale += this.#version - oldestVersion > (this.#versions ?? 1) ? 1 : 0;
				this.#deliveredSamples += 1;
			}

			this.#whole.delete(this.#version);
			this.#trainingEndsAt = now + trainMs;
		}
	}

	#isStale({oldestVersion}: Sample, now: number): boolean {
		return this.#versions !== undefined && isStale({versions: this.#versions}, {oldestVersion}, this.#version, now);
	}

	#publish(now: number): void {
		this.#trainingEndsAt = undefined;
		this.#version += 1;
		this.#publishedAt = now;
		for (const engine of this.#engines) {
			engine.replica = {id: engine.replica.id, state: 'old', failures: 0};
			engine.target = this.#version;
		}
	}

	#rollOut(now: number): void {
		for (const engine of this.#engines.filter(({endsAt, replica}) => endsAt <= now && (replica.state === 'fetching' || replica.state === 'swapping'))) {
			this.#advance(engine, now);
		}

		const plan = planWave(this.#engines.map(({replica}) => replica), limits, now);
		for (const {id, source} of plan.fetches) {
			const engine = this.#findEngine(id);
			engine.replica = {...engine.replica, state: 'fetching', source};
			engine.endsAt = now + fetchMs;
		}

		for (const id of plan.swaps) {
			const engine = this.#findEngine(id);
			engine.replica = {...engine.replica, state: 'swapping'};
			engine.endsAt = now + swapMs;
		}
	}

	#advance(engine: Engine, now: number): void {
		if (engine.replica.state === 'fetching') {
			engine.replica = {...engine.replica, state: 'fetched'};
		} else if (this.#random.next() < swapFailureRate) {
			engine.replica = failReplica(engine.replica, now);
		} else {
			engine.replica = {...engine.replica, state: 'current'};
			engine.version = engine.target;
			this.#rolloutMs = Math.max(this.#rolloutMs, now - this.#publishedAt);
		}
	}

	#findEngine(id: string): Engine {
		return this.#engines.find(({replica}) => replica.id === id)!;
	}

	#startSamples(now: number): void {
		for (const engine of this.#engines.filter(({replica}) => replica.state !== 'swapping')) {
			this.#cancelStale(engine, now);
			for (let step = this.#firstStep; step < this.#firstStep + postedAhead && engine.running.length < slotsPerEngine; step++) {
				this.#startSamplesOf(step, engine, now);
			}
		}
	}

	/** The step whose samples are being collected: while the trainer trains, the step after the one that it trains on. */
	get #firstStep(): number {
		return this.#version + (this.#trainingEndsAt === undefined ? 0 : 1);
	}

	#startSamplesOf(step: number, engine: Engine, now: number): void {
		const draft = {engineVersion: engine.version, finishAt: now + (meanTokens / speed), stepsAhead: step - this.#version};
		const forecast = {current: this.#version, since: this.#publishedAt};
		if (this.#versions !== undefined && decideDispatch({versions: this.#versions}, forecast, draft, now) === 'wait') {
			return;
		}

		while (engine.running.length < slotsPerEngine && this.#countStarted(step) < samplesPerStep) {
			this.#pending.set(step, (this.#pending.get(step) ?? 0) + 1);
			engine.running.push({
				step, oldestVersion: engine.version, tokens: Math.ceil(this.#drawTokens(this.#random)), made: 0,
			});
		}
	}

	#countStarted(step: number): number {
		return (this.#pending.get(step) ?? 0) + (this.#whole.get(step)?.length ?? 0);
	}

	#cancelStale(engine: Engine, now: number): void {
		engine.running = engine.running.filter(({step, oldestVersion, made}) => {
			const isLost = this.#versions !== undefined
				&& shouldCancel({versions: this.#versions}, {oldestVersion}, {current: this.#version, stepsAhead: Math.max(0, step - this.#version)}, now);
			if (isLost) {
				this.#pending.set(step, this.#pending.get(step)! - 1);
				this.#discardedTokens += made;
			}

			return !isLost;
		});
	}

	#generate(): void {
		for (const engine of this.#engines.filter(({replica}) => replica.state !== 'swapping')) {
			for (const sample of engine.running) {
				sample.made += speed * tickMs;
				this.#madeTokens += speed * tickMs;
			}

			const whole = engine.running.filter(({made, tokens}) => made >= tokens);
			engine.running = engine.running.filter(({made, tokens}) => made < tokens);
			for (const sample of whole) {
				this.#pending.set(sample.step, this.#pending.get(sample.step)! - 1);
				this.#whole.set(sample.step, [...this.#whole.get(sample.step) ?? [], sample]);
			}
		}
	}
}

/** Staleness bounds that are compared, in versions. */
const bounds = [0, 1, 2, 3];

/** Relative costs that each user assigns to idle time (as a fraction of all time) and to one version of staleness. */
const weighings = {moosbrugger: {idle: 4, lag: 1}, 'petroleum-office': {idle: 1, lag: 1}} as const;

function runWeights(seed: number): Figure[] {
	const pattern = 'weights after each step';
	const baseline = new Trainer(undefined, seed).run();
	const curve = bounds.map(versions => ({versions, run: new Trainer(versions, seed).run()}));
	const {run} = curve[1]!;
	return [
		{
			pattern, measure: 'bound 1: stale deliveries', real: run.stale, baseline: baseline.stale, bar: {atMost: 0},
		},
		{
			pattern, measure: 'bound 1: part of the tokens thrown away', real: run.thrown, baseline: baseline.thrown, bar: {atMost: 0.05},
		},
		{
			pattern, measure: 'bound 1: ms until all engines have the weights', real: run.rolloutMs, baseline: baseline.rolloutMs, bar: {atMost: 17_000},
		},
		...curve.flatMap(({versions, run: {idle, lag}}) => [
			{
				pattern, measure: `bound ${versions}: trainer idle`, real: idle, baseline: baseline.idle,
			},
			{
				pattern, measure: `bound ${versions}: mean versions behind`, real: lag, baseline: baseline.lag,
			},
		]),
		...Object.entries(weighings).map(([user, weights]) => {
			const costs = curve.map(({versions, run: {idle, lag}}) => ({versions, cost: (weights.idle * idle) + (weights.lag * lag)}));
			return {
				pattern, measure: `best bound as ${user} weighs idle ${weights.idle}:${weights.lag} staleness`, real: costs.toSorted((a, b) => a.cost - b.cost)[0]!.versions,
			};
		}),
	];
}

/** Patterns of weight updates, by name. */
export const weightPatterns: Readonly<Record<string, (seed: number) => Figure[]>> = {weights: runWeights};
