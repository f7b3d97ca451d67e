/**
 * The results of one share of a batch, each at the position at which the store has it.
 *
 * A result is shown only once the store has it. All shares of a batch append to one list: each transaction expects the end that was just
 * read, so that positions follow one another whoever writes. After a lost answer nothing is written again before it is known what became of it.
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
	/** Whether other processes append to the batch's results as well. */
	isShared: boolean;
	/** Samples of this share. */
	total: number;
	/** Aborts when the share stops here; nothing is written after that. */
	signal: AbortSignal;
	/** The version of the batch's row as last known. */
	findVersion(): number;
	/** Called with the batch's row, which has perhaps changed; undefined if it is gone. */
	onConflict(found: StoredBatch | undefined): void;
	/** Called when every sample of the share has its result. */
	onWhole(): void;
};

/** A transaction that may still take effect: its answer was lost and the end that it expects has not changed since. */
type Doubt = ResultEnd;

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
	#doubt: Doubt | undefined;
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

	/** Where the results end; a transaction in doubt is settled once the end tells that it can take effect no more. */
	async #findEnd(): Promise<ResultEnd> {
		const {store, batch, isShared} = this.#settings;
		if (this.#end && !isShared) {
			return this.#end;
		}

		const end = await store.readEnd(batch);
		if (this.#doubt && end.version !== this.#doubt.version) {
			await this.#settleDoubt(this.#doubt, end.next);
		}

		return end;
	}

	/** Finds out what of this share was listed from a position on. */
	async #settleDoubt({next: from}: Doubt, to: number): Promise<void> {
		const {store, batch} = this.#settings;
		let position = from;
		while (position < to) {
			// Each page begins where the one before has ended.
			// eslint-disable-next-line no-await-in-loop
			const page = await store.readResults(batch, position);
			for (const {position: at, result} of page.filter(({result: {id}}) => this.#isWaiting(id))) {
				this.#list(result, at);
			}

			position = page.length === 0 ? to : page.at(-1)!.position + 1;
		}

		this.#doubt = undefined;
		this.#settle();
	}

	#isWaiting(id: string): boolean {
		return this.#waiting.some(result => result.id === id);
	}

	async #append(end: ResultEnd, results: readonly SampleResult[]): Promise<void> {
		const {store, batch, findVersion, onConflict} = this.#settings;
		this.#end = undefined;
		let written: ResultEnd | undefined;
		try {
			written = await store.appendResults({
				batch, version: findVersion(), end, results,
			});
		} catch (error) {
			if (error instanceof BatchError && error.code === 'unknown') {
				this.#doubt = end;
			}

			throw error;
		}

		if (!written) {
			// The row or the end has changed; a row that was ended or given to another process closes this list.
			onConflict(await store.find(batch));
			return;
		}

		this.#end = written;
		this.#doubt = undefined;
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
		const {log, batch, total, onWhole} = this.#settings;
		this.#waiting = this.#waiting.filter(result => !this.#listed.has(result.id));
		if (this.#results.length === total) {
			log.info('share_whole', {batch, total});
			onWhole();
		}

		this.notify();
	}
}
