/**
 * The platform's storage held in memory, with the switches of `StorageGate`.
 *
 * Usable in process, also under a paused clock, or behind `PlatformServer`.
 */
import {
	PlatformError, type ConditionalWrite, type ObjectStore, type ScanOptions, type StoredRow, type TableService,
} from '@wasabiusher/backends';
import {StorageGate, type StorageSwitches} from './storage-gate.js';

/** A transactional table service. A transaction counts as one write, whatever its rows. */
export class MemoryTableService implements TableService {
	readonly gate: StorageGate;
	readonly #tables = new Map<string, Map<string, StoredRow>>();

	constructor(switches: Partial<StorageSwitches> = {}) {
		this.gate = new StorageGate(switches);
	}

	/** The failures; set them at any time. */
	get switches(): StorageSwitches {
		return this.gate.switches;
	}

	async read(table: string, key: string): Promise<StoredRow | undefined> {
		return this.gate.pass('read', () => structuredClone(this.#find(table).get(key)));
	}

	async scan(table: string, {prefix = '', after = '', limit = Number.POSITIVE_INFINITY}: ScanOptions = {}): Promise<StoredRow[]> {
		return this.gate.pass('read', () => {
			const rows = [...this.#find(table).values()]
				.filter(({key}) => key.startsWith(prefix) && key > after)
				.toSorted((a, b) => a.key < b.key ? -1 : 1);
			return structuredClone(rows.slice(0, limit));
		});
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<number[]> {
		// The caller may change its values while a slow call is under way.
		const kept = structuredClone(writes);
		return this.gate.pass('write', () => {
			for (const write of kept) {
				this.#check(write);
			}

			return kept.map(write => this.#apply(write));
		});
	}

	#check({table, key, expect}: ConditionalWrite): void {
		const version = this.#find(table).get(key)?.version ?? 0;
		if (expect !== undefined && expect !== version) {
			throw new PlatformError('conflict', `${table}/${key} is at version ${version}, expected ${expect}`);
		}
	}

	#apply({table, key, value}: ConditionalWrite): number {
		const rows = this.#find(table);
		if (value === undefined) {
			rows.delete(key);
			return 0;
		}

		const version = (rows.get(key)?.version ?? 0) + 1;
		rows.set(key, {key, value, version});
		return version;
	}

	#find(table: string): Map<string, StoredRow> {
		let rows = this.#tables.get(table);
		if (!rows) {
			rows = new Map();
			this.#tables.set(table, rows);
		}

		return rows;
	}
}

/** An object store: whole objects, last writer wins. */
export class MemoryObjectStore implements ObjectStore {
	readonly gate: StorageGate;
	readonly #objects = new Map<string, Uint8Array>();

	constructor(switches: Partial<StorageSwitches> = {}) {
		this.gate = new StorageGate(switches);
	}

	/** The failures; set them at any time. */
	get switches(): StorageSwitches {
		return this.gate.switches;
	}

	async get(key: string): Promise<Uint8Array | undefined> {
		return this.gate.pass('read', () => {
			const content = this.#objects.get(key);
			return content && Uint8Array.from(content);
		});
	}

	async put(key: string, content: Uint8Array): Promise<void> {
		const kept = Uint8Array.from(content);
		return this.gate.pass('write', () => {
			this.#objects.set(key, kept);
		});
	}
}
