/**
 * Writes the record of one step while this process owns the step.
 *
 * Recording is not on the delivery path: samples are delivered whether they are recorded or not, and samples that
 * could not be recorded yet are queued here. Ownership is a lease; each commit checks it and carries its fence.
 */
import {
	RecordError, type LeaseHolder, type SampleLog,
} from '@wasabiusher/record';
import {describeError, type Log, type Sample} from '@wasabiusher/shared';
import {SampleSet} from './steps-cursor.js';
import {findPosition} from './steps-request.js';
import type {Step} from './steps-step.js';

/** Maximum number of samples in one commit; at a few kilobytes each, an object of about one megabyte. */
const maxCommitSamples = 256;

/** Minimum interval between commits that contain acknowledgements only, in milliseconds; the trainer's cursor is always more recent than the record. */
const acknowledgementIntervalMs = 5000;

export type RecorderSettings = {
	step: Step;
	samples: SampleLog;
	lease: LeaseHolder;
	log: Log;
	/** Called when another process runs the step, or the record holds a different step under its id: the step must not be run here. */
	onLost(): void;
};

/** The recorder of one step. */
export class StepRecorder {
	readonly #settings: RecorderSettings;
	#pending: Sample[] = [];
	#recordedAcknowledgements = '';
	#acknowledgedAt = performance.now();
	#isOpen = false;
	#lastFence = 0;
	#isClosed = false;
	#running: Promise<void> | undefined;

	constructor(settings: RecorderSettings) {
		this.#settings = settings;
	}

	/** Starts to acquire the step's lease; a step that the trainer has received whole needs no owner. */
	start(): void {
		this.#isClosed = this.#settings.step.isWhole;
		if (!this.#isClosed) {
			this.#settings.lease.start();
		}
	}

	/** Queues a sample that was finished in this process. */
	record(sample: Sample): void {
		this.#pending.push(sample);
		void this.advance();
	}

	/** Writes the queued samples and acknowledgements, one commit at a time. Never rejects. */
	async advance(): Promise<void> {
		this.#running ??= this.#run().finally(() => {
			this.#running = undefined;
		});
		return this.#running;
	}

	/** Writes what is queued, if the store is available, and releases the lease so that another process can own the step. */
	async release(): Promise<void> {
		await this.advance();
		await this.#settings.lease.release();
	}

	/** Stops without writing. */
	stop(): void {
		this.#isClosed = true;
		this.#settings.lease.stop();
	}

	async #run(): Promise<void> {
		const {lease, step, log, onLost} = this.#settings;
		if (this.#isClosed) {
			return;
		}

		if (!lease.holds()) {
			step.isRecorded = false;
			this.#isOpen = false;
			// While a trainer pulls from this entry, the step continues here: this may be the only entry that the trainer can reach.
			if (lease.hasLiveRival && step.msSinceLastPull > 0) {
				onLost();
			}

			return;
		}

		try {
			await this.#open();
			await this.#write();
		} catch (error) {
			// The outcome of the write may be unknown, so the record is read again before the next commit.
			this.#isOpen = false;
			log.warn('step_not_recorded', {step: step.request.id, reason: describeError(error)});
			if (error instanceof RecordError && error.code === 'conflict') {
				onLost();
			}
		}
	}

	async #open(): Promise<void> {
		const {samples, step, lease} = this.#settings;
		if (this.#isOpen) {
			return;
		}

		await samples.open({fingerprint: step.fingerprint, fence: lease.fence, request: step.request});
		if (lease.fence !== this.#lastFence) {
			await this.#restore();
			this.#lastFence = lease.fence;
		}

		this.#isOpen = true;
		step.isRecorded = true;
	}

	/** Restores what an earlier owner has written; needed only under a new fence, since no other process writes under this one. */
	async #restore(): Promise<void> {
		const {samples, step} = this.#settings;
		const recorded = await samples.read();
		step.restore(await samples.readSamples(), SampleSet.parse(recorded?.acknowledged ?? '', step.total) ?? []);
	}

	async #write(): Promise<void> {
		const {samples, step, lease} = this.#settings;
		while (lease.holds() && this.#hasWork()) {
			// The trainer has the samples that it acknowledged; only samples that it may still request are written.
			this.#pending = this.#pending.filter(({id}) => !step.acknowledged.has(findPosition(step.request, id)!));
			const batch = this.#pending.slice(0, maxCommitSamples);
			const acknowledged = step.acknowledged.format();
			// One commit at a time, so that the next one includes everything that was queued in the meantime.
			// eslint-disable-next-line no-await-in-loop
			await (step.isWhole ? samples.close(acknowledged) : samples.append(batch, acknowledged));
			this.#pending = this.#pending.filter(sample => !batch.includes(sample));
			this.#recordedAcknowledgements = acknowledged;
			this.#acknowledgedAt = performance.now();
			if (step.isWhole) {
				this.#isClosed = true;
				void lease.release();
			}
		}
	}

	#hasWork(): boolean {
		const {step} = this.#settings;
		if (this.#isClosed) {
			return false;
		}

		const hasNewAcknowledgements = step.acknowledged.format() !== this.#recordedAcknowledgements;
		return this.#pending.length > 0 || step.isWhole || (hasNewAcknowledgements && performance.now() - this.#acknowledgedAt >= acknowledgementIntervalMs);
	}
}
