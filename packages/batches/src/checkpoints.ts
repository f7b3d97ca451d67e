/**
 * Writes the incomplete texts of one share to the store, so that a later owner resumes them.
 *
 * There is one transaction at a time, with the texts that would cost most to generate again. A text counts as written only once the store has confirmed it:
 * a changed batch row fails the whole transaction, and texts that do not fit are left for the next one.
 */
import {orderCheckpoint} from '@wasabiusher/decisions';
import {describeError, RepeatedFailures, type Log} from '@wasabiusher/shared';
import type {StoredBatch} from './batch.js';
import type {BatchStore, PartialTexts} from './batch-store.js';
import type {CheckpointBudget} from './checkpoint-budget.js';

/** Time between checkpoints, in milliseconds: the work that is lost if an owner fails. */
const checkpointIntervalMs = 700;

export type CheckpointsSettings = {
	store: BatchStore;
	log: Log;
	batch: string;
	budget: CheckpointBudget;
	/** Returns the version of the batch's row as last known. */
	findVersion(): number;
	/** Returns the incomplete texts by sample id. */
	listPartials(): PartialTexts;
	/** Counts the samples of a sample's group that have no result in the store. */
	countMissing(sample: string): number;
	/** Called with the batch's row after it has changed; undefined if it was deleted. */
	onConflict(found: StoredBatch | undefined): void;
};

/** Writes checkpoints of one share. */
export class Checkpoints {
	readonly #settings: CheckpointsSettings;
	/** Number of events of each text in the store, by sample id. */
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
		}, checkpointIntervalMs);
	}

	stop(): void {
		this.#isStopped = true;
		clearInterval(this.#timer);
	}

	/** Writes the most valuable texts that have grown, if there are any; never rejects. */
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

	/** Returns the texts that have grown, the most valuable first. */
	#planTexts(): PartialTexts {
		const {listPartials, countMissing} = this.#settings;
		const partials = listPartials();
		const ids = orderCheckpoint([...partials].map(([id, {events}]) => ({
			id, events: events.length, writtenEvents: this.#written.get(id) ?? 0, lacking: countMissing(id),
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
		const isWritten = await store.writePartials(batch, findVersion(), rows);
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
