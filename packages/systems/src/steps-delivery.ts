/**
 * Delivers a step's samples to its trainer over one pull.
 *
 * The trainer is the only consumer: samples that it reports as received, and samples delivered on this
 * pull, are not delivered again on this pull. The check does not need the store, so delivery continues while the
 * store is down, and from any entry.
 */
import type {Problem, Sample} from '@wasabiusher/shared';
import type {Invariants} from './invariants.js';
import type {SampleSet} from './steps-cursor.js';
import {describeFreshness, isFresh} from './steps-freshness.js';
import type {StepMetrics} from './steps-metrics.js';
import {formatSampleIdAt, toPosition} from './steps-request.js';
import type {Step} from './steps-step.js';

/** An event of a pull. `whole` is the last event; if the stream ends without it, the trainer should pull again. */
export type Delivery
	= | {kind: 'sample'; sample: Sample; cursor: string}
	/** The sample cannot be made; the trainer must proceed without it. */
		| {kind: 'failed'; id: string; problem: Problem; cursor: string}
		| {kind: 'whole'};

export type PullOptions = {
	/** Samples that the trainer has received; extended as samples are delivered. */
	received: SampleSet;
	/** The trainer's weight version, which staleness is measured against. */
	version: number;
	invariants: Invariants;
	metrics: StepMetrics;
	/** Aborted when the trainer disconnects. */
	signal: AbortSignal;
};

/** Delivers samples until the trainer has the whole step, disconnects or starts another pull, or until the step is no longer run here. */
export async function * pullSamples(step: Step, options: PullOptions): AsyncGenerator<Delivery, void> {
	const {received, version, metrics, signal} = options;
	const pull = step.beginPull(version);
	const stop = AbortSignal.any([signal, pull.signal]);
	try {
		while (!stop.aborted && !step.isDropped) {
			// Read before listing, so that changes that arrive while the trainer reads are not missed.
			const {changeCount} = step;
			yield * listDeliveries(step, options, stop);
			if (step.isWholeWith(received)) {
				yield {kind: 'whole'};
				return;
			}

			const waitingSince = performance.now();
			metrics.trainerTime.record(step.request, true);
			// Each iteration depends on what the previous one delivered.
			// eslint-disable-next-line no-await-in-loop
			await step.waitForChange(changeCount, stop);
			metrics.idle.observe((performance.now() - waitingSince) / 1000);
			if (signal.aborted) {
				metrics.trainerTime.forget(step.request);
			} else {
				metrics.trainerTime.record(step.request, false);
			}
		}
	} finally {
		step.endPull(pull);
	}
}

function * listDeliveries(step: Step, options: PullOptions, stop: AbortSignal): Generator<Delivery, void> {
	const {received, metrics} = options;
	for (const sample of step.listDeliverable(received)) {
		const position = toPosition(step.request, sample.group, sample.index);
		// The trainer may have read the previous sample slowly, so the signal and freshness are checked again.
		if (!stop.aborted && checkDeliverable(step, sample, position, options)) {
			received.add(position);
			step.markHandedOver(position);
			metrics.recordDelivered(step.request, describeFreshness(sample, step.terms).versionsBehind);
			yield {kind: 'sample', sample, cursor: received.format()};
		}
	}

	for (const {position, problem} of stop.aborted ? [] : step.listFailed(received)) {
		received.add(position);
		yield {
			kind: 'failed', id: formatSampleIdAt(step.request, position), problem, cursor: received.format(),
		};
	}
}

/** Checks a sample immediately before delivery; one that became stale since it was listed is left to the next iteration. */
function checkDeliverable(step: Step, sample: Sample, position: number, {received, invariants, metrics}: PullOptions): boolean {
	const freshness = describeFreshness(sample, step.terms);
	if (!isFresh(sample, step.terms)) {
		return false;
	}

	const isDeliverable = invariants.checkFresh(freshness) && invariants.checkVersionsNamed(sample) && invariants.checkDeliveredOnce(sample.id, received.has(position));
	if (isDeliverable && sample.score && 'missing' in sample.score) {
		metrics.unscored.inc();
	}

	return isDeliverable;
}
