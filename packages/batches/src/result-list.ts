/**
 * The results of one share of a batch, each at the position at which the store has it.
 *
 * A result is shown only once the store has it. All shares of a batch append to one list: each transaction expects the end that was just
 * read, so that positions follow one another whoever writes. The end tells how many results each share has listed; while that differs from what is
 * known here, as after a lost answer, nothing more is written before the missing ones are found.
 */
import PQueue from 'p-queue';
import {describeError, type Log, type LogValue} from '@wasabiusher/shared';
import type {SampleResult, StoredBatch} from './batch.js';
import {maxWriteBytes, type BatchStore, type ResultEnd} from './batch-store.js';
import {BatchError} from './errors.js';
import {pause} from './pause.js';
import type {PositionedResult} from './result-rows.js';

/** Least pause between transactions of one batch, in milliseconds: results that come together go together. */
const commitPauseMs = 10;

/** Pause after a commit that could not be made, in milliseconds. */
const commitRetryMs = 100;

/** Most results of one transaction: with the rows of the batch and its end, conditions and writes stay under 100 entries. */
const maxCommitResults = 20;

export type ResultListSettings = {
	store: BatchStore;
	log: Log;
	batch: string;
	/** Which of the batch's shares it is. */
	share: number;
	/** Whether other processes append to the batch's results as well. */
	isShared: boolean;
	/** Ids of the samples of this share. */
	samples: ReadonlySet<string>;
	/** Aborts when the share stops here; nothing is written after that. */
	signal: AbortSignal;
	/** The version of the batch's row as last known. */
	findVersion(): number;
	/** Called with the batch's row, which has perhaps changed; undefined if it is gone. */
	onConflict(found: StoredBatch | undefined): void;
	/** Called when every sample of the share has its result. */
	onWhole(): void;
};

/** The results of one share. */
export class ResultList {
	readonly #settings: ResultListSettings;
	/** Results of this share that the store has, in the order of their positions. */
	readonly #results: SampleResult[] = [];
	readonly #listed = new Set<string>();
	#waiting: SampleResult[] = [];
	/** What the log says of results once they are listed. */
	readonly #notes = new Map<string, {addedAt: number; values: Readonly<Record<string, LogValue>>}>();
	readonly #commits = new PQueue({concurrency: 1});
	readonly #watchers = new Set<() => void>();
	/** Where the results end, as far as nobody else can have moved it. */
	#end: ResultEnd | undefined;
	#isClosed = false;

	/** @param results - those of this share that the store has already */
	constructor(settings: ResultListSettings, results: readonly PositionedResult[]) {
		this.#settings = settings;
		for (const {position, result} of results) {
			this.#list(result, position);
		}
	}

	/** Results of this share that the store has, in the order of their positions. */
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
		if (this.#listed.has(result.id)) {
			return;
		}

		this.#waiting.push(result);
		this.#notes.set(result.id, {addedAt: performance.now(), values});
		void this.#commits.add(async () => this.#commit());
	}

	/** Resolves when results come after a position, when the batch stops here, or after a time. */
	async waitBeyond(position: number, waitMs: number): Promise<void> {
		if (this.#results.length > position || this.#isOver || waitMs <= 0) {
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

	/** Writes nothing more. */
	close(): void {
		this.#isClosed = true;
	}

	/** Answers all who wait. */
	notify(): void {
		for (const watcher of this.#watchers) {
			watcher();
		}
	}

	async #commit(): Promise<void> {
		while (this.#waiting.length > 0 && !this.#isOver) {
			// One transaction after the other, so that positions follow one another.
			// eslint-disable-next-line no-await-in-loop
			await pause(commitPauseMs);
			// eslint-disable-next-line no-await-in-loop
			await this.#commitOnce();
		}
	}

	get #isOver(): boolean {
		return this.#isClosed || this.#settings.signal.aborted;
	}

	async #commitOnce(): Promise<void> {
		const {log, batch} = this.#settings;
		try {
			const end = await this.#findEnd();
			const taken = this.#takeCommit();
			if (taken.length > 0 && !this.#isOver) {
				await this.#append(end, taken);
			}
		} catch (error) {
			log.warn('commit_failed', {batch, results: this.#waiting.length, reason: describeError(error)});
			await pause(commitRetryMs);
		}
	}

	/**
	 * Where the results end, once all that this share has listed is known here. A transaction whose answer was lost has either moved the end, and
	 * its results are found, or it expects the same end as the next one, and only one of both can take effect.
	 */
	async #findEnd(): Promise<ResultEnd> {
		const {store, batch, share, isShared} = this.#settings;
		if (this.#end && !isShared) {
			return this.#end;
		}

		const end = await store.readEnd(batch);
		if ((end.listed[share] ?? 0) !== this.#results.length) {
			await this.#findMissing(end);
		}

		return end;
	}

	/** Finds results of this share that were listed without this process's knowledge. */
	async #findMissing({listed, next}: ResultEnd): Promise<void> {
		const {store, batch, share, samples} = this.#settings;
		for (const {position, result} of await store.readAllResults(batch)) {
			if (samples.has(result.id) && !this.#listed.has(result.id)) {
				this.#list(result, position);
			}
		}

		this.#settle();
		if (listed[share] !== this.#results.length) {
			throw new BatchError('unavailable', `of ${next} results of batch ${batch} share ${share} has ${listed[share] ?? 0}, found were ${this.#results.length}`);
		}
	}

	async #append(end: ResultEnd, results: readonly SampleResult[]): Promise<void> {
		const {store, batch, share, findVersion, onConflict} = this.#settings;
		this.#end = undefined;
		const written = await store.appendResults({
			batch, share, version: findVersion(), end, results,
		});
		if (!written) {
			// The row or the end has changed; a row that was ended or given to another process closes this list.
			onConflict(await store.find(batch));
			return;
		}

		this.#end = written;
		for (const [i, result] of results.entries()) {
			this.#list(result, end.next + i);
		}

		this.#settle();
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

	#list(result: SampleResult, position: number): void {
		this.#results.push(result);
		this.#listed.add(result.id);
		const note = this.#notes.get(result.id);
		if (note) {
			this.#notes.delete(result.id);
			this.#settings.log.info('result_listed', {
				batch: this.#settings.batch, sample: result.id, position, state: result.state, ...note.values,
				committedMs: Math.round(performance.now() - note.addedAt),
			});
		}
	}

	/** Forgets what is listed by now, and tells those who wait. */
	#settle(): void {
		const {log, batch, samples: {size: total}, onWhole} = this.#settings;
		this.#waiting = this.#waiting.filter(result => !this.#listed.has(result.id));
		if (this.#results.length === total) {
			log.info('share_whole', {batch, total});
			onWhole();
		}

		this.notify();
	}
}
