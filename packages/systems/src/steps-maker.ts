/**
 * Makes the samples of a step: draws, scores, and draws again what failed or turned stale.
 *
 * The first attempt that finishes is the sample of its place; the others are stopped, and what they still send
 * is dropped.
 */
import {randomUUID} from 'node:crypto';
import type {Problem, Random, Sample} from '@wasabiusher/shared';
import type {Dispatcher} from './dispatcher.js';
import type {Invariants} from './invariants.js';
import type {StepDecisions} from './steps-decisions.js';
import {drawSample, type Draft} from './steps-drawing.js';
import type {StepEndpoints} from './steps-endpoints.js';
import {
	isFresh, type Dated, type FreshnessTerms, type VersionClock,
} from './steps-freshness.js';
import type {StepMetrics} from './steps-metrics.js';
import {formatPlace, type StepRequest} from './steps-request.js';
import type {Scorer} from './steps-scoring.js';
import {cancelDrawings, type Slot} from './steps-slots.js';

/** Least wait before a sample that failed is drawn again, in milliseconds. */
const redrawMs = 200;

/** Problems that drawing again would not cure. */
const finalProblems = new Set<Problem['kind']>(['bad-request', 'not-found', 'quarantined', 'too-large']);

/** What all steps of a process share. */
export type StepContext = {
	dispatcher: Pick<Dispatcher, 'submit'>;
	scorer: Scorer;
	clock: VersionClock;
	invariants: Invariants;
	metrics: StepMetrics;
	random: Random;
	decisions: StepDecisions;
	endpoints: StepEndpoints;
	/** Text held by all steps of the process, in characters. */
	held: {length: number};
};

/** Who is told of what was made. */
export type MakerListener = {
	/** By what samples are judged at this moment. */
	describeTerms(): FreshnessTerms;
	/** A sample was finished here. */
	onReady(sample: Sample): void;
	/** A place is to be drawn anew. */
	onIdle(): void;
	/** A place has changed: more may be drawn or handed over. */
	onChange(): void;
};

/** Makes samples of one step. */
export class SampleMaker {
	readonly #request: StepRequest;
	readonly #context: StepContext;
	readonly #listener: MakerListener;
	/** Tells the attempts of this run of the step from those of another entry. */
	readonly #incarnation = randomUUID().slice(0, 8);
	#outstanding = 0;
	#heldLength = 0;

	constructor(request: StepRequest, context: StepContext, listener: MakerListener) {
		this.#request = request;
		this.#context = context;
		this.#listener = listener;
	}

	/** Attempts under way. */
	get outstanding(): number {
		return this.#outstanding;
	}

	/** Text held, in characters. */
	get heldLength(): number {
		return this.#heldLength;
	}

	/** Dispatches an attempt. */
	draw(slot: Slot): void {
		slot.draws += 1;
		const number = slot.draws;
		if (slot.state === 'idle') {
			slot.state = 'drawing';
			slot.startedAt = performance.now();
		}

		this.#outstanding += 1;
		const {dispatcher} = this.#context;
		// A second attempt beside a slow one would be as slow where that one runs.
		const avoid = [...slot.drawings.values()].flatMap(({endpoints}) => endpoints);
		const order = {
			request: this.#request, place: slot.place, attempt: `${this.#incarnation}-${number}`, avoid,
		};
		slot.drawings.set(number, drawSample(dispatcher, order, {
			onFinished: draft => {
				void this.#finish(slot, number, draft);
			},
			onFailed: problem => {
				this.#fail(slot, number, problem);
			},
		}));
	}

	/** Keeps a sample until it is released; attempts at its place are stopped. */
	hold(slot: Slot, sample: Sample): void {
		this.release(slot);
		slot.sample = sample;
		slot.state = 'ready';
		this.#addHeld(sample.text.length);
	}

	/** Stops attempts at a place and lets go of its sample. */
	release(slot: Slot): void {
		this.#outstanding -= slot.drawings.size;
		cancelDrawings(slot);
		this.#addHeld(-(slot.sample?.text.length ?? 0));
		slot.sample = undefined;
	}

	/** Gives up what is too stale for the trainer, finished or not; true if it was. */
	giveUpIfStale(slot: Slot): boolean {
		const {id, model} = {id: formatPlace(this.#request, slot.place), model: this.#request.model};
		const dated: Dated[] = slot.sample ? [slot.sample] : [...slot.drawings.values()].map(({draft: {versions}}) => ({id, model, versions}));
		const terms = this.#listener.describeTerms();
		// Attempts race, so a place is given up when none of them can be handed over any more.
		if (dated.length === 0 || dated.some(one => isFresh(one, terms))) {
			return false;
		}

		this.#context.metrics.recordRedrawn(this.#request, 'stale', slot.sample !== undefined);
		this.release(slot);
		slot.state = 'idle';
		slot.isHandedOver = false;
		this.#listener.onIdle();
		return true;
	}

	#addHeld(length: number): void {
		this.#heldLength += length;
		this.#context.held.length += length;
	}

	async #finish(slot: Slot, number: number, draft: Draft): Promise<void> {
		const {invariants, scorer, clock, decisions} = this.#context;
		const sample = this.#createSample(slot, number, draft);
		for (const {version} of draft.versions) {
			clock.note(this.#request.model, version);
		}

		if (draft.tokens === 0 || !invariants.checkVersionsNamed(sample)) {
			this.#fail(slot, number);
			return;
		}

		decisions.noteFinished(this.#request, slot, draft.tokens);
		this.hold(slot, sample);
		// What is stale already need not be scored.
		if (this.giveUpIfStale(slot)) {
			this.#listener.onChange();
			return;
		}

		slot.state = 'scoring';
		const score = await scorer.score(sample, this.#request.profile);
		// Meanwhile it may have been acknowledged, given up or replaced.
		if (slot.sample !== sample || slot.state !== 'scoring') {
			return;
		}

		slot.sample = score ? {...sample, score} : sample;
		slot.state = 'ready';
		this.#listener.onReady(slot.sample);
		this.#listener.onChange();
	}

	#createSample({place, group}: Slot, attempt: number, {text, tokens, versions}: Draft): Sample {
		const {id: step, groupSize, model} = this.#request;
		return {
			id: formatPlace(this.#request, place), step, group, index: place % groupSize, attempt, model, versions, text, tokens,
		};
	}

	#fail(slot: Slot, number: number, problem?: Problem): void {
		slot.drawings.delete(number);
		this.#outstanding -= 1;
		// Another attempt at the place may still finish.
		if (slot.drawings.size > 0) {
			return;
		}

		if (problem && finalProblems.has(problem.kind)) {
			slot.state = 'failed';
			slot.problem = problem;
			this.#listener.onChange();
			return;
		}

		this.#context.metrics.recordRedrawn(this.#request, 'failed');
		this.#drawLater(slot, Math.max(redrawMs, problem?.retryAfterMs ?? 0));
	}

	#drawLater(slot: Slot, waitMs: number): void {
		slot.state = 'idle';
		const jitteredMs = waitMs * (1 + this.#context.random.next());
		slot.notBefore = performance.now() + jitteredMs;
		this.#listener.onIdle();
		setTimeout(() => {
			this.#listener.onChange();
		}, jitteredMs).unref();
	}
}
