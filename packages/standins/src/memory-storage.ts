/**
 * In-memory stand-in for the platform's storage, with the fault injection of `StorageGate`.
 *
 * Usable in process, also under a fake clock, or behind `PlatformServer`.
 */
import {
	PlatformError, type ConditionalWrite, type ObjectStore, type ScanOptions, type StoredRow, type TableService,
} from '@wasabiusher/backends';
import {StorageGate, type StorageSwitches} from './storage-gate.js';

/** A transactional table service. A transaction counts as one write, independent of its number of rows. */
export class MemoryTableService implements TableService {
	readonly gate: StorageGate;
	readonly #tables = new Map<string, Map<string, StoredRow>>();

	constructor(switches: Partial<StorageSwitches> = {}) {
		this.gate = new StorageGate(switches);
	}

	/** Fault-injection switches, which can be set at any time. */
	get switches(): StorageSwitches {
		return this.gate.switches;
	}

	async read(table: string, key: string): Promise<StoredRow | undefined> {
		return this.gate.run('read', () => structuredClone(this.#getTable(table).get(key)));
	}

	async scan(table: string, {prefix = '', after = '', limit = Number.POSITIVE_INFINITY}: ScanOptions = {}): Promise<StoredRow[]> {
		return this.gate.run('read', () => {
			const rows = [...this.#getTable(table).values()]
				.filter(({key}) => key.startsWith(prefix) && key > after)
				.toSorted((a, b) => a.key < b.key ? -1 : 1);
			return structuredClone(rows.slice(0, limit));
		});
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<number[]> {
		// The caller can change its values while a delayed call is pending.
		const copies = structuredClone(writes);
		return this.gate.run('write', () => {
			for (const write of copies) {
				this.#checkVersion(write);
			}

			return copies.map(write => this.#apply(write));
		});
	}

	#checkVersion({table, key, expect}: ConditionalWrite): void {
		const version = this.#getTable(table).get(key)?.version ?? 0;
		if (expect !== undefined && expect !== version) {
			throw new PlatformError('conflict', `${table}/${key} is at version ${version}, expected ${expect}`);
		}
	}

	#apply({table, key, value}: ConditionalWrite): number {
		const rows = this.#getTable(table);
		if (value === undefined) {
			rows.delete(key);
			return 0;
		}

		const version = (rows.get(key)?.version ?? 0) + 1;
		rows.set(key, {key, value, version});
		return version;
	}

	#getTable(table: string): Map<string, StoredRow> {
		let rows = this.#tables.get(table);
		if (!rows) {
			rows = new Map();
			this.#tables.set(table, rows);
		}

		return rows;
	}
}

/** An object store. Objects are written as a whole; the last writer wins. */
export class MemoryObjectStore implements ObjectStore {
	readonly gate: StorageGate;
	readonly #objects = new Map<string, Uint8Array>();

	constructor(switches: Partial<StorageSwitches> = {}) {
		this.gate = new StorageGate(switches);
	}

	/** Fault-injection switches, which can be set at any time. */
	get switches(): StorageSwitches {
		return this.gate.switches;
	}

	async get(key: string): Promise<Uint8Array | undefined> {
		return this.gate.run('read', () => {
			const content = this.#objects.get(key);
			return content && Uint8Array.from(content);
		});
	}

	async put(key: string, content: Uint8Array): Promise<void> {
		const copy = Uint8Array.from(content);
		return this.gate.run('write', () => {
			this.#objects.set(key, copy);
		});
	}
}
