/**
 * One step at the entry that runs it: samples still to be drawn, samples that wait for their group, and samples that the trainer has.
 *
 * A sample is held until the trainer acknowledges it, so that it can be delivered again on another connection.
 */
import {createProblem, type Problem, type Sample} from '@wasabiusher/shared';
import {SampleSet} from './steps-cursor.js';
import {isFresh, type FreshnessTerms} from './steps-freshness.js';
import {SampleMaker, type StepContext} from './steps-maker.js';
import {
	countSamples, hashStepRequest, toPosition, type StepRequest,
} from './steps-request.js';
import {createSlots, describeSlot, type Slot} from './steps-slots.js';

/** Maximum number of concurrent attempts: half a step of the design size, spread over the entry's 64 endpoints. */
const maxOutstanding = 1024;

/** Maximum length of text held for a trainer that does not acknowledge, in characters; above it no new group is started. */
const maxHeldLength = 16_777_216;

/** Maximum length of text held by all steps of a process, in characters; above it only steps below their guaranteed length start a group. */
const maxProcessHeldLength = 50_331_648;

/** Length of text that a step may always hold, in characters, so that a trainer that does not acknowledge cannot block the others. */
const guaranteedHeldLength = 1_048_576;

/** Progress of a step; the counts are of samples. */
export type StepStatus = {
	id: string;
	total: number;
	/** Finished but not acknowledged. */
	ready: number;
	acknowledged: number;
	/** Cannot be made. */
	failed: number;
	isWhole: boolean;
	/** Whether the record contains the step and this process may append to it. */
	isRecorded: boolean;
};

/** A sample that cannot be made. */
export type FailedSample = {position: number; problem: Problem};

export type StepListener = {
	/** Called with each sample that was finished in this process. */
	onReady(sample: Sample): void;
	/** Returns the number of steps that the trainer consumes before this one. */
	countStepsAhead(): number;
};

/** One step that this process runs. */
export class Step {
	readonly request: StepRequest;
	readonly fingerprint: string;
	readonly total: number;
	readonly acknowledged: SampleSet;
	/** Set by the recorder. */
	isRecorded = false;
	readonly #context: StepContext;
	readonly #maker: SampleMaker;
	readonly #slots: Slot[];
	readonly #waiters = new Set<() => void>();
	readonly #countStepsAhead: () => number;
	/** Positions of idle samples in the order in which they are started; undefined when the order has to be recomputed. */
	#queue: number[] | undefined;
	#trainerVersion = 0;
	#hasBeenPulled = false;
	#isDelivered = false;
	#pull: AbortController | undefined;
	#lastPullAt = performance.now();
	#changeCount = 0;
	#isDropped = false;
	#isDraining = false;

	constructor(request: StepRequest, context: StepContext, {onReady, countStepsAhead}: StepListener) {
		this.request = request;
		this.fingerprint = hashStepRequest(request);
		this.total = countSamples(request);
		this.acknowledged = new SampleSet(this.total);
		this.#context = context;
		this.#countStepsAhead = countStepsAhead;
		this.#slots = createSlots(this.total, request.groupSize);
		this.#maker = new SampleMaker(request, context, {
			describeTerms: () => this.terms,
			onReady,
			onIdle: () => {
				this.#queue = undefined;
			},
			onChange: () => {
				this.#notifyWaiters();
				this.advance();
			},
		});
	}

	/** Whether the step is no longer run here; its streams end without their terminal event. */
	get isDropped(): boolean {
		return this.#isDropped;
	}

	/** Whether every sample was acknowledged or cannot be made. */
	get isWhole(): boolean {
		return this.#slots.every(({state}) => state === 'done' || state === 'failed');
	}

	/** Whether the whole step was delivered to the trainer or acknowledged by it. */
	get isDelivered(): boolean {
		return this.#isDelivered || this.isWhole;
	}

	/** What the staleness of samples is currently checked against. */
	get terms(): FreshnessTerms {
		return {freshness: this.request.profile.freshness, clock: this.#context.clock, trainerVersion: this.#trainerVersion};
	}

	/** Number of running attempts. */
	get outstanding(): number {
		return this.#maker.outstanding;
	}

	/** Time since a trainer last had a pull open, in milliseconds; 0 while one is open. */
	get msSinceLastPull(): number {
		return this.#pull && !this.#pull.signal.aborted ? 0 : performance.now() - this.#lastPullAt;
	}

	describe(): StepStatus {
		const count = (state: Slot['state']) => this.#slots.filter(slot => slot.state === state).length;
		return {
			id: this.request.id, total: this.total, ready: count('ready'), acknowledged: count('done'), failed: count('failed'), isWhole: this.isWhole, isRecorded: this.isRecorded,
		};
	}

	/** Adds recorded samples and acknowledgements; samples held here already are kept, and samples that are too stale are ignored. */
	restore(samples: readonly Sample[], acknowledged: Iterable<number>): void {
		for (const sample of samples) {
			const slot = this.#slots[toPosition(this.request, sample.group, sample.index)];
			const isWanted = slot?.state === 'idle' || slot?.state === 'drawing';
			if (isWanted && isFresh(sample, this.terms)) {
				this.#maker.hold(slot, sample);
			}
		}

		this.acknowledge([...acknowledged]);
	}

	/** Starts attempts at the missing samples that may be drawn now. */
	advance(): void {
		if (this.#isDropped || this.#isDraining || !this.#slots.some(({state}) => state === 'idle') || !this.#shouldStart()) {
			return;
		}

		const now = performance.now();
		while (this.#maker.outstanding < maxOutstanding) {
			const position = this.#takeNext(now);
			if (position === undefined) {
				return;
			}

			this.#maker.startAttempt(this.#slots[position]!);
		}
	}

	/** Called once a second: reorders the remaining samples and starts second attempts. */
	tick(): void {
		this.#queue = undefined;
		this.advance();
		const {decisions, endpoints} = this.#context;
		const facts = this.#slots.map(slot => describeSlot(slot));
		for (const position of this.#isDropped || this.#isDraining ? [] : decisions.planSecondAttempts(this.request, facts, endpoints.listIdle(this.request.model))) {
			this.#maker.startAttempt(this.#slots[position]!);
		}
	}

	/** Starts a trainer's pull, which replaces an earlier one; samples that are too stale for its version are redrawn. */
	beginPull(trainerVersion: number): AbortController {
		this.#pull?.abort();
		const pull = new AbortController();
		this.#pull = pull;
		this.#trainerVersion = trainerVersion;
		this.#hasBeenPulled = true;
		this.#context.decisions.recordTrainerVersion(this.request, trainerVersion);
		this.#context.clock.record(this.request.model, trainerVersion);
		for (const slot of this.#slots) {
			this.#maker.discardIfStale(slot);
		}

		this.advance();
		return pull;
	}

	endPull(pull: AbortController): void {
		pull.abort();
		this.#lastPullAt = performance.now();
	}

	/** Returns currently fresh samples of whole groups that the trainer does not have; stale ones are redrawn. */
	listDeliverable(received: SampleSet): Sample[] {
		const deliverable: Sample[] = [];
		for (let first = 0; first < this.total; first += this.request.groupSize) {
			const missing = this.#slots
				.slice(first, first + this.request.groupSize)
				.filter(({position, state}) => !received.has(position) && state !== 'done' && state !== 'failed');
			for (const slot of missing) {
				this.#maker.discardIfStale(slot);
			}

			if (missing.every(({state}) => state === 'ready')) {
				deliverable.push(...missing.map(({sample}) => sample!));
			}
		}

		this.advance();
		return deliverable;
	}

	/** Returns samples that cannot be made, unless that was reported to the trainer already. */
	listFailed(received: SampleSet): FailedSample[] {
		return this.#slots
			.filter(({position, state}) => state === 'failed' && !received.has(position))
			.map(({position, problem}) => ({position, problem: problem ?? createProblem('internal', 'the sample cannot be made', 'unknown')}));
	}

	markHandedOver(position: number): void {
		this.#slots[position]!.isHandedOver = true;
	}

	/** Returns whether a trainer with these samples has the whole step. */
	isWholeWith(received: SampleSet): boolean {
		this.#isDelivered = this.#slots.every(({position, state}) => received.has(position) || state === 'done');
		return this.#isDelivered;
	}

	/** Releases samples that the trainer has acknowledged; they are not drawn either if another entry delivered them. */
	acknowledge(positions: readonly number[]): void {
		for (const position of positions) {
			const slot = this.#slots[position]!;
			this.acknowledged.add(position);
			this.#maker.release(slot);
			slot.state = 'done';
		}

		this.#notifyWaiters();
		this.advance();
	}

	/** Number of changes after which more samples may be deliverable. */
	get changeCount(): number {
		return this.#changeCount;
	}

	/** Resolves when the change count differs from the given one, when the step is dropped, or when the signal is aborted. */
	async waitForChange(since: number, signal: AbortSignal): Promise<void> {
		if (signal.aborted || this.#isDropped || this.#changeCount !== since) {
			return;
		}

		await new Promise<void>(resolve => {
			const onChange = () => {
				this.#waiters.delete(onChange);
				signal.removeEventListener('abort', onChange);
				resolve();
			};

			this.#waiters.add(onChange);
			signal.addEventListener('abort', onChange);
		});
	}

	/** Starts no further attempts; running ones continue. */
	drain(): void {
		this.#isDraining = true;
	}

	/** Cancels all attempts and ends the pull. */
	drop(): void {
		this.#isDropped = true;
		for (const slot of this.#slots) {
			this.#maker.release(slot);
		}

		this.#pull?.abort();
		this.#notifyWaiters();
	}

	/** Returns whether samples that engines generate now could be delivered; otherwise they would be wasted. */
	#shouldStart(): boolean {
		const {decisions, endpoints} = this.#context;
		const versions = endpoints.listVersions(this.request.model);
		const engineVersion = versions.length === 0 ? undefined : Math.max(...versions);
		return decisions.shouldStart(this.request, {engineVersion, stepsAhead: this.#hasBeenPulled ? 0 : this.#countStepsAhead()});
	}

	/** Removes and returns the position of the next idle sample in the order; undefined if none may be started now. */
	#takeNext(now: number): number | undefined {
		const isDue = (position: number) => this.#slots[position]!.state === 'idle' && this.#slots[position]!.notBefore <= now && this.#hasHeadroom(position);
		this.#queue ??= this.#orderIdle();
		const next = this.#queue.findIndex(position => isDue(position));
		return next === -1 ? undefined : this.#queue.splice(next, 1)[0];
	}

	#orderIdle(): number[] {
		const idle = this.#slots.filter(({state}) => state === 'idle').map(slot => describeSlot(slot));
		return this.#context.decisions.orderIdle(this.request, idle).map(({position}) => position);
	}

	/** Returns whether the sample may be started; a started group is always finished, since only whole groups can be delivered. */
	#hasHeadroom(position: number): boolean {
		const {groupSize} = this.request;
		const first = position - (position % groupSize);
		const {heldLength} = this.#maker;
		const isBelowLimit = heldLength < guaranteedHeldLength || (heldLength < maxHeldLength && this.#context.held.length < maxProcessHeldLength);
		return isBelowLimit || this.#slots.slice(first, first + groupSize).some(({state}) => state !== 'idle');
	}

	#notifyWaiters(): void {
		this.#changeCount += 1;
		for (const onChange of this.#waiters) {
			onChange();
		}
	}
}
