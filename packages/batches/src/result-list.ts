/**
 * The results of one share of a batch, each at the position at which the store has it.
 *
 * A result is shown only once the store has it. All shares of a batch append to one list: each transaction expects the end that was just
 * read, so that positions follow one another whoever writes. The end tells how many results each share has listed; while that differs from what is
 * known here, as after a lost answer, nothing more is written before the missing ones are found.
 */
import PQueue from 'p-queue';
import {PlatformError} from '@wasabiusher/backends';
import type {CommitDemand} from '@wasabiusher/decisions';
import {
	describeError, RepeatedFailures, type Log, type LogValue,
} from '@wasabiusher/shared';
import type {Sample, SampleResult, StoredBatch} from './batch.js';
import type {BatchStore, ResultEnd} from './batch-store.js';
import type {CommitDesk, CommitOutcome, Committer} from './commit-desk.js';
import {BatchError} from './errors.js';
import {pause} from './pause.js';
import {PendingResults} from './pending-results.js';
import type {PositionedResult} from './result-rows.js';

/** Least pause between transactions of one batch, in milliseconds: results that come together go together. */
const commitPauseMs = 10;

/** Pause after a commit that could not be made, in milliseconds. */
const commitRetryMs = 100;

export type ResultListSettings = {
	store: BatchStore;
	log: Log;
	batch: string;
	/** Which of the batch's shares it is. */
	share: number;
	/** Whether other processes append to the batch's results as well. */
	isShared: boolean;
	/** Samples of this share. */
	samples: readonly Sample[];
	/** Where the process's results go to the store; without it each list writes as it comes. */
	desk?: CommitDesk;
	/** Aborts when the share stops here; nothing is written after that. */
	signal: AbortSignal;
	/** How urgent the batch's route is; a lower number is more urgent. */
	findPriority?(): number;
	/** The version of the batch's row as last known. */
	findVersion(): number;
	/** Called with the batch's row, which has perhaps changed; undefined if it is gone. */
	onConflict(found: StoredBatch | undefined): void;
	/** Called when every sample of the share has its result. */
	onWhole(): void;
};

/** The results of one share. */
export class ResultList implements Committer {
	readonly batch: string;
	readonly #settings: ResultListSettings;
	/** Results of this share that the store has, in the order of their positions. */
	readonly #results: SampleResult[] = [];
	readonly #listed = new Set<string>();
	readonly #pending: PendingResults;
	readonly #failures: RepeatedFailures;
	readonly #commits = new PQueue({concurrency: 1});
	readonly #watchers = new Set<() => void>();
	/** Where the results end, as far as nobody else can have moved it. */
	#end: ResultEnd | undefined;
	#isClosed = false;

	/** @param results - those of this share that the store has already */
	constructor(settings: ResultListSettings, results: readonly PositionedResult[]) {
		this.#settings = settings;
		this.batch = settings.batch;
		this.#pending = new PendingResults(settings.samples, settings.desk !== undefined);
		this.#failures = new RepeatedFailures({log: settings.log, event: 'commit_failed', overEvent: 'commits_resumed'});
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

	/** Samples of a sample's group that the store has no result of. */
	countLacking(sample: string): number {
		return this.#pending.countLacking(sample);
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

		this.#pending.add(result, values);
		if (this.#settings.desk) {
			this.#settings.desk.ask(this);
		} else {
			void this.#commits.add(async () => this.#commitAll());
		}
	}

	/** What the next transaction would gain; undefined if nothing waits or nothing may be written any more. */
	findDemand(): CommitDemand | undefined {
		return this.#isOver ? undefined : this.#pending.findDemand(this.#settings.findPriority?.() ?? 0);
	}

	/** Writes what is worth most of what waits, in one transaction; never rejects. */
	async commit(): Promise<CommitOutcome> {
		try {
			const end = await this.#findEnd();
			const taken = this.#pending.plan();
			const isWritten = taken.length === 0 || this.#isOver || await this.#append(end, taken.map(({result}) => result));
			this.#failures.recover();
			return isWritten ? 'written' : 'raced';
		} catch (error) {
			this.#failures.record({batch: this.batch, results: this.#pending.size, reason: describeError(error)});
			return isLimited(error) ? 'limited' : 'failed';
		}
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
		this.#settings.desk?.leave(this);
	}

	/** Answers all who wait. */
	notify(): void {
		for (const watcher of this.#watchers) {
			watcher();
		}
	}

	async #commitAll(): Promise<void> {
		while (this.#pending.size > 0 && !this.#isOver) {
			// One transaction after the other, so that positions follow one another.
			// eslint-disable-next-line no-await-in-loop
			await pause(commitPauseMs);
			// eslint-disable-next-line no-await-in-loop
			const outcome = await this.commit();
			if (outcome === 'limited' || outcome === 'failed') {
				// eslint-disable-next-line no-await-in-loop
				await pause(commitRetryMs);
			}
		}
	}

	get #isOver(): boolean {
		return this.#isClosed || this.#settings.signal.aborted;
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
		const {store, batch, share} = this.#settings;
		for (const {position, result} of await store.readAllResults(batch)) {
			if (this.#pending.isOwn(result.id) && !this.#listed.has(result.id)) {
				this.#list(result, position);
			}
		}

		this.#settle();
		if (listed[share] !== this.#results.length) {
			throw new BatchError('unavailable', `of ${next} results of batch ${batch} share ${share} has ${listed[share] ?? 0}, found were ${this.#results.length}`);
		}
	}

	/** Returns whether they were written; otherwise something has changed that was expected. */
	async #append(end: ResultEnd, results: readonly SampleResult[]): Promise<boolean> {
		const {store, batch, share, findVersion, onConflict} = this.#settings;
		this.#end = undefined;
		const written = await store.appendResults({
			batch, share, version: findVersion(), end, results,
		});
		if (!written) {
			// The row or the end has changed; a row that was ended or given to another process closes this list.
			onConflict(await store.find(batch));
			return false;
		}

		this.#end = written;
		for (const [i, result] of results.entries()) {
			this.#list(result, end.next + i);
		}

		this.#settle();
		return true;
	}

	#list(result: SampleResult, position: number): void {
		this.#results.push(result);
		this.#listed.add(result.id);
		const pending = this.#pending.settle(result.id);
		if (pending) {
			this.#settings.log.info('result_listed', {
				batch: this.batch, sample: result.id, position, state: result.state, ...pending.values,
				committedMs: Math.round(performance.now() - pending.addedAt),
			});
		}
	}

	/** Tells those who wait that more is listed. */
	#settle(): void {
		const {log, batch, samples: {length: total}, onWhole} = this.#settings;
		if (this.#results.length === total) {
			log.info('share_whole', {batch, total});
			onWhole();
		}

		this.notify();
	}
}

/** Whether the store has refused a call beyond its rates. */
function isLimited(error: unknown): boolean {
	return error instanceof BatchError && error.cause instanceof PlatformError && error.cause.code === 'limited';
}
