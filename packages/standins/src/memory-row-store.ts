/**
 * In-memory store of partitioned rows with a change feed, with the failures that such a store documents.
 */
import {
	PlatformError, type BlobStore, type ChangePage, type CommitReceipt, type RowAddress, type RowChange, type RowPage, type RowRange, type RowStore,
	type RowTransaction, type StoredValue,
} from '@wasabiusher/backends';
import {wait} from './wait.js';

/** Maximum number of rows per answer. */
const maxPageRows = 500;

/** Fault-injection switches. They can be set at any time and apply to calls that begin afterwards. */
export type RowStoreSwitches = {
	/** Refuses each call immediately; calls have no effect. */
	isDown: boolean;
	/** Refuses transactions on rows of these parts and reads of them, while the other parts and the change feed stay available. */
	downParts: ReadonlySet<string>;
	/** Reads of these tables return no rows, as from a stale replica. */
	hiddenTables: ReadonlySet<string>;
	/** Time after which each call fails without an answer and without effect, in milliseconds. 0 disables this. */
	silentMs: number;
	/** Delay before a call takes effect, in milliseconds. */
	delayMs: number;
	/** Number of the next transactions that take effect and whose answer is lost. */
	answersToLose: number;
	/** Number of the next transactions whose answer is lost and that take effect only after `lateMs`, if their conditions hold then. */
	writesToDelay: number;
	/** Delay of delayed transactions, in milliseconds. */
	lateMs: number;
};

/** A view of the store. Several views share the same rows, each with its own switches. */
export class MemoryRowStore implements RowStore, BlobStore {
	readonly switches: RowStoreSwitches = {
		isDown: false, downParts: new Set(), hiddenTables: new Set(), silentMs: 0, delayMs: 0, answersToLose: 0, writesToDelay: 0, lateMs: 1000,
	};

	/** Number of calls, refused calls included. */
	readonly counts = {commits: 0, reads: 0, follows: 0};
	readonly #rows: SharedRows;

	constructor(core: SharedRows = new SharedRows()) {
		this.#rows = core;
	}

	/** Creates another host's view of the same rows. */
	createView(): MemoryRowStore {
		return new MemoryRowStore(this.#rows);
	}

	/** Discards the change history. Followers that are behind must read the rows again. */
	compact(): void {
		this.#rows.compact();
	}

	async commit(transaction: RowTransaction): Promise<CommitReceipt> {
		this.counts.commits += 1;
		await this.#applySwitches([...transaction.conditions, ...transaction.puts, ...transaction.deletes].map(({part}) => part));
		if (this.switches.writesToDelay > 0) {
			this.switches.writesToDelay -= 1;
			setTimeout(() => {
				this.#rows.tryApply(transaction);
			}, this.switches.lateMs);
			throw new PlatformError('unknown', 'no answer');
		}

		const receipt = this.#rows.apply(transaction);
		if (this.switches.answersToLose > 0) {
			this.switches.answersToLose -= 1;
			throw new PlatformError('unknown', 'the answer was lost');
		}

		return receipt;
	}

	async read(range: RowRange): Promise<RowPage> {
		this.counts.reads += 1;
		await this.#applySwitches([range.part]);
		const page = this.#rows.read(range);
		return this.switches.hiddenTables.has(range.table) ? {...page, rows: []} : page;
	}

	async follow(table: string, after: number, waitMs: number): Promise<ChangePage> {
		this.counts.follows += 1;
		await this.#applySwitches();
		return this.#rows.follow(table, after, waitMs);
	}

	async put(name: string, content: Uint8Array): Promise<void> {
		await this.#applySwitches();
		this.#rows.objects.set(name, content);
	}

	async get(name: string): Promise<Uint8Array> {
		await this.#applySwitches();
		const content = this.#rows.objects.get(name);
		if (!content) {
			throw new PlatformError('missing', `object ${name} does not exist`);
		}

		return content;
	}

	async drop(name: string): Promise<void> {
		await this.#applySwitches();
		this.#rows.objects.delete(name);
	}

	async #applySwitches(parts: readonly string[] = []): Promise<void> {
		const {isDown, downParts, silentMs, delayMs} = this.switches;
		if (isDown || parts.some(part => downParts.has(part))) {
			throw new PlatformError('unavailable', 'the store is down');
		}

		if (silentMs > 0) {
			await wait(silentMs);
			throw new PlatformError('unknown', 'no answer');
		}

		if (delayMs > 0) {
			await wait(delayMs);
		}
	}
}

/** The rows, objects and change history that all views share. */
class SharedRows {
	readonly objects = new Map<string, Uint8Array>();
	readonly #rows = new Map<string, StoredValue>();
	#history: RowChange[] = [];
	#compactedVersion = 0;
	#version = 0;
	readonly #watchers = new Set<() => void>();

	apply({conditions, puts, deletes}: RowTransaction): CommitReceipt {
		for (const condition of conditions) {
			const version = this.#rows.get(getRowKey(condition))?.version ?? 0;
			if (version !== condition.version) {
				throw new PlatformError('conflict', `${getRowKey(condition)} is at version ${version}, expected ${condition.version}`);
			}
		}

		this.#version += 1;
		for (const {table, part, key, value} of puts) {
			const row = {
				table, part, key, value, version: this.#version,
			};
			this.#rows.set(getRowKey(row), row);
			this.#history.push(row);
		}

		for (const {table, part, key} of deletes) {
			this.#rows.delete(getRowKey({table, part, key}));
			this.#history.push({
				table, part, key, value: undefined, version: this.#version,
			});
		}

		for (const watcher of this.#watchers) {
			watcher();
		}

		return {version: this.#version, storeMs: performance.now()};
	}

	/** Applies a transaction whose sender no longer waits. Ignores a conflict. */
	tryApply(transaction: RowTransaction): void {
		try {
			this.apply(transaction);
		} catch (error) {
			if (!(error instanceof PlatformError && error.code === 'conflict')) {
				throw error;
			}
		}
	}

	read({table, part, from = '', to, limit = maxPageRows}: RowRange): RowPage {
		const found = [...this.#rows.values()]
			.filter(row => row.table === table && row.part === part && row.key >= from && (to === undefined || row.key < to))
			.toSorted((a, b) => a.key < b.key ? -1 : 1);
		const rows = found.slice(0, Math.min(limit, maxPageRows));
		return {
			rows, hasMore: rows.length < found.length, version: this.#version, storeMs: performance.now(),
		};
	}

	async follow(table: string, after: number, waitMs: number): Promise<ChangePage> {
		if (after < this.#compactedVersion) {
			throw new PlatformError('missing', 'the change history after this version was compacted');
		}

		const listChanges = () => this.#history.filter(change => change.table === table && change.version > after);
		if (listChanges().length === 0) {
			await this.#waitForChange(() => listChanges().length > 0, waitMs);
		}

		return {changes: listChanges(), version: this.#version, storeMs: performance.now()};
	}

	compact(): void {
		this.#history = [];
		this.#compactedVersion = this.#version;
	}

	async #waitForChange(hasChange: () => boolean, waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.#watchers.delete(onChange);
				resolve();
			};

			const onChange = () => {
				if (hasChange()) {
					finish();
				}
			};

			const timer = setTimeout(finish, waitMs);
			this.#watchers.add(onChange);
		});
	}
}

function getRowKey({table, part, key}: RowAddress): string {
	return `${table}/${part}/${key}`;
}
