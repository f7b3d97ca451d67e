/**
 * The results of one batch in the order of their positions, as the store has them.
 *
 * A result is shown only once the store has it. One transaction follows the other, so that positions do too; after a lost
 * answer what is there is read before anything is written at the next position.
 */
import PQueue from 'p-queue';
import {describeError, type Log, type LogValue} from '@wasabiusher/shared';
import type {SampleResult, StoredBatch} from './batch.js';
import {maxWriteBytes, type BatchStore} from './batch-store.js';
import {BatchError} from './errors.js';
import {pause} from './pause.js';
import type {PositionedResult} from './result-rows.js';

/** Least pause between transactions of one batch, in milliseconds: results that come together go together. */
const commitPauseMs = 10;

/** Pause after a commit that could not be made, in milliseconds. */
const commitRetryMs = 100;

/** Most results of one transaction: with the batch's row, conditions and writes stay under 100 entries. */
const maxCommitResults = 20;

export type ResultListSettings = {
	store: BatchStore;
	log: Log;
	stored: StoredBatch;
	/** Aborts when the batch stops here; nothing is written after that. */
	signal: AbortSignal;
	/** Called when the batch is found to have ended or to have another owner. */
	onReplaced(): void;
	/** Called when every sample has its result. */
	onWhole(): void;
};

/** The results of one batch. */
export class ResultList {
	readonly #settings: ResultListSettings;
	/** Results that the store has, by position. */
	readonly #results: SampleResult[] = [];
	readonly #listed = new Set<string>();
	#waiting: SampleResult[] = [];
	/** What the log says of results once they are listed. */
	readonly #notes = new Map<string, {addedAt: number; values: Readonly<Record<string, LogValue>>}>();
	readonly #commits = new PQueue({concurrency: 1});
	readonly #watchers = new Set<() => void>();

	/** @param results - those that the store has already */
	constructor(settings: ResultListSettings, results: readonly PositionedResult[]) {
		this.#settings = settings;
		for (const {result} of results) {
			this.#list(result);
		}
	}

	/** Results that the store has, in the order of their positions. */
	get all(): readonly SampleResult[] {
		return this.#results;
	}

	/** Whether the store has a sample's result. */
	has(sample: string): boolean {
		return this.#listed.has(sample);
	}

	/**
	 * Lists a result as soon as the store takes it.
	 *
	 * @param values - what the log says of it besides
	 */
	add(result: SampleResult, values: Readonly<Record<string, LogValue>> = {}): void {
		this.#waiting.push(result);
		this.#notes.set(result.id, {addedAt: performance.now(), values});
		void this.#commits.add(async () => this.#commit());
	}

	/** Resolves when results come after a position, when the batch stops here, or after a time. */
	async waitBeyond(position: number, waitMs: number): Promise<void> {
		if (this.#results.length > position || this.#settings.signal.aborted || waitMs <= 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.#watchers.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			this.#watchers.add(finish);
		});
	}

	/** Answers all who wait. */
	notify(): void {
		for (const watcher of this.#watchers) {
			watcher();
		}
	}

	async #commit(): Promise<void> {
		while (this.#waiting.length > 0 && !this.#settings.signal.aborted) {
			// One transaction after the other, so that positions follow one another.
			// eslint-disable-next-line no-await-in-loop
			await pause(commitPauseMs);
			// eslint-disable-next-line no-await-in-loop
			await this.#commitOnce();
		}
	}

	async #commitOnce(): Promise<void> {
		const {store, log, signal, stored: {record: {id}, version}} = this.#settings;
		const first = this.#results.length;
		const batch = this.#takeCommit().map((result, i) => ({position: first + i, result}));
		try {
			const isWritten = await store.commitResults(id, version, batch);
			if (signal.aborted) {
				return;
			}

			if (!isWritten) {
				await this.#reconcile();
				return;
			}

			for (const {result} of batch) {
				this.#list(result);
			}

			this.#settle();
		} catch (error) {
			log.warn('commit_failed', {
				batch: id, first, results: batch.length, reason: describeError(error),
			});
			await pause(commitRetryMs);
			if (error instanceof BatchError && error.code === 'unknown') {
				await this.#reconcileQuietly();
			}
		}
	}

	/** The oldest results that fit into one transaction. */
	#takeCommit(): SampleResult[] {
		const taken: SampleResult[] = [];
		let bytes = 0;
		for (const result of this.#waiting) {
			bytes += result.text.length;
			if (taken.length > 0 && (taken.length >= maxCommitResults || bytes > maxWriteBytes)) {
				break;
			}

			taken.push(result);
		}

		return taken;
	}

	async #reconcileQuietly(): Promise<void> {
		try {
			await this.#reconcile();
		} catch (error) {
			this.#settings.log.info('reconcile_failed', {batch: this.#settings.stored.record.id, reason: describeError(error)});
		}
	}

	/** Finds out why a commit was refused, or whether one whose answer was lost was made after all. */
	async #reconcile(): Promise<void> {
		const {store, onReplaced, stored: {record: {id}, version}} = this.#settings;
		const found = await store.find(id);
		if (found?.version !== version) {
			onReplaced();
			return;
		}

		// Rows beyond what is known here are this owner's own: nobody else may write.
		const more = await store.readResults(id, this.#results.length);
		for (const {result} of more) {
			this.#list(result);
		}

		this.#settle();
	}

	#list(result: SampleResult): void {
		this.#results.push(result);
		this.#listed.add(result.id);
		const note = this.#notes.get(result.id);
		if (note) {
			this.#notes.delete(result.id);
			this.#settings.log.info('result_listed', {
				batch: this.#settings.stored.record.id, sample: result.id, position: this.#results.length - 1, state: result.state, ...note.values,
				committedMs: Math.round(performance.now() - note.addedAt),
			});
		}
	}

	/** Forgets what is listed by now, and tells those who wait. */
	#settle(): void {
		const {log, stored: {record: {id, total}}, onWhole} = this.#settings;
		this.#waiting = this.#waiting.filter(result => !this.#listed.has(result.id));
		if (this.#results.length === total) {
			log.info('batch_whole', {batch: id, total});
			onWhole();
		}

		this.notify();
	}
}
