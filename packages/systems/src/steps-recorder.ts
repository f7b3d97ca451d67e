/**
 * Keeps the record of one step while this process owns it.
 *
 * Recording is beside the path of delivery: samples are handed over whether they are recorded or not, and what
 * could not be recorded yet waits here. Ownership is a lease; each commit checks it and carries its fence.
 */
import {
	RecordError, type LeaseHolder, type SampleLog,
} from '@wasabiusher/record';
import {describeError, type Log, type Sample} from '@wasabiusher/shared';
import {SampleSet} from './steps-cursor.js';
import {parsePlace} from './steps-request.js';
import type {Step} from './steps-step.js';

/** Most samples of one commit; at a few kilobytes each, an object of about a megabyte. */
const maxBatch = 256;

/** Acknowledgements alone are written this often, in milliseconds; the trainer's cursor is ahead of them anyway. */
const acknowledgementMs = 5000;

export type RecorderSettings = {
	step: Step;
	samples: SampleLog;
	lease: LeaseHolder;
	log: Log;
	/** The step is run by another process, or is another step: it must not be run here. */
	onLost(): void;
};

/** Records one step. */
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

	/** Tries for the step's lease; a step that the trainer has whole needs no owner. */
	start(): void {
		this.#isClosed = this.#settings.step.isWhole;
		if (!this.#isClosed) {
			this.#settings.lease.start();
		}
	}

	/** A sample was finished here. */
	note(sample: Sample): void {
		this.#pending.push(sample);
		void this.advance();
	}

	/** Writes what is to be written; one commit at a time. Never rejects. */
	async advance(): Promise<void> {
		this.#running ??= this.#run().finally(() => {
			this.#running = undefined;
		});
		return this.#running;
	}

	/** Writes what is left, if the store allows, and lets another process own the step. */
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
			// While a trainer pulls here the step goes on here: it may be that only this entry can be reached by it.
			if (lease.hasLiveRival && step.unpulledMs > 0) {
				onLost();
			}

			return;
		}

		try {
			await this.#open();
			await this.#write();
		} catch (error) {
			// What is not known to be written is read again before the next commit.
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

	/** Takes over what an earlier owner has written; under the same fence nobody else has. */
	async #restore(): Promise<void> {
		const {samples, step} = this.#settings;
		const recorded = await samples.read();
		step.restore(await samples.readSamples(), SampleSet.parse(recorded?.acknowledged ?? '', step.total) ?? []);
	}

	async #write(): Promise<void> {
		const {samples, step, lease} = this.#settings;
		while (lease.holds() && this.#hasWork()) {
			// The trainer has what it acknowledged; only what could still be asked for is worth a write.
			this.#pending = this.#pending.filter(({id}) => !step.acknowledged.has(parsePlace(step.request, id)!));
			const batch = this.#pending.slice(0, maxBatch);
			const acknowledged = step.acknowledged.format();
			// One commit at a time, so that the next one takes all that came meanwhile.
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

		const hasNews = step.acknowledged.format() !== this.#recordedAcknowledgements;
		return this.#pending.length > 0 || step.isWhole || (hasNews && performance.now() - this.#acknowledgedAt >= acknowledgementMs);
	}
}
