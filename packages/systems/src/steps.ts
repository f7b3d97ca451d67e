/**
 * Runs trainers' steps: any entry can open a step, continue one, or return the address of the entry that runs it.
 *
 * The entry that opens a step runs it and holds its lease. Another entry that receives a request for the step returns
 * the owner's address, so that the request can be forwarded. When the owner does not answer, the other entry continues from the
 * record at once, and owns the step when the lease has expired. Without the store, a step is run by whichever entry the
 * trainer sends it to; the trainer's cursor prevents a sample from being delivered twice.
 */
import type {ObjectStore, TableService} from '@wasabiusher/backends';
import type {Registry} from 'prom-client';
import {
	LeaseHolder, readLeaseOwner, SampleLog, TakeoverRateLimit, type RecordedStep,
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
	listAcknowledged, refuse, refuseConflict, refuseUnknown, refuseUnreadable, type FindOptions, type Placement,
} from './steps-placement.js';
import {StepRecorder} from './steps-recorder.js';
import {
	hashStepRequest, findPosition, stepRequestSchema, type StepRequest,
} from './steps-request.js';
import {Scorer} from './steps-scoring.js';
import {Step} from './steps-step.js';

/** Maximum wait for the store before a step is run without it, in milliseconds. */
const storeTimeoutMs = 1000;

/** Interval of the steps' periodic work, in milliseconds. */
const tickMs = 1000;

/** Maximum number of open steps at an entry; many times the need of ten trainers with a few steps each. */
const maxSteps = 256;

/** Time without a pull after which a step is stopped, in milliseconds; its record is kept. */
const abandonAfterMs = 600_000;

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
	/** Where the events for the burn report are counted. */
	objectives?: Pick<ObjectiveMetrics, 'record'>;
	endpoints: StepEndpoints;
	/** Returns the `ip:port` where other entries reach the trainer routes of this entry. */
	address(): string;
};

type Run = {step: Step; recorder: StepRecorder};

/** What the store holds for a step: the address of its owner, if that is another process, and its record, if there is one. */
type StepLookup = {owner?: string; recorded?: RecordedStep};

/** Runs the steps of one entry. */
export class StepRunner {
	readonly #settings: StepRunnerSettings;
	readonly #context: StepContext;
	readonly #takeOverPace = new TakeoverRateLimit();
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

	/** Number of steps that this entry runs. */
	get openSteps(): number {
		return this.#runs.size;
	}

	/** Opens a step, or returns the one with the same id; refuses if that one has other content. */
	async open(request: StepRequest, options: FindOptions = {}): Promise<Placement> {
		return this.#findOrOpen(request.id, options, request);
	}

	/** Finds a step that was opened at this or another entry. */
	async locate(id: string, options: FindOptions = {}): Promise<Placement> {
		return this.#findOrOpen(id, options);
	}

	/** Delivers samples of a step that is run here; returns a problem if the cursor does not belong to the step. */
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

	/** Records that the trainer has received samples; returns a problem if the step does not have one of them. */
	acknowledge(step: Step, sampleIds: readonly string[]): Problem | undefined {
		const positions = sampleIds.map(id => findPosition(step.request, id));
		const unknown = positions.indexOf(undefined);
		if (unknown !== -1) {
			return createProblem('bad-request', `field samples.${unknown}: step ${step.request.id} has no sample "${sampleIds[unknown]}"`, 'no');
		}

		step.acknowledge(positions.filter(position => position !== undefined));
		void this.#runs.get(step.request.id)?.recorder.advance();
		return undefined;
	}

	/**
	 * Finishes running attempts, records their samples and releases the steps to other entries; streams end without their terminal event.
	 *
	 * @param graceMs - maximum wait for running attempts, in milliseconds
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
		await Promise.all([...this.#runs.keys()].map(async id => this.#release(id)));
	}

	/** Stops immediately, without recording, like a crashed process. */
	stop(): void {
		clearInterval(this.#timer);
		for (const id of this.#runs.keys()) {
			this.#drop(id);
		}
	}

	async #findOrOpen(id: string, options: FindOptions, request?: StepRequest): Promise<Placement> {
		const run = this.#runs.get(id);
		if (run) {
			return request && hashStepRequest(request) !== run.step.fingerprint ? refuseConflict(id) : {kind: 'here', step: run.step};
		}

		if (this.#isDraining) {
			return refuse('unavailable', 'this entry is shutting down; another entry continues the step');
		}

		// Two concurrent requests for a step must not start it twice.
		const opening = this.#opening.get(id) ?? this.#findPlacement(id, options, request).finally(() => {
			this.#opening.delete(id);
		});
		this.#opening.set(id, opening);
		const placement = await opening;
		return placement.kind === 'here' && request && hashStepRequest(request) !== placement.step.fingerprint ? refuseConflict(id) : placement;
	}

	async #findPlacement(id: string, {isOwnerGone = false}: FindOptions, request?: StepRequest): Promise<Placement> {
		const found = await this.#lookUp(id);
		if (!found) {
			return request ? this.#begin(request) : refuseUnreadable(id);
		}

		if (found.owner !== undefined && !isOwnerGone) {
			return {kind: 'elsewhere', address: found.owner};
		}

		const {recorded} = found;
		if (request && recorded && recorded.fingerprint !== hashStepRequest(request)) {
			return refuseConflict(id);
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

	/** Restores the recorded samples; if reading takes long, they arrive later and replace attempts started in the meantime. */
	async #restoreSamples(step: Step): Promise<void> {
		const {id} = step.request;
		const reading = this.#createSampleLog(id).readSamples().then(samples => {
			step.restore(samples, []);
		});
		try {
			await Promise.race([reading, pause(storeTimeoutMs)]);
		} catch (error) {
			this.#settings.log.warn('samples_unreadable', {step: id, reason: describeError(error)});
		}
	}

	/** Reads the owner and the record of a step; undefined if they cannot be read in time. */
	async #lookUp(id: string): Promise<StepLookup | undefined> {
		const {tables, log, address} = this.#settings;
		const reading = Promise.all([readLeaseOwner(tables, `step/${id}`), this.#createSampleLog(id).read()]).then(([owner, recorded]): StepLookup => ({
			owner: owner?.address === address() ? undefined : owner?.address,
			recorded,
		}));
		try {
			return await Promise.race([reading, pause(storeTimeoutMs)]);
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
				this.#runs.get(id)?.recorder.record(sample);
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
				takeoverLimit: this.#takeOverPace,
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
		this.#context.metrics.trainerTime.tick();
		for (const [id, {step, recorder}] of this.#runs) {
			step.tick();
			void recorder.advance();
			if (step.msSinceLastPull > abandonAfterMs) {
				void this.#release(id);
			}
		}
	}

	/** Counts earlier steps of the same trainer and model that were not delivered whole. */
	#countStepsBefore(step: Step): number {
		const steps = [...this.#runs.values()].map(run => run.step);
		const {trainer, model} = step.request;
		return steps.slice(0, Math.max(0, steps.indexOf(step))).filter(({request, isDelivered}) => request.trainer === trainer && request.model === model && !isDelivered).length;
	}

	/** Writes what is queued, releases the lease and stops the step here. */
	async #release(id: string): Promise<void> {
		await this.#runs.get(id)?.recorder.release();
		this.#drop(id);
	}
}
