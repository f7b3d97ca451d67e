/**
 * Tracks the capacity of an executor's endpoint: admission, concurrency limit and drain rate.
 */
import {
	Admission, ConcurrencyLimit, DrainRate, type AdmissionDecision,
} from '@wasabiusher/decisions';
import type {PriorityClass} from '@wasabiusher/shared';
import type {Endpoint} from './endpoint-run.js';
import type {Execution} from './execution.js';

/**
 * Assumed work per slot and millisecond, until measured: 200 tokens per second of a fast engine, or one plain call in 20 ms.
 * The values are high on purpose, because low ones would refuse requests that could be served.
 */
const initialWorkPerMs: Readonly<Record<Endpoint['kind'], number>> = {model: 0.2, plain: 0.05};

/** Minimum of the adaptive limit, as a ratio of the limit in the settings, which the operator is assumed to have set roughly right. */
const minLimitRatio = 0.25;

/** Maximum ratio of the queue that one caller may fill. */
const maxCallerRatio = 0.5;

/** Minimum number of tokens of a stream to measure its pace; with fewer the pace is too uneven. */
const minPaceTokens = 16;

/** Number of tokens that the pace refers to, so that the limit adapts on a scale of seconds. */
const paceTokens = 100;

/** Constant pace of plain services, in milliseconds. Their latencies vary too much to indicate load; only overload responses do. */
const plainPaceMs = 100;

/** Decay of the longest run time with each run: after ten shorter runs, one third of it remains. */
const longestDecay = 0.9;

/** Measurements of a run. */
export type RunObservation = {tokens: number; firstTokens: number; firstAt: number; inFlight: number; isOverloaded: boolean};

export type LoadSettings = {kind: Endpoint['kind']; limit: number; maxWaiting: number};

/** Measured capacity of one endpoint. */
export class ExecutorLoad {
	readonly #settings: LoadSettings;
	readonly #admission: Admission;
	readonly #limit: ConcurrencyLimit;
	readonly #rate: DrainRate;
	/** Number of runs at the endpoint that were started before this agent. */
	#inherited = 0;
	#longestMs = 0;
	#interactive = 0;

	constructor(settings: LoadSettings) {
		const {kind, limit, maxWaiting} = settings;
		this.#settings = settings;
		this.#admission = new Admission({
			count: maxWaiting,
			work: Number.POSITIVE_INFINITY,
			callerCount: Math.max(1, Math.ceil(maxWaiting * maxCallerRatio)),
			callerWork: Number.POSITIVE_INFINITY,
		});
		this.#limit = new ConcurrencyLimit({min: Math.max(1, Math.floor(limit * minLimitRatio)), max: limit, initial: limit});
		this.#rate = new DrainRate(initialWorkPerMs[kind] * limit);
	}

	/** Maximum number of concurrent runs, less the inherited ones; at least 1. */
	get limit(): number {
		return Math.max(1, this.#limit.limit - this.#inherited);
	}

	/** Returns the maximum number of concurrent runs at which a run of a class may start, which leaves slots free for more urgent ones; at least 1. */
	limitFor(name: PriorityClass): number {
		return Math.max(1, this.#limit.limitFor(name, performance.now()) - this.#inherited);
	}

	/** Number of interactive runs at the endpoint. */
	get interactive(): number {
		return this.#interactive;
	}

	/** Amount of queued work. */
	get waitingWork(): number {
		return this.#admission.work;
	}

	/** Work completed per second. */
	get workPerSecond(): number {
		return this.#rate.perMs * 1000;
	}

	get inherited(): number {
		return this.#inherited;
	}

	/** Run time of the longer runs recently, in milliseconds. */
	get typicalMs(): number {
		return this.#longestMs;
	}

	/** Admits an execution to the queue or refuses it. */
	admit({id, open, deadlineAt}: Execution, now: number): AdmissionDecision {
		const {perMs} = this.#rate;
		return this.#admission.reserve({
			id, class: open.class, caller: open.caller, share: open.share, cost: open.cost, deadlineAt, serviceMs: open.cost * this.#settings.limit / perMs,
		}, now, perMs);
	}

	/** Records that an execution has left the queue to run. */
	start({id, open}: Execution): void {
		this.#admission.start(id);
		this.#countInteractive(open.class, 1);
	}

	/** Records the end of an execution; `hasRun` is true if it had left the queue. */
	release({id, open}: Execution, hasRun: boolean): void {
		this.#admission.release(id);
		if (hasRun) {
			this.#countInteractive(open.class, -1);
		}
	}

	/** Updates the statistics with a run that was not stopped. */
	recordRun({open, startedAt}: Execution, run: RunObservation, now: number): void {
		const isBusy = this.#admission.waiting > 0;
		// In the unit of the queued work, which is estimated as well.
		this.#rate.record(open.cost, now, isBusy);
		this.#longestMs = Math.max(now - startedAt, this.#longestMs * longestDecay);
		const paceMs = this.#measurePace(run, now);
		if (paceMs !== undefined || run.isOverloaded) {
			this.#limit.record(paceMs ?? plainPaceMs, run.inFlight, run.isOverloaded, now);
		}
	}

	/**
	 * Updates the number of inherited runs with the endpoint's report.
	 *
	 * @param held - number of runs in the report
	 * @param own - number of runs of this agent that the report includes; newer ones may be missing, because reports lag
	 * @param isFirst - whether this is the first report since the agent started
	 */
	updateInherited(held: number, own: number, isFirst: boolean): void {
		const inherited = Math.max(0, held - own);
		this.#inherited = isFirst ? inherited : Math.min(this.#inherited, inherited);
	}

	/** Records a restart of the endpoint, which ends all runs. */
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

		const pacedTokens = tokens - firstTokens;
		return pacedTokens < minPaceTokens ? undefined : (now - firstAt) * paceTokens / pacedTokens;
	}
}
