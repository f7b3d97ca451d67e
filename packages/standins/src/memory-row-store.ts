/**
 * A store of rows in parts with a feed of changes, held in memory, with the failures that such a store documents.
 */
import {
	PlatformError, type BlobStore, type ChangePage, type CommitReceipt, type RowAddress, type RowChange, type RowPage, type RowRange, type RowStore,
	type RowTransaction, type StoredValue,
} from '@wasabiusher/backends';
import {wait} from './wait.js';

/** Most rows of one answer. */
const pageRows = 500;

/** Set at any time; they hold for calls that begin afterwards. */
export type RowStoreSwitches = {
	/** Refuses each call at once; nothing is done. */
	isDown: boolean;
	/** Refuses transactions on rows of these parts and reads of them, while the other parts and the feed go on. */
	downParts: ReadonlySet<string>;
	/** Reads of these tables find nothing, as from a copy that lies behind. */
	hiddenTables: ReadonlySet<string>;
	/** Lets each call wait for this time and then fail without an answer; nothing is done. 0 switches it off. */
	silentMs: number;
	/** Time before a call takes effect, in milliseconds. */
	delayMs: number;
	/** How many of the next transactions take effect and lose their answer. */
	answersToLose: number;
	/** How many of the next transactions lose their answer and take effect only after `lateMs`, if their conditions hold then. */
	writesToDelay: number;
	lateMs: number;
};

/** The store; several views of it may have switches of their own. */
export class MemoryRowStore implements RowStore, BlobStore {
	readonly switches: RowStoreSwitches = {
		isDown: false, downParts: new Set(), hiddenTables: new Set(), silentMs: 0, delayMs: 0, answersToLose: 0, writesToDelay: 0, lateMs: 1000,
	};

	/** Calls that have begun, refused ones included. */
	readonly counts = {commits: 0, reads: 0, follows: 0};
	readonly #core: RowCore;

	constructor(core: RowCore = new RowCore()) {
		this.#core = core;
	}

	/** Another host's way to the same rows. */
	createView(): MemoryRowStore {
		return new MemoryRowStore(this.#core);
	}

	/** Forgets the history: who follows must read anew. */
	compact(): void {
		this.#core.compact();
	}

	async commit(transaction: RowTransaction): Promise<CommitReceipt> {
		this.counts.commits += 1;
		await this.#pass([...transaction.conditions, ...transaction.puts, ...transaction.deletes].map(({part}) => part));
		if (this.switches.writesToDelay > 0) {
			this.switches.writesToDelay -= 1;
			setTimeout(() => {
				this.#core.tryApply(transaction);
			}, this.switches.lateMs);
			throw new PlatformError('unknown', 'no answer');
		}

		const receipt = this.#core.apply(transaction);
		if (this.switches.answersToLose > 0) {
			this.switches.answersToLose -= 1;
			throw new PlatformError('unknown', 'the answer was lost');
		}

		return receipt;
	}

	async read(range: RowRange): Promise<RowPage> {
		this.counts.reads += 1;
		await this.#pass([range.part]);
		const page = this.#core.read(range);
		return this.switches.hiddenTables.has(range.table) ? {...page, rows: []} : page;
	}

	async follow(table: string, after: number, waitMs: number): Promise<ChangePage> {
		this.counts.follows += 1;
		await this.#pass();
		return this.#core.follow(table, after, waitMs);
	}

	async put(name: string, content: Uint8Array): Promise<void> {
		await this.#pass();
		this.#core.objects.set(name, content);
	}

	async get(name: string): Promise<Uint8Array> {
		await this.#pass();
		const content = this.#core.objects.get(name);
		if (!content) {
			throw new PlatformError('missing', `there is no object ${name}`);
		}

		return content;
	}

	async drop(name: string): Promise<void> {
		await this.#pass();
		this.#core.objects.delete(name);
	}

	async #pass(parts: readonly string[] = []): Promise<void> {
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

/** The rows themselves. */
class RowCore {
	readonly objects = new Map<string, Uint8Array>();
	readonly #rows = new Map<string, StoredValue>();
	#history: RowChange[] = [];
	#forgottenTo = 0;
	#version = 0;
	readonly #watchers = new Set<() => void>();

	apply({conditions, puts, deletes}: RowTransaction): CommitReceipt {
		for (const condition of conditions) {
			const version = this.#rows.get(nameRow(condition))?.version ?? 0;
			if (version !== condition.version) {
				throw new PlatformError('conflict', `${nameRow(condition)} is at version ${version}, expected ${condition.version}`);
			}
		}

		this.#version += 1;
		for (const {table, part, key, value} of puts) {
			const row = {
				table, part, key, value, version: this.#version,
			};
			this.#rows.set(nameRow(row), row);
			this.#history.push(row);
		}

		for (const {table, part, key} of deletes) {
			this.#rows.delete(nameRow({table, part, key}));
			this.#history.push({
				table, part, key, value: undefined, version: this.#version,
			});
		}

		for (const watcher of this.#watchers) {
			watcher();
		}

		return {version: this.#version, storeMs: performance.now()};
	}

	/** Applies a transaction whose sender no longer waits. */
	tryApply(transaction: RowTransaction): void {
		try {
			this.apply(transaction);
		} catch (error) {
			if (!(error instanceof PlatformError && error.code === 'conflict')) {
				throw error;
			}
		}
	}

	read({table, part, from = '', to, limit = pageRows}: RowRange): RowPage {
		const found = [...this.#rows.values()]
			.filter(row => row.table === table && row.part === part && row.key >= from && (to === undefined || row.key < to))
			.toSorted((a, b) => a.key < b.key ? -1 : 1);
		const rows = found.slice(0, Math.min(limit, pageRows));
		return {
			rows, hasMore: rows.length < found.length, version: this.#version, storeMs: performance.now(),
		};
	}

	async follow(table: string, after: number, waitMs: number): Promise<ChangePage> {
		if (after < this.#forgottenTo) {
			throw new PlatformError('missing', 'that history is gone');
		}

		const list = () => this.#history.filter(change => change.table === table && change.version > after);
		if (list().length === 0) {
			await this.#waitForChange(() => list().length > 0, waitMs);
		}

		return {changes: list(), version: this.#version, storeMs: performance.now()};
	}

	compact(): void {
		this.#history = [];
		this.#forgottenTo = this.#version;
	}

	async #waitForChange(hasCome: () => boolean, waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.#watchers.delete(look);
				resolve();
			};

			const look = () => {
				if (hasCome()) {
					finish();
				}
			};

			const timer = setTimeout(finish, waitMs);
			this.#watchers.add(look);
		});
	}
}

function nameRow({table, part, key}: RowAddress): string {
	return `${table}/${part}/${key}`;
}
