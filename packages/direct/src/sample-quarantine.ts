/**
 * Holds back a sample whose text crashes the endpoints that generate it.
 *
 * Load pattern: a sample is resumed at another endpoint whenever its run breaks, for as long as it may take. One that crashes its endpoints takes
 * down one after the other. A sample that is open at crashes of others makes progress in between, which clears it.
 */
import type {EndpointRun} from '@wasabiusher/decisions';
import type {Log} from '@wasabiusher/shared';
import {isProvenNotRun} from './call.js';
import {recordBrokenAttempt, type PoisonRequestTracker, type TrackedRequest} from './poison-requests.js';
import type {RestartWatch} from './restart-watch.js';

/** Number of events from which a run shows that the sample doesn't crash its endpoint. */
const minProgressEvents = 8;

export type SampleQuarantineSettings = {
	/** Tracks poison requests; undefined if they aren't tracked. */
	tracker: PoisonRequestTracker | undefined;
	request: TrackedRequest;
	/** When the sample expires, on the monotonic clock. */
	deadlineAt: number;
	/** Aborts when the sample is no longer needed. */
	signal: AbortSignal;
	log: Log;
};

/** A run that broke. */
export type BrokenRun = {run: EndpointRun; events: number; error: unknown; restart: RestartWatch};

/** Reports the runs of one sample to the tracker of poison requests, and waits while the sample is quarantined. */
export class SampleQuarantine {
	readonly #settings: SampleQuarantineSettings;

	constructor(settings: SampleQuarantineSettings) {
		this.#settings = settings;
	}

	/** Time until the sample may run, in milliseconds; undefined if it may run now. */
	findHeldMs(): number | undefined {
		const {tracker, request} = this.#settings;
		return tracker?.findRetryDelayMs(request);
	}

	/** Records that a run begins. */
	recordRun(): void {
		const {tracker, request} = this.#settings;
		tracker?.recordAttempt(request);
	}

	/** Waits for a time in milliseconds, or until the sample expires or is no longer needed. */
	async hold(heldMs: number): Promise<void> {
		const {request, deadlineAt, signal, log} = this.#settings;
		log.info('sample_held', {sample: request.attemptId, heldMs: Math.round(heldMs)});
		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				signal.removeEventListener('abort', finish);
				resolve();
			};

			const timer = setTimeout(finish, Math.max(0, Math.min(heldMs, deadlineAt - performance.now())));
			signal.addEventListener('abort', finish);
		});
	}

	/** Records a run that broke after it had made `events` events: one without progress may have crashed its endpoint. */
	recordBroken({run, events, error, restart}: BrokenRun): void {
		const {tracker, request} = this.#settings;
		if (events < minProgressEvents) {
			recordBrokenAttempt(tracker, {
				run, request, isNotRun: isProvenNotRun(error), hasRestarted: restart.hasRestarted,
			});
		}
	}

	/** Records the number of events that the present run has made. */
	recordProgress(events: number): void {
		if (events === minProgressEvents) {
			this.recordMade();
		}
	}

	/** Records that the text is complete. */
	recordMade(): void {
		const {tracker, request} = this.#settings;
		tracker?.recordFinished(request);
	}
}
