/**
 * Writes the unfinished texts of one share down, so that a next owner goes on from there.
 *
 * One transaction at a time, of the texts that would cost most to make again. A text counts as written only if the store has said so: a row that has
 * changed refuses the whole transaction, and texts beyond its size stay for the next one.
 */
import {orderCheckpoint} from '@wasabiusher/decisions';
import {describeError, RepeatedFailures, type Log} from '@wasabiusher/shared';
import type {StoredBatch} from './batch.js';
import type {BatchStore, PartialTexts} from './batch-store.js';
import type {CheckpointBudget} from './checkpoint-budget.js';

/** Time between writes of unfinished texts, in milliseconds; so much work is lost with an owner. */
const checkpointMs = 700;

export type CheckpointsSettings = {
	store: BatchStore;
	log: Log;
	batch: string;
	budget: CheckpointBudget;
	/** The version of the batch's row as last known. */
	findVersion(): number;
	/** Texts that are not whole yet. */
	listPartials(): PartialTexts;
	/** Samples of a sample's group that have no written result. */
	countLacking(sample: string): number;
	/** Called with the batch's row, which has changed; undefined if it is gone. */
	onConflict(found: StoredBatch | undefined): void;
};

/** Keeps what one share has made so far. */
export class Checkpoints {
	readonly #settings: CheckpointsSettings;
	/** Events of each text that the store has. */
	readonly #written = new Map<string, number>();
	readonly #failures: RepeatedFailures;
	#timer: NodeJS.Timeout | undefined;
	#isWriting = false;
	#isStopped = false;

	constructor(settings: CheckpointsSettings) {
		this.#settings = settings;
		this.#failures = new RepeatedFailures({log: settings.log, event: 'checkpoint_failed', overEvent: 'checkpoints_resumed'});
	}

	start(): void {
		this.#timer = setInterval(() => {
			void this.write();
		}, checkpointMs);
	}

	stop(): void {
		this.#isStopped = true;
		clearInterval(this.#timer);
	}

	/** Writes what is worth most, if anything has grown; never rejects. */
	async write(): Promise<void> {
		const {batch, budget} = this.#settings;
		const texts = this.#planTexts();
		const {bytes} = budget;
		if (texts.size === 0 || bytes === 0 || this.#isWriting || this.#isStopped) {
			return;
		}

		this.#isWriting = true;
		try {
			await this.#writeTexts(texts, bytes);
			this.#failures.recover();
		} catch (error) {
			this.#failures.record({batch, texts: texts.size, reason: describeError(error)});
		} finally {
			this.#isWriting = false;
		}
	}

	/** Texts that have grown, in the order of their worth. */
	#planTexts(): PartialTexts {
		const {listPartials, countLacking} = this.#settings;
		const partials = listPartials();
		const ids = orderCheckpoint([...partials].map(([id, {events}]) => ({
			id, events: events.length, writtenEvents: this.#written.get(id) ?? 0, lacking: countLacking(id),
		})));
		return new Map(ids.map(id => [id, partials.get(id)!]));
	}

	async #writeTexts(texts: PartialTexts, bytes: number): Promise<void> {
		const {store, batch, budget, findVersion, onConflict} = this.#settings;
		const rows = store.preparePartials(batch, texts, bytes);
		if (rows.length === 0) {
			return;
		}

		budget.spend(rows.reduce((sum, {value}) => sum + value.length, 0));
		const isWritten = await store.keepPartials(batch, findVersion(), rows);
		if (!isWritten) {
			const found = await store.find(batch);
			if (!this.#isStopped) {
				onConflict(found);
			}

			return;
		}

		for (const {sample} of rows) {
			this.#written.set(sample, texts.get(sample)!.events.length);
		}
	}
}
