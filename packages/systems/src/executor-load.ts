/**
 * What an executor knows of its endpoint's capacity: who is let in, how many run at once, and how fast work is done.
 */
import {
	Admission, ConcurrencyLimit, DrainRate, type AdmissionDecision,
} from '@wasabiusher/decisions';
import type {PriorityClass} from '@wasabiusher/shared';
import type {Endpoint} from './endpoint-run.js';
import type {Execution} from './execution.js';

/**
 * Work a slot does in a millisecond until it has been measured: a fast engine's 200 tokens a second, a plain
 * call of 20 ms. Rather too high than too low, since too low would refuse what could be served.
 */
const assumedRate: Readonly<Record<Endpoint['kind'], number>> = {model: 0.2, plain: 0.05};

/** Part of the limit in the settings below which it is not adapted: the operator's figure is not far from the truth. */
const leastLimitRatio = 0.25;

/** Part of the waiting line that one caller may fill. */
const callerRatio = 0.5;

/** Tokens of an answer from which the pace of its stream is judged; fewer give no even pace. */
const leastTokens = 16;

/** Tokens for which the pace is stated, so that the limit is adapted on a scale of seconds. */
const paceTokens = 100;

/** Calls of a plain service differ too much for their latency to show load; only refusals for want of capacity do. */
const plainPaceMs = 100;

/** Weight of the past in the longest time of a call; ten calls that are shorter forget two thirds of it. */
const longestDecay = 0.9;

/** What a run has shown. */
export type RunObservation = {tokens: number; firstTokens: number; firstAt: number; inFlight: number; isOverloaded: boolean};

export type LoadSettings = {kind: Endpoint['kind']; limit: number; maxWaiting: number};

/** Capacity of one endpoint, as its agent learns it. */
export class ExecutorLoad {
	readonly #settings: LoadSettings;
	readonly #admission: Admission;
	readonly #limit: ConcurrencyLimit;
	readonly #rate: DrainRate;
	/** Runs that the endpoint still works on from before this agent started. */
	#inherited = 0;
	#longestMs = 0;
	#interactive = 0;

	constructor(settings: LoadSettings) {
		const {kind, limit, maxWaiting} = settings;
		this.#settings = settings;
		this.#admission = new Admission({
			count: maxWaiting,
			work: Number.POSITIVE_INFINITY,
			callerCount: Math.max(1, Math.ceil(maxWaiting * callerRatio)),
			callerWork: Number.POSITIVE_INFINITY,
		});
		this.#limit = new ConcurrencyLimit({min: Math.max(1, Math.floor(limit * leastLimitRatio)), max: limit, initial: limit});
		this.#rate = new DrainRate(assumedRate[kind] * limit);
	}

	/** Runs that may be at the endpoint at once, less those that are there from before. */
	get limit(): number {
		return Math.max(1, this.#limit.limit - this.#inherited);
	}

	/** Runs that may be there when one of a class starts, so that a more urgent one finds a slot. */
	limitFor(name: PriorityClass): number {
		return Math.max(1, this.#limit.limitFor(name, performance.now()) - this.#inherited);
	}

	/** Interactive runs at the endpoint. */
	get interactive(): number {
		return this.#interactive;
	}

	/** Work that waits. */
	get waitingWork(): number {
		return this.#admission.work;
	}

	/** Work done in a second. */
	get workPerSecond(): number {
		return this.#rate.perMs * 1000;
	}

	get inherited(): number {
		return this.#inherited;
	}

	/** How long a run takes, in milliseconds, of the longer ones of late. */
	get typicalMs(): number {
		return this.#longestMs;
	}

	/** Lets an execution in or refuses it, at once. */
	admit({id, open, deadlineAt}: Execution, now: number): AdmissionDecision {
		const {perMs} = this.#rate;
		return this.#admission.reserve({
			id, class: open.class, caller: open.caller, share: open.share, cost: open.cost, deadlineAt, serviceMs: open.cost * this.#settings.limit / perMs,
		}, now, perMs);
	}

	/** It left the line to run. */
	start({id, open}: Execution): void {
		this.#admission.start(id);
		this.#countInteractive(open.class, 1);
	}

	/** It ended in any way; `hasRun` if it had left the line. */
	release({id, open}: Execution, hasRun: boolean): void {
		this.#admission.release(id);
		if (hasRun) {
			this.#countInteractive(open.class, -1);
		}
	}

	/** Learns from a run that ended by itself. */
	recordRun({open, startedAt}: Execution, run: RunObservation, now: number): void {
		const isBusy = this.#admission.waiting > 0;
		// In the unit of what waits, which is estimated too.
		this.#rate.record(open.cost, now, isBusy);
		this.#longestMs = Math.max(now - startedAt, this.#longestMs * longestDecay);
		const paceMs = this.#measurePace(run, now);
		if (paceMs !== undefined || run.isOverloaded) {
			this.#limit.record(paceMs ?? plainPaceMs, run.inFlight, run.isOverloaded, now);
		}
	}

	/**
	 * Learns from the endpoint's report what it still runs from before this agent started.
	 *
	 * @param held - runs there by the report
	 * @param own - runs of ours that the report must show; it lags
	 */
	recordHeld(held: number, own: number, isFirst: boolean): void {
		const others = Math.max(0, held - own);
		this.#inherited = isFirst ? others : Math.min(this.#inherited, others);
	}

	/** The endpoint was started anew and runs nothing. */
	recordRestart(): void {
		this.#inherited = 0;
	}

	#countInteractive(name: PriorityClass, by: 1 | -1): void {
		if (name === 'interactive') {
			this.#interactive += by;
			this.#limit.observeInteractive(this.#interactive, performance.now());
		}
	}

	#measurePace({tokens, firstTokens, firstAt}: RunObservation, now: number): number | undefined {
		if (this.#settings.kind === 'plain') {
			return plainPaceMs;
		}

		const counted = tokens - firstTokens;
		return counted < leastTokens ? undefined : (now - firstAt) * paceTokens / counted;
	}
}
