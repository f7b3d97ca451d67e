/**
 * Hand-over of a step's samples to its trainer, over one pull.
 *
 * The trainer is the only consumer: the samples that it says it has, and those handed over on this
 * pull, are never handed over on it again. That decides without the store, so delivery goes on while the
 * store is down, and from any entry.
 */
import type {Problem, Sample} from '@wasabiusher/shared';
import type {Invariants} from './invariants.js';
import type {SampleSet} from './steps-cursor.js';
import {describeFreshness, isFresh} from './steps-freshness.js';
import type {StepMetrics} from './steps-metrics.js';
import {formatPlace, toPlace} from './steps-request.js';
import type {Step} from './steps-step.js';

/** What a pull yields. `whole` ends it; an end without it means that the trainer should pull again. */
export type Delivery
	= | {kind: 'sample'; sample: Sample; cursor: string}
	/** The sample can not be made; the trainer must do without it. */
		| {kind: 'failed'; id: string; problem: Problem; cursor: string}
		| {kind: 'whole'};

export type PullOptions = {
	/** What the trainer has; extended as samples are handed over. */
	received: SampleSet;
	/** The trainer's version, by which staleness is judged. */
	version: number;
	invariants: Invariants;
	metrics: StepMetrics;
	/** Aborted when the trainer is gone. */
	signal: AbortSignal;
};

/** Hands over until the trainer has the whole step, is gone, pulls anew, or the step is run elsewhere. */
export async function * pullSamples(step: Step, options: PullOptions): AsyncGenerator<Delivery, void> {
	const {received, version, metrics, signal} = options;
	const pull = step.beginPull(version);
	const stop = AbortSignal.any([signal, pull.signal]);
	try {
		while (!stop.aborted && !step.isDropped) {
			// Counted before the look, so that what comes while the trainer reads is not missed.
			const {changes} = step;
			yield * listDeliveries(step, options, stop);
			if (step.isWholeWith(received)) {
				yield {kind: 'whole'};
				return;
			}

			const waitingSince = performance.now();
			metrics.trainers.note(step.request, true);
			// Each round waits for what the last one has left.
			// eslint-disable-next-line no-await-in-loop
			await step.waitForChange(changes, stop);
			metrics.idle.observe((performance.now() - waitingSince) / 1000);
			if (signal.aborted) {
				metrics.trainers.forget(step.request);
			} else {
				metrics.trainers.note(step.request, false);
			}
		}
	} finally {
		step.endPull(pull);
	}
}

function * listDeliveries(step: Step, options: PullOptions, stop: AbortSignal): Generator<Delivery, void> {
	const {received, metrics} = options;
	for (const sample of step.listDeliverable(received)) {
		const place = toPlace(step.request, sample.group, sample.index);
		// The trainer may have taken its time over the last one.
		if (!stop.aborted && mayHandOver(step, sample, place, options)) {
			received.add(place);
			step.noteHandedOver(place);
			metrics.recordDelivered(step.request, describeFreshness(sample, step.terms).versionsBehind);
			yield {kind: 'sample', sample, cursor: received.format()};
		}
	}

	for (const {place, problem} of stop.aborted ? [] : step.listFailed(received)) {
		received.add(place);
		yield {
			kind: 'failed', id: formatPlace(step.request, place), problem, cursor: received.format(),
		};
	}
}

/** The last look before hand-over; what has turned stale since it was listed is left for the next round. */
function mayHandOver(step: Step, sample: Sample, place: number, {received, invariants, metrics}: PullOptions): boolean {
	const freshness = describeFreshness(sample, step.terms);
	if (!isFresh(sample, step.terms)) {
		return false;
	}

	const mayBe = invariants.checkFresh(freshness) && invariants.checkVersionsNamed(sample) && invariants.checkDeliveredOnce(sample.id, received.has(place));
	if (mayBe && sample.score && 'missing' in sample.score) {
		metrics.unscored.inc();
	}

	return mayBe;
}
