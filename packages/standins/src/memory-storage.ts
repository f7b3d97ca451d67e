/**
 * The platform's storage held in memory.
 */
import {
	PlatformError, type ConditionalWrite, type ObjectStore, type ScanOptions, type StoredRow, type TableService,
} from '@wasabiusher/platform';

export class MemoryTableService implements TableService {
	readonly #tables = new Map<string, Map<string, StoredRow>>();

	async read(table: string, key: string): Promise<StoredRow | undefined> {
		return structuredClone(this.#find(table).get(key));
	}

	async scan(table: string, {prefix = '', after = '', limit = Number.POSITIVE_INFINITY}: ScanOptions = {}): Promise<StoredRow[]> {
		const rows = [...this.#find(table).values()]
			.filter(({key}) => key.startsWith(prefix) && key > after)
			.toSorted((a, b) => a.key < b.key ? -1 : 1);
		return structuredClone(rows.slice(0, limit));
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<number[]> {
		for (const {table, key, expect} of writes) {
			const version = this.#find(table).get(key)?.version ?? 0;
			if (expect !== undefined && expect !== version) {
				throw new PlatformError('conflict', `${table}/${key} is at version ${version}, expected ${expect}`);
			}
		}

		return writes.map(write => this.#apply(write));
	}

	#apply({table, key, value}: ConditionalWrite): number {
		const rows = this.#find(table);
		if (value === undefined) {
			rows.delete(key);
			return 0;
		}

		const version = (rows.get(key)?.version ?? 0) + 1;
		rows.set(key, {key, value: structuredClone(value), version});
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

export class MemoryObjectStore implements ObjectStore {
	readonly #objects = new Map<string, Uint8Array>();

	async get(key: string): Promise<Uint8Array | undefined> {
		return this.#objects.get(key);
	}

	async put(key: string, content: Uint8Array): Promise<void> {
		this.#objects.set(key, content);
	}
}
