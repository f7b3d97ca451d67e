/**
 * Follows one table of the store: reads the whole table once, then its changes.
 *
 * Load pattern: the store is down, slow or loses its history, or connections go silent, during
 * a change that must take effect within two seconds. Each long poll is short, so that a silent connection is
 * detected within the poll and the store client's timeout; after a lost history the table is read again, and
 * rows that are missing then count as removed.
 */
import {
	PlatformError, readPages, type RowChange, type RowRange, type RowStore,
} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';
import {RowFaults} from './row-faults.js';

/**
 * Default maximum duration of one long poll for changes, in milliseconds. A silent connection is detected only at its end;
 * shorter polls cost more calls.
 */
const defaultWaitMs = 1500;

/** Minimum and maximum pause after a failed call, in milliseconds, doubled with each failure: recovers soon after an outage without flooding the store during it. */
const minPauseMs = 50;
const maxPauseMs = 250;

/**
 * Time over which hosts spread the reading of a whole table after its history was lost, in milliseconds, if `chance` is set.
 * All hosts lose the history at the same time, and each reads the rows of all; meanwhile each continues with its known rows.
 */
const rereadSpreadMs = 400;

/** Minimum time between two refreshes, in milliseconds: the callers of `refresh` don't limit its rate. */
const minRefreshIntervalMs = 100;

/** Rejects the call of a round that was abandoned. */
const abandoned = new Error('the call was given up');

/** Rows requested in one call; the store returns 500 at most. */
const pageRows = 500;

export type FollowerSettings = {
	store: RowStore;
	table: string;
	/** Partitions that are read initially and followed. */
	parts: readonly string[];
	/** Partitions that are only followed. Changes of any other partition, which another writer may leave, are ignored. */
	unreadParts?: readonly string[];
	log: Log;
	/** Maximum duration of one long poll for changes, in milliseconds. */
	waitMs?: number;
	/**
	 * Minimum time from received changes until the next call, in milliseconds; 0 by default. Rows that are written continuously, as
	 * registrations are, would otherwise cause one call per row on each host: 22 calls a second with 27 endpoints.
	 */
	batchingMs?: number;
	/** Returns a random number in [0, 1), to read the table again at another time than other hosts; without it the table is read at once. */
	chance?(): number;
	/** Called for each existing, changed or removed row, in the order of the changes. A row for which it throws is logged and skipped. */
	apply(change: RowChange): void;
	/** Called after each round in which the store answered. */
	onContact?(): void;
};

/** Maintains a view of one table. */
export class TableFollower {
	readonly #settings: FollowerSettings;
	readonly #known = new Map<string, RowChange>();
	readonly #followedParts: ReadonlySet<string>;
	readonly #faults: RowFaults;
	#version = -1;
	#isSynced = false;
	#lastContactAt = Number.NEGATIVE_INFINITY;
	#isStopped = false;
	#pauseMs = minPauseMs;
	#isDown = false;
	#wake: (() => void) | undefined;
	/** Abandons the call in progress. */
	#abandon: (() => void) | undefined;
	/** The refresh in progress and the one that follows it. */
	#pendingRefresh: Promise<boolean> | undefined;
	#queuedRefresh: Promise<boolean> | undefined;

	constructor(settings: FollowerSettings) {
		this.#settings = settings;
		this.#followedParts = new Set([...settings.parts, ...settings.unreadParts ?? []]);
		this.#faults = new RowFaults(settings.log, 'row_invalid');
	}

	/** Whether the whole table was read since the start; known rows stay valid while it is read again. */
	get isSynced(): boolean {
		return this.#isSynced;
	}

	/** Whether the last call to the store failed. */
	get isDown(): boolean {
		return this.#isDown;
	}

	/** Time since the last answer of the store, in milliseconds; infinite before the first. */
	get ageMs(): number {
		return performance.now() - this.#lastContactAt;
	}

	/** Follows until `stop`; never rejects. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			// Each round continues where the previous one ended.
			// eslint-disable-next-line no-await-in-loop
			await this.#runRound();
		}
	}

	stop(): void {
		this.#isStopped = true;
		this.#wake?.();
	}

	/**
	 * Abandons the call in progress and calls the store again at once: a call that was sent while the store was silent
	 * would block until its timeout.
	 */
	hurry(): void {
		this.#abandon?.();
		this.#wake?.();
	}

	/**
	 * Applies all changes that were made before this call. Concurrent calls share one request to the store; never rejects.
	 *
	 * @returns whether the store answered
	 */
	async refresh(): Promise<boolean> {
		if (!this.#pendingRefresh) {
			this.#pendingRefresh = this.#readChanges();
			void this.#endRefresh(this.#pendingRefresh);
			return this.#pendingRefresh;
		}

		// The store may have answered the refresh in progress before the change that the caller waits for.
		this.#queuedRefresh ??= this.#refreshAfter(this.#pendingRefresh);
		return this.#queuedRefresh;
	}

	async #endRefresh(pending: Promise<boolean>): Promise<void> {
		await Promise.all([pending, new Promise<void>(resolve => {
			setTimeout(resolve, minRefreshIntervalMs);
		})]);
		this.#pendingRefresh = undefined;
	}

	async #refreshAfter(pending: Promise<boolean>): Promise<boolean> {
		await this.#endRefresh(pending);
		this.#queuedRefresh = undefined;
		return this.refresh();
	}

	async #readChanges(): Promise<boolean> {
		const {store, table, log} = this.#settings;
		if (this.#version < 0) {
			return false;
		}

		try {
			const page = await store.follow(table, this.#version, 0);
			for (const change of page.changes) {
				this.#handleChange(change);
			}

			this.#lastContactAt = performance.now();
			return true;
		} catch (error) {
			log.debug('news_not_known', {table, reason: describeError(error)});
			return false;
		}
	}

	async #runRound(): Promise<void> {
		const {table, log, onContact} = this.#settings;
		try {
			await (this.#version >= 0 ? this.#follow() : this.#readTable());
			this.#lastContactAt = performance.now();
			this.#pauseMs = minPauseMs;
			if (this.#isDown) {
				this.#isDown = false;
				log.info('store_regained', {table, version: this.#version});
			}

			onContact?.();
		} catch (error) {
			if (error === abandoned) {
				return;
			}

			if (error instanceof PlatformError && error.code === 'missing') {
				log.warn('history_lost', {table, version: this.#version});
				this.#version = -1;
				// A store that loses its history again immediately must not be read in a tight loop.
				await this.#pause((this.#settings.chance?.() ?? 0) * rereadSpreadMs);
				return;
			}

			if (!this.#isDown) {
				this.#isDown = true;
				log.warn('store_lost', {table, version: this.#version, reason: describeError(error)});
			}

			await this.#pause();
		}
	}

	async #pause(moreMs = 0): Promise<void> {
		await this.#wait(this.#pauseMs + moreMs);
		this.#pauseMs = Math.min(maxPauseMs, this.#pauseMs * 2);
	}

	async #wait(ms: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#wake = resolve;
			setTimeout(resolve, ms);
		});
	}

	async #follow(): Promise<void> {
		const {store, table, waitMs = defaultWaitMs, batchingMs = 0} = this.#settings;
		// After a failure the call must return at once, whether there are changes or not.
		const page = await this.#raceAbandon(store.follow(table, this.#version, this.#isDown ? 0 : waitMs));
		for (const change of page.changes) {
			this.#handleChange(change);
		}

		this.#version = Math.max(this.#version, page.version);
		if (page.changes.length > 0 && batchingMs > 0) {
			await this.#wait(batchingMs);
		}
	}

	/** Reads all partitions. Changes are followed from the first page's version on, so those made during the reading are received again. */
	async #readTable(): Promise<void> {
		const {parts} = this.#settings;
		const seen = new Set<string>();
		let version = Number.POSITIVE_INFINITY;
		for (const part of parts) {
			// eslint-disable-next-line no-await-in-loop
			version = Math.min(version, await this.#readPart(part, seen));
		}

		for (const [id, {table, part, key}] of this.#known) {
			if (!seen.has(id)) {
				this.#handleChange({
					table, part, key, value: undefined, version,
				});
			}
		}

		this.#version = version;
		this.#isSynced = true;
	}

	async #readPart(part: string, seen: Set<string>): Promise<number> {
		const {store, table} = this.#settings;
		let first: number | undefined;
		const reading = {read: async (range: RowRange) => this.#raceAbandon(store.read(range))};
		for await (const page of readPages(reading, {table, part, limit: pageRows})) {
			first ??= page.version;
			for (const row of page.rows) {
				seen.add(formatRowId(row));
				this.#handleChange(row);
			}
		}

		return first!;
	}

	/** Returns the answer to a call; throws `abandoned` if it is abandoned before. */
	async #raceAbandon<Answer>(call: Promise<Answer>): Promise<Answer> {
		const whenAbandoned = new Promise<never>((_resolve, reject) => {
			this.#abandon = () => {
				reject(abandoned);
			};
		});
		try {
			return await Promise.race([call, whenAbandoned]);
		} finally {
			this.#abandon = undefined;
		}
	}

	#handleChange(change: RowChange): void {
		if (!this.#followedParts.has(change.part)) {
			return;
		}

		const id = formatRowId(change);
		const known = this.#known.get(id);
		if (known && known.version >= change.version && change.value !== undefined) {
			return;
		}

		if (change.value === undefined) {
			this.#known.delete(id);
		} else {
			// The value is not needed to tell changes apart; the receiver keeps what it decodes.
			this.#known.set(id, {...change, value: undefined});
		}

		try {
			this.#settings.apply(change);
		} catch (error) {
			// An invalid row of one writer must not block the rows of others.
			this.#faults.record(change, error);
		}
	}
}

function formatRowId({part, key}: {part: string; key: string}): string {
	return `${part}/${key}`;
}
