/**
 * Makes the samples of a step: draws and scores them, and redraws samples that failed or became stale.
 *
 * The first attempt that finishes becomes the sample of its position; the other attempts are cancelled and their
 * further output is dropped.
 */
import {randomUUID} from 'node:crypto';
import type {Problem, Random, Sample} from '@wasabiusher/shared';
import type {Dispatcher} from './dispatcher.js';
import type {Invariants} from './invariants.js';
import type {StepDecisions} from './steps-decisions.js';
import {startSampleAttempt, type Draft} from './steps-attempt.js';
import type {StepEndpoints} from './steps-endpoints.js';
import {
	isFresh, type VersionedSample, type FreshnessTerms, type VersionClock,
} from './steps-freshness.js';
import type {StepMetrics} from './steps-metrics.js';
import {formatSampleIdAt, type StepRequest} from './steps-request.js';
import type {Scorer} from './steps-scoring.js';
import {cancelAttempts, type Slot} from './steps-slots.js';

/** Minimum delay before a failed sample is redrawn, in milliseconds. */
const minRedrawDelayMs = 200;

/** Kinds of problems that a redraw would not resolve. */
const permanentProblems = new Set<Problem['kind']>(['bad-request', 'not-found', 'quarantined', 'too-large']);

/** Dependencies and state shared by all steps of a process. */
export type StepContext = {
	dispatcher: Pick<Dispatcher, 'submit'>;
	scorer: Scorer;
	clock: VersionClock;
	invariants: Invariants;
	metrics: StepMetrics;
	random: Random;
	decisions: StepDecisions;
	endpoints: StepEndpoints;
	/** Length of the text held by all steps of the process, in characters. */
	held: {length: number};
};

/** Receives the changes of a step's samples. */
export type MakerListener = {
	/** Returns what the staleness of samples is currently checked against. */
	describeTerms(): FreshnessTerms;
	/** Called with each sample that was finished in this process. */
	onReady(sample: Sample): void;
	/** Called when a sample has to be redrawn. */
	onIdle(): void;
	/** Called when the state of a sample has changed, so that more samples may be drawn or delivered. */
	onChange(): void;
};

/** Makes the samples of one step. */
export class SampleMaker {
	readonly #request: StepRequest;
	readonly #context: StepContext;
	readonly #listener: MakerListener;
	/** Distinguishes the attempts of this run of the step from those of another entry. */
	readonly #incarnation = randomUUID().slice(0, 8);
	#outstanding = 0;
	#heldLength = 0;

	constructor(request: StepRequest, context: StepContext, listener: MakerListener) {
		this.#request = request;
		this.#context = context;
		this.#listener = listener;
	}

	/** Number of running attempts. */
	get outstanding(): number {
		return this.#outstanding;
	}

	/** Length of the held text, in characters. */
	get heldLength(): number {
		return this.#heldLength;
	}

	/** Dispatches an attempt at a sample. */
	startAttempt(slot: Slot): void {
		slot.startedAttempts += 1;
		const number = slot.startedAttempts;
		if (slot.state === 'idle') {
			slot.state = 'drawing';
			slot.startedAt = performance.now();
		}

		this.#outstanding += 1;
		const {dispatcher} = this.#context;
		// A second attempt on the endpoint of a slow first one would be just as slow.
		const avoid = [...slot.attempts.values()].flatMap(({endpoints}) => endpoints);
		const options = {
			request: this.#request, position: slot.position, attempt: `${this.#incarnation}-${number}`, avoid,
		};
		slot.attempts.set(number, startSampleAttempt(dispatcher, options, {
			onFinished: draft => {
				void this.#finish(slot, number, draft);
			},
			onFailed: problem => {
				this.#fail(slot, number, problem);
			},
		}));
	}

	/** Holds a sample until it is released, and cancels the attempts at its position. */
	hold(slot: Slot, sample: Sample): void {
		this.release(slot);
		slot.sample = sample;
		slot.state = 'ready';
		this.#addHeldLength(sample.text.length);
	}

	/** Cancels the attempts at a position and releases its sample. */
	release(slot: Slot): void {
		this.#outstanding -= slot.attempts.size;
		cancelAttempts(slot);
		this.#addHeldLength(-(slot.sample?.text.length ?? 0));
		slot.sample = undefined;
	}

	/** Discards a finished or unfinished sample that is too stale for the trainer; returns whether it was. */
	discardIfStale(slot: Slot): boolean {
		const {id, model} = {id: formatSampleIdAt(this.#request, slot.position), model: this.#request.model};
		const versioned: VersionedSample[] = slot.sample ? [slot.sample] : [...slot.attempts.values()].map(({draft: {versions}}) => ({id, model, versions}));
		const terms = this.#listener.describeTerms();
		// Attempts race, so they are discarded only when none of them can be delivered any more.
		if (versioned.length === 0 || versioned.some(candidate => isFresh(candidate, terms))) {
			return false;
		}

		this.#context.metrics.recordRedrawn(this.#request, 'stale', slot.sample !== undefined);
		this.release(slot);
		slot.state = 'idle';
		slot.isHandedOver = false;
		this.#listener.onIdle();
		return true;
	}

	#addHeldLength(length: number): void {
		this.#heldLength += length;
		this.#context.held.length += length;
	}

	async #finish(slot: Slot, number: number, draft: Draft): Promise<void> {
		const {invariants, scorer, clock, decisions} = this.#context;
		const sample = this.#createSample(slot, number, draft);
		for (const {version} of draft.versions) {
			clock.record(this.#request.model, version);
		}

		if (draft.tokens === 0 || !invariants.checkVersionsNamed(sample)) {
			this.#fail(slot, number);
			return;
		}

		decisions.recordFinishedSample(this.#request, slot, draft.tokens);
		this.hold(slot, sample);
		// A sample that is already stale is not scored.
		if (this.discardIfStale(slot)) {
			this.#listener.onChange();
			return;
		}

		slot.state = 'scoring';
		const score = await scorer.score(sample, this.#request.profile);
		// The sample may have been acknowledged, discarded or replaced while it was scored.
		if (slot.sample !== sample || slot.state !== 'scoring') {
			return;
		}

		slot.sample = score ? {...sample, score} : sample;
		slot.state = 'ready';
		this.#listener.onReady(slot.sample);
		this.#listener.onChange();
	}

	#createSample({position, group}: Slot, attempt: number, {text, tokens, versions}: Draft): Sample {
		const {id: step, groupSize, model} = this.#request;
		return {
			id: formatSampleIdAt(this.#request, position), step, group, index: position % groupSize, attempt, model, versions, text, tokens,
		};
	}

	#fail(slot: Slot, number: number, problem?: Problem): void {
		slot.attempts.delete(number);
		this.#outstanding -= 1;
		// Another attempt at this position may still finish.
		if (slot.attempts.size > 0) {
			return;
		}

		if (problem && permanentProblems.has(problem.kind)) {
			slot.state = 'failed';
			slot.problem = problem;
			this.#listener.onChange();
			return;
		}

		this.#context.metrics.recordRedrawn(this.#request, 'failed');
		this.#redrawLater(slot, Math.max(minRedrawDelayMs, problem?.retryAfterMs ?? 0));
	}

	#redrawLater(slot: Slot, waitMs: number): void {
		slot.state = 'idle';
		const jitteredMs = waitMs * (1 + this.#context.random.next());
		slot.notBefore = performance.now() + jitteredMs;
		this.#listener.onIdle();
		setTimeout(() => {
			this.#listener.onChange();
		}, jitteredMs).unref();
	}
}
