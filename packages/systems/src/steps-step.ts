/**
 * One step at the entry that runs it: what is still to be drawn, what waits for its group, and what the trainer has.
 *
 * A sample is held until the trainer acknowledges it, so that it can be handed over again on another connection.
 */
import {createProblem, type Problem, type Sample} from '@wasabiusher/shared';
import {SampleSet} from './steps-cursor.js';
import {isFresh, type FreshnessTerms} from './steps-freshness.js';
import {SampleMaker, type StepContext} from './steps-maker.js';
import {
	countSamples, hashStepRequest, toPlace, type StepRequest,
} from './steps-request.js';
import {createSlots, describeSlot, type Slot} from './steps-slots.js';

/** Attempts under way at once: half a step of the size designed for, spread over the entry's 64 endpoints. */
const maxOutstanding = 1024;

/** Text held for a trainer that does not acknowledge, in characters; no new group is begun beyond it. */
const maxHeldLength = 16_777_216;

/** Text held by all steps of a process, in characters; beyond it only steps that hold little begin a group. */
const maxHeldByAll = 50_331_648;

/** What a step may hold whatever others hold, in characters: a trainer that does not acknowledge must not stop the others. */
const minHeldLength = 1_048_576;

/** How a step stands. */
export type StepStatus = {
	id: string;
	total: number;
	/** Finished and not acknowledged. */
	ready: number;
	acknowledged: number;
	/** Can not be made. */
	failed: number;
	isWhole: boolean;
	/** Whether the record has the step and this process may extend it. */
	isRecorded: boolean;
};

/** A sample that can not be made. */
export type FailedPlace = {place: number; problem: Problem};

export type StepListener = {
	/** Called with each sample that was finished here. */
	onReady(sample: Sample): void;
	/** Steps that the trainer takes before this one. */
	countStepsAhead(): number;
};

/** One step. */
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
	readonly #waiting = new Set<() => void>();
	readonly #countStepsAhead: () => number;
	/** Idle places in the order in which they are started; undefined when it has to be worked out anew. */
	#queue: number[] | undefined;
	#trainerVersion = 0;
	#wasPulled = false;
	#isDelivered = false;
	#pull: AbortController | undefined;
	#lastPullAt = performance.now();
	#changes = 0;
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
				this.#wake();
				this.advance();
			},
		});
	}

	/** No longer run here; streams end without their terminal event. */
	get isDropped(): boolean {
		return this.#isDropped;
	}

	/** Every sample was acknowledged, or can not be made. */
	get isWhole(): boolean {
		return this.#slots.every(({state}) => state === 'done' || state === 'failed');
	}

	/** The trainer was handed all of it, or has acknowledged it. */
	get isDelivered(): boolean {
		return this.#isDelivered || this.isWhole;
	}

	/** By what samples are judged at this moment. */
	get terms(): FreshnessTerms {
		return {freshness: this.request.profile.freshness, clock: this.#context.clock, trainerVersion: this.#trainerVersion};
	}

	/** Attempts under way. */
	get outstanding(): number {
		return this.#maker.outstanding;
	}

	/** Milliseconds since a trainer last had a pull open. */
	get unpulledMs(): number {
		return this.#pull && !this.#pull.signal.aborted ? 0 : performance.now() - this.#lastPullAt;
	}

	describe(): StepStatus {
		const count = (state: Slot['state']) => this.#slots.filter(slot => slot.state === state).length;
		return {
			id: this.request.id, total: this.total, ready: count('ready'), acknowledged: count('done'), failed: count('failed'), isWhole: this.isWhole, isRecorded: this.isRecorded,
		};
	}

	/** Takes what the record has; what is held here already stays, and what is too stale is not taken. */
	restore(samples: readonly Sample[], acknowledged: Iterable<number>): void {
		for (const sample of samples) {
			const slot = this.#slots[toPlace(this.request, sample.group, sample.index)];
			const isWanted = slot?.state === 'idle' || slot?.state === 'drawing';
			if (isWanted && isFresh(sample, this.terms)) {
				this.#maker.hold(slot, sample);
			}
		}

		this.acknowledge([...acknowledged]);
	}

	/** Draws what is missing and can be drawn now. */
	advance(): void {
		if (this.#isDropped || this.#isDraining || !this.#slots.some(({state}) => state === 'idle') || !this.#mayStart()) {
			return;
		}

		const now = performance.now();
		while (this.#maker.outstanding < maxOutstanding) {
			const place = this.#takeNext(now);
			if (place === undefined) {
				return;
			}

			this.#maker.draw(this.#slots[place]!);
		}
	}

	/** Looks after the step once a second: the order of what is left, and second attempts. */
	tick(): void {
		this.#queue = undefined;
		this.advance();
		const {decisions, endpoints} = this.#context;
		const facts = this.#slots.map(slot => describeSlot(slot));
		for (const place of this.#isDropped || this.#isDraining ? [] : decisions.double(this.request, facts, endpoints.listIdle(this.request.model))) {
			this.#maker.draw(this.#slots[place]!);
		}
	}

	/** A trainer's pull begins: it replaces an earlier one, and what is too stale for its version is drawn again. */
	beginPull(trainerVersion: number): AbortController {
		this.#pull?.abort();
		const pull = new AbortController();
		this.#pull = pull;
		this.#trainerVersion = trainerVersion;
		this.#wasPulled = true;
		this.#context.decisions.noteVersion(this.request, trainerVersion);
		this.#context.clock.note(this.request.model, trainerVersion);
		for (const slot of this.#slots) {
			this.#maker.giveUpIfStale(slot);
		}

		this.advance();
		return pull;
	}

	endPull(pull: AbortController): void {
		pull.abort();
		this.#lastPullAt = performance.now();
	}

	/** Samples of whole groups that the trainer does not have, fresh at this moment; stale ones are drawn again. */
	listDeliverable(received: SampleSet): Sample[] {
		const deliverable: Sample[] = [];
		for (let first = 0; first < this.total; first += this.request.groupSize) {
			const missing = this.#slots
				.slice(first, first + this.request.groupSize)
				.filter(({place, state}) => !received.has(place) && state !== 'done' && state !== 'failed');
			for (const slot of missing) {
				this.#maker.giveUpIfStale(slot);
			}

			if (missing.every(({state}) => state === 'ready')) {
				deliverable.push(...missing.map(({sample}) => sample!));
			}
		}

		this.advance();
		return deliverable;
	}

	/** Samples that can not be made and that the trainer has not been told of. */
	listFailed(received: SampleSet): FailedPlace[] {
		return this.#slots
			.filter(({place, state}) => state === 'failed' && !received.has(place))
			.map(({place, problem}) => ({place, problem: problem ?? createProblem('internal', 'the sample can not be made', 'unknown')}));
	}

	noteHandedOver(place: number): void {
		this.#slots[place]!.isHandedOver = true;
	}

	/** Whether a trainer with these samples has the whole step. */
	isWholeWith(received: SampleSet): boolean {
		this.#isDelivered = this.#slots.every(({place, state}) => received.has(place) || state === 'done');
		return this.#isDelivered;
	}

	/** The trainer has these samples for good: they are held no longer, nor drawn if another entry handed them over. */
	acknowledge(places: readonly number[]): void {
		for (const place of places) {
			const slot = this.#slots[place]!;
			this.acknowledged.add(place);
			this.#maker.release(slot);
			slot.state = 'done';
		}

		this.#wake();
		this.advance();
	}

	/** Counts what may have made more deliverable. */
	get changes(): number {
		return this.#changes;
	}

	/** Resolves when something has changed since the given count, or the signal is aborted. */
	async waitForChange(since: number, signal: AbortSignal): Promise<void> {
		if (signal.aborted || this.#isDropped || this.#changes !== since) {
			return;
		}

		await new Promise<void>(resolve => {
			const wake = () => {
				this.#waiting.delete(wake);
				signal.removeEventListener('abort', wake);
				resolve();
			};

			this.#waiting.add(wake);
			signal.addEventListener('abort', wake);
		});
	}

	/** Begins no further attempts; those under way go on. */
	drain(): void {
		this.#isDraining = true;
	}

	/** Stops all work here. */
	drop(): void {
		this.#isDropped = true;
		for (const slot of this.#slots) {
			this.#maker.release(slot);
		}

		this.#pull?.abort();
		this.#wake();
	}

	/** Whether what engines make now could be handed over; otherwise drawing would only waste it. */
	#mayStart(): boolean {
		const {decisions, endpoints} = this.#context;
		const versions = endpoints.listVersions(this.request.model);
		const engineVersion = versions.length === 0 ? undefined : Math.max(...versions);
		return decisions.mayStart(this.request, {engineVersion, stepsAhead: this.#wasPulled ? 0 : this.#countStepsAhead()});
	}

	/** The next idle place in the order; undefined if none may be started now. */
	#takeNext(now: number): number | undefined {
		const isDue = (place: number) => this.#slots[place]!.state === 'idle' && this.#slots[place]!.notBefore <= now && this.#hasRoom(place);
		this.#queue ??= this.#orderIdle();
		const next = this.#queue.findIndex(place => isDue(place));
		return next === -1 ? undefined : this.#queue.splice(next, 1)[0];
	}

	#orderIdle(): number[] {
		const idle = this.#slots.filter(({state}) => state === 'idle').map(slot => describeSlot(slot));
		return this.#context.decisions.order(this.request, idle).map(({place}) => place);
	}

	/** A group that was begun is finished whatever is held, since only a whole one can be handed over. */
	#hasRoom(place: number): boolean {
		const {groupSize} = this.request;
		const first = place - (place % groupSize);
		const {heldLength} = this.#maker;
		const mayBegin = heldLength < minHeldLength || (heldLength < maxHeldLength && this.#context.held.length < maxHeldByAll);
		return mayBegin || this.#slots.slice(first, first + groupSize).some(({state}) => state !== 'idle');
	}

	#wake(): void {
		this.#changes += 1;
		for (const wake of this.#waiting) {
			wake();
		}
	}
}
