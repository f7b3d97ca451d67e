/**
 * Trainers' steps: any entry can open one, go on with one, or say who runs it.
 *
 * The entry that opens a step runs it and holds its lease. Another entry that is asked for the step says where
 * it is run, so that the exchange can be passed on; when that entry does not answer, it goes on from the record
 * at once, and owns the step when the lease has lapsed. Without the store a step is run by whichever entry the
 * trainer gives it to; the trainer's cursor keeps each sample from being handed over twice.
 */
import type {ObjectStore, TableService} from '@wasabiusher/backends';
import type {Registry} from 'prom-client';
import {
	LeaseHolder, readLeaseOwner, SampleLog, TakeOverPace, type RecordedStep,
} from '@wasabiusher/record';
import {
	createProblem, describeError, type Log, type Problem, type Random,
} from '@wasabiusher/shared';
import type {Dispatcher} from './dispatcher.js';
import type {Invariants} from './invariants.js';
import type {ObjectiveMetrics} from './objective-metrics.js';
import {pause} from './pause.js';
import {SampleSet} from './steps-cursor.js';
import {StepDecisions} from './steps-decisions.js';
import {pullSamples, type Delivery} from './steps-delivery.js';
import type {StepEndpoints} from './steps-endpoints.js';
import {VersionClock} from './steps-freshness.js';
import type {StepContext} from './steps-maker.js';
import {StepMetrics} from './steps-metrics.js';
import {
	listAcknowledged, refuse, refuseOther, refuseUnknown, refuseUnreadable, type FindOptions, type Placement,
} from './steps-placement.js';
import {StepRecorder} from './steps-recorder.js';
import {
	hashStepRequest, parsePlace, stepRequestSchema, type StepRequest,
} from './steps-request.js';
import {Scorer} from './steps-scoring.js';
import {Step} from './steps-step.js';

/** Longest wait for the store before a step is run without it, in milliseconds. */
const storeWaitMs = 1000;

/** How often steps are looked after, in milliseconds. */
const tickMs = 1000;

/** Steps open at an entry; ten trainers with some steps each, many times over. */
const maxSteps = 256;

/** A step that nobody pulls from is stopped after this, in milliseconds; the record keeps it. */
const abandonMs = 600_000;

export type StepRunnerSettings = {
	dispatcher: Pick<Dispatcher, 'submit'>;
	/** Name of this entry. */
	name: string;
	tables: TableService;
	objects: ObjectStore;
	invariants: Invariants;
	random: Random;
	log: Log;
	registry?: Registry;
	/** Where events of the burn report are counted. */
	objectives?: Pick<ObjectiveMetrics, 'record'>;
	endpoints: StepEndpoints;
	/** `ip:port` where other entries reach this one's trainers' routes. */
	address(): string;
};

type Run = {step: Step; recorder: StepRecorder};

/** What the record says of a step: where its owner is, if another process, and the step, if it is there. */
type Finding = {owner?: string; recorded?: RecordedStep};

/** Runs the steps of one entry. */
export class StepRunner {
	readonly #settings: StepRunnerSettings;
	readonly #context: StepContext;
	readonly #pace = new TakeOverPace();
	readonly #runs = new Map<string, Run>();
	readonly #opening = new Map<string, Promise<Placement>>();
	readonly #timer: NodeJS.Timeout;
	#isDraining = false;

	constructor(settings: StepRunnerSettings) {
		this.#settings = settings;
		const {
			dispatcher, invariants, random, registry, objectives, endpoints,
		} = settings;
		this.#context = {
			dispatcher,
			invariants,
			random,
			endpoints,
			held: {length: 0},
			decisions: new StepDecisions(),
			scorer: new Scorer(dispatcher),
			clock: new VersionClock(),
			metrics: new StepMetrics(registry, objectives),
		};
		this.#timer = setInterval(() => {
			this.#tick();
		}, tickMs);
		this.#timer.unref();
	}

	/** Steps run here. */
	get openSteps(): number {
		return this.#runs.size;
	}

	/** Opens a step, or finds the one with the same id. */
	async open(request: StepRequest, options: FindOptions = {}): Promise<Placement> {
		return this.#place(request.id, options, request);
	}

	/** Finds a step that was opened here or elsewhere. */
	async locate(id: string, options: FindOptions = {}): Promise<Placement> {
		return this.#place(id, options);
	}

	/** Hands over samples of a step that is run here; a problem if the cursor is not one of it. */
	pull(step: Step, {after, version, signal}: {after: string; version: number; signal: AbortSignal}): AsyncGenerator<Delivery, void> | Problem {
		const received = SampleSet.parse(after, step.total);
		if (!received) {
			return createProblem('bad-request', 'field after: expected the cursor of a sample of this step', 'no');
		}

		const {invariants, metrics} = this.#context;
		return pullSamples(step, {
			received, version, invariants, metrics, signal,
		});
	}

	/** Notes that the trainer has samples for good; a problem if the step has no such sample. */
	acknowledge(step: Step, sampleIds: readonly string[]): Problem | undefined {
		const places = sampleIds.map(id => parsePlace(step.request, id));
		const unknown = places.indexOf(undefined);
		if (unknown !== -1) {
			return createProblem('bad-request', `field samples.${unknown}: step ${step.request.id} has no sample "${sampleIds[unknown]}"`, 'no');
		}

		step.acknowledge(places.filter(place => place !== undefined));
		void this.#runs.get(step.request.id)?.recorder.advance();
		return undefined;
	}

	/**
	 * Finishes what is under way, records it, and lets other entries go on; streams end without their terminal event.
	 *
	 * @param graceMs - longest wait for attempts that are under way, in milliseconds
	 */
	async drain(graceMs: number): Promise<void> {
		const endAt = performance.now() + graceMs;
		this.#isDraining = true;
		for (const {step} of this.#runs.values()) {
			step.drain();
		}

		while (performance.now() < endAt && [...this.#runs.values()].some(({step}) => step.outstanding > 0)) {
			// Polled, since attempts of all steps end at any time.
			// eslint-disable-next-line no-await-in-loop
			await pause(100);
		}

		clearInterval(this.#timer);
		await Promise.all([...this.#runs.keys()].map(async id => this.#handBack(id)));
	}

	/** Stops at once, as a process does that dies. */
	stop(): void {
		clearInterval(this.#timer);
		for (const id of this.#runs.keys()) {
			this.#drop(id);
		}
	}

	async #place(id: string, options: FindOptions, request?: StepRequest): Promise<Placement> {
		const run = this.#runs.get(id);
		if (run) {
			return request && hashStepRequest(request) !== run.step.fingerprint ? refuseOther(id) : {kind: 'here', step: run.step};
		}

		if (this.#isDraining) {
			return refuse('unavailable', 'this entry is leaving; another one goes on with the step');
		}

		// Two exchanges about a step that come at once must not begin it twice.
		const opening = this.#opening.get(id) ?? this.#find(id, options, request).finally(() => {
			this.#opening.delete(id);
		});
		this.#opening.set(id, opening);
		const placement = await opening;
		return placement.kind === 'here' && request && hashStepRequest(request) !== placement.step.fingerprint ? refuseOther(id) : placement;
	}

	async #find(id: string, {isOwnerGone = false}: FindOptions, request?: StepRequest): Promise<Placement> {
		const finding = await this.#lookUp(id);
		if (!finding) {
			return request ? this.#begin(request) : refuseUnreadable(id);
		}

		if (finding.owner !== undefined && !isOwnerGone) {
			return {kind: 'elsewhere', address: finding.owner};
		}

		const {recorded} = finding;
		if (request && recorded && recorded.fingerprint !== hashStepRequest(request)) {
			return refuseOther(id);
		}

		const accepted = recorded ? stepRequestSchema.parse(recorded.request) : request;
		return accepted ? this.#begin(accepted, recorded) : refuseUnknown(id);
	}

	async #begin(request: StepRequest, recorded?: RecordedStep): Promise<Placement> {
		if (this.#runs.size >= maxSteps) {
			return refuse('overloaded', `${maxSteps} steps are open at this entry`);
		}

		const step = this.#run(request);
		if (recorded) {
			step.restore([], listAcknowledged(step, recorded));
			await this.#restoreSamples(step);
		}

		step.advance();
		this.#runs.get(request.id)?.recorder.start();
		return {kind: 'here', step};
	}

	/** Takes over the recorded samples; many of them may come later, and replace what is drawn meanwhile. */
	async #restoreSamples(step: Step): Promise<void> {
		const {id} = step.request;
		const reading = this.#createSampleLog(id).readSamples().then(samples => {
			step.restore(samples, []);
		});
		try {
			await Promise.race([reading, pause(storeWaitMs)]);
		} catch (error) {
			this.#settings.log.warn('samples_unreadable', {step: id, reason: describeError(error)});
		}
	}

	/** Asks the record; undefined if it can not be read in time. */
	async #lookUp(id: string): Promise<Finding | undefined> {
		const {tables, log, address} = this.#settings;
		const reading = Promise.all([readLeaseOwner(tables, `step/${id}`), this.#createSampleLog(id).read()]).then(([owner, recorded]): Finding => ({
			owner: owner?.address === address() ? undefined : owner?.address,
			recorded,
		}));
		try {
			return await Promise.race([reading, pause(storeWaitMs)]);
		} catch (error) {
			log.warn('step_unreadable', {step: id, reason: describeError(error)});
			return undefined;
		}
	}

	#createSampleLog(step: string): SampleLog {
		const {tables, objects} = this.#settings;
		return new SampleLog({tables, objects, step});
	}

	#run(request: StepRequest): Step {
		const {tables, log, name, address, random} = this.#settings;
		const {id} = request;
		const step: Step = new Step(request, this.#context, {
			onReady: sample => {
				this.#runs.get(id)?.recorder.note(sample);
			},
			countStepsAhead: () => this.#countStepsBefore(step),
		});
		const recorder = new StepRecorder({
			step,
			log,
			samples: this.#createSampleLog(id),
			lease: new LeaseHolder({
				tables,
				shard: `step/${id}`,
				holder: name,
				address: address(),
				random,
				log,
				pace: this.#pace,
				onChange() {
					void recorder.advance();
				},
			}),
			onLost: () => {
				log.warn('step_lost', {step: id});
				this.#drop(id);
			},
		});
		this.#runs.set(id, {step, recorder});
		return step;
	}

	#drop(id: string): void {
		const run = this.#runs.get(id);
		this.#runs.delete(id);
		run?.recorder.stop();
		run?.step.drop();
	}

	#tick(): void {
		this.#context.metrics.trainers.tick();
		for (const [id, {step, recorder}] of this.#runs) {
			step.tick();
			void recorder.advance();
			if (step.unpulledMs > abandonMs) {
				void this.#handBack(id);
			}
		}
	}

	/** Earlier steps of the same trainer and model that it has not been handed whole. */
	#countStepsBefore(step: Step): number {
		const steps = [...this.#runs.values()].map(run => run.step);
		const {trainer, model} = step.request;
		return steps.slice(0, Math.max(0, steps.indexOf(step))).filter(({request, isDelivered}) => request.trainer === trainer && request.model === model && !isDelivered).length;
	}

	/** Writes what is left and lets another process own the step. */
	async #handBack(id: string): Promise<void> {
		await this.#runs.get(id)?.recorder.release();
		this.#drop(id);
	}
}
