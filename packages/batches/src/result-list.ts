/**
 * Commits the results of one share of a batch, and lists those that the store has by their position.
 *
 * A result becomes readable only once it is in the store. All shares of a batch append to one list: each transaction is conditional on the end that was
 * just read, so that positions are consecutive whichever process writes. The end holds the number of results that each share has listed. While it differs
 * from the number known here, as after a lost answer, nothing more is written before the missing results are read.
 */
import PQueue from 'p-queue';
import {PlatformError} from '@wasabiusher/backends';
import type {CommitDemand} from '@wasabiusher/decisions';
import {
	describeError, RepeatedFailures, type Log, type LogValue,
} from '@wasabiusher/shared';
import type {Sample, SampleResult, StoredBatch} from './batch.js';
import type {BatchStore, ResultEnd} from './batch-store.js';
import type {CommitScheduler, CommitOutcome, Committer} from './commit-scheduler.js';
import {BatchError} from './errors.js';
import {pause} from './pause.js';
import {PendingResults} from './pending-results.js';
import type {PositionedResult} from './result-rows.js';

/** Pause before each transaction, in milliseconds, so that results that arrive together are committed together. */
const commitPauseMs = 10;

/** Pause after a failed commit, in milliseconds. */
const commitRetryMs = 100;

export type ResultListSettings = {
	store: BatchStore;
	log: Log;
	batch: string;
	/** Index of the share within its batch. */
	share: number;
	/** Whether other shares append to the batch's results too. */
	isShared: boolean;
	/** Samples of this share. */
	samples: readonly Sample[];
	/** Schedules the commits of all shares of the process; without it this list commits on its own. */
	commitScheduler?: CommitScheduler;
	/** Aborts when the owner of the share stops; nothing is written after that. */
	signal: AbortSignal;
	/** Returns the priority of the batch's route; a lower number is more urgent. */
	findPriority?(): number;
	/** Returns the version of the batch's row as last known. */
	findVersion(): number;
	/** Called with the batch's row after a condition of a write did not hold; undefined if the row was deleted. */
	onConflict(found: StoredBatch | undefined): void;
	/** Called when the store has a result of every sample of the share. */
	onComplete(): void;
};

/** Result list of one share. */
export class ResultList implements Committer {
	readonly batch: string;
	readonly #settings: ResultListSettings;
	/** Results of this share in the store, by ascending position. */
	readonly #results: SampleResult[] = [];
	readonly #listed = new Set<string>();
	readonly #pending: PendingResults;
	readonly #failures: RepeatedFailures;
	readonly #commits = new PQueue({concurrency: 1});
	readonly #waiters = new Set<() => void>();
	/** End of the list after the last append of this process; undefined if it must be read again. */
	#end: ResultEnd | undefined;
	#isClosed = false;

	/** @param results - results of this share that are already in the store */
	constructor(settings: ResultListSettings, results: readonly PositionedResult[]) {
		this.#settings = settings;
		this.batch = settings.batch;
		this.#pending = new PendingResults(settings.samples, settings.commitScheduler !== undefined);
		this.#failures = new RepeatedFailures({log: settings.log, event: 'commit_failed', overEvent: 'commits_resumed'});
		for (const {position, result} of results) {
			this.#addListed(result, position);
		}
	}

	/** Results of this share in the store, by ascending position. */
	get all(): readonly SampleResult[] {
		return this.#results;
	}

	/** Whether the store has a sample's result. */
	has(sample: string): boolean {
		return this.#listed.has(sample);
	}

	/** Counts the samples of a sample's group that have no result in the store. */
	countMissing(sample: string): number {
		return this.#pending.countMissing(sample);
	}

	/**
	 * Adds a result, which is listed once it is committed. Ignored if the sample is already listed.
	 *
	 * @param logValues - further values of its log line
	 */
	add(result: SampleResult, logValues: Readonly<Record<string, LogValue>> = {}): void {
		if (this.#listed.has(result.id)) {
			return;
		}

		this.#pending.add(result, logValues);
		if (this.#settings.commitScheduler) {
			this.#settings.commitScheduler.schedule(this);
		} else {
			void this.#commits.add(async () => this.#commitAll());
		}
	}

	/** Returns the benefit of the next transaction; undefined if nothing is pending or the list is stopped. */
	findDemand(): CommitDemand | undefined {
		return this.#isStopped ? undefined : this.#pending.findDemand(this.#settings.findPriority?.() ?? 0);
	}

	/** Commits the most useful pending results in one transaction; never rejects. */
	async commit(): Promise<CommitOutcome> {
		try {
			const end = await this.#findEnd();
			const planned = this.#pending.plan();
			const isWritten = planned.length === 0 || this.#isStopped || await this.#append(end, planned.map(({result}) => result));
			this.#failures.recover();
			return isWritten ? 'written' : 'raced';
		} catch (error) {
			this.#failures.record({batch: this.batch, results: this.#pending.size, reason: describeError(error)});
			return isLimited(error) ? 'limited' : 'failed';
		}
	}

	/** Resolves when there are results after a position, when the list is stopped, or after `waitMs` milliseconds. */
	async waitBeyond(position: number, waitMs: number): Promise<void> {
		if (this.#results.length > position || this.#isStopped || waitMs <= 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.#waiters.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			this.#waiters.add(finish);
		});
	}

	/** Stops all writes. */
	close(): void {
		this.#isClosed = true;
		this.#settings.commitScheduler?.remove(this);
	}

	/** Resolves all pending `waitBeyond` calls. */
	notifyWaiters(): void {
		for (const notify of this.#waiters) {
			notify();
		}
	}

	async #commitAll(): Promise<void> {
		while (this.#pending.size > 0 && !this.#isStopped) {
			// Sequential, so that each transaction knows the end that the previous one has written.
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

	get #isStopped(): boolean {
		return this.#isClosed || this.#settings.signal.aborted;
	}

	/**
	 * Returns the end of the list, after reading any listed results of this share that are unknown here. A transaction whose answer was lost has either moved
	 * the end, in which case its results are read, or is conditional on the same end as the next transaction, so that only one of them can take effect.
	 */
	async #findEnd(): Promise<ResultEnd> {
		const {store, batch, share, isShared} = this.#settings;
		if (this.#end && !isShared) {
			return this.#end;
		}

		const end = await store.readEnd(batch);
		if ((end.listed[share] ?? 0) !== this.#results.length) {
			await this.#recoverListed(end);
		}

		return end;
	}

	/** Reads results of this share that are in the store but unknown here. */
	async #recoverListed({listed, next}: ResultEnd): Promise<void> {
		const {store, batch, share} = this.#settings;
		for (const {position, result} of await store.readAllResults(batch)) {
			if (this.#pending.isOfShare(result.id) && !this.#listed.has(result.id)) {
				this.#addListed(result, position);
			}
		}

		this.#handleListed();
		if (listed[share] !== this.#results.length) {
			throw new BatchError('unavailable', `of ${next} results of batch ${batch}, share ${share} has ${listed[share] ?? 0} according to its end, but ${this.#results.length} were read`);
		}
	}

	/** Appends results; returns false if a condition did not hold. */
	async #append(end: ResultEnd, results: readonly SampleResult[]): Promise<boolean> {
		const {store, batch, share, findVersion, onConflict} = this.#settings;
		this.#end = undefined;
		const written = await store.appendResults({
			batch, share, version: findVersion(), end, results,
		});
		if (!written) {
			// The row or the end has changed. If the batch has ended or the share was reassigned, `onConflict` closes this list.
			onConflict(await store.find(batch));
			return false;
		}

		this.#end = written;
		for (const [i, result] of results.entries()) {
			this.#addListed(result, end.next + i);
		}

		this.#handleListed();
		return true;
	}

	#addListed(result: SampleResult, position: number): void {
		this.#results.push(result);
		this.#listed.add(result.id);
		const pending = this.#pending.markListed(result.id);
		if (pending) {
			this.#settings.log.info('result_listed', {
				batch: this.batch, sample: result.id, position, state: result.state, ...pending.logValues,
				committedMs: Math.round(performance.now() - pending.addedAt),
			});
		}
	}

	/** Notifies waiting reads of new results, and the owner when the share is complete. */
	#handleListed(): void {
		const {log, batch, samples: {length: total}, onComplete} = this.#settings;
		if (this.#results.length === total) {
			log.info('share_whole', {batch, total});
			onComplete();
		}

		this.notifyWaiters();
	}
}

/** Whether the store has refused a call because of its rate limit. */
function isLimited(error: unknown): boolean {
	return error instanceof BatchError && error.cause instanceof PlatformError && error.cause.code === 'limited';
}
