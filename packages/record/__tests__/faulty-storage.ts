import {
	PlatformError, type ConditionalWrite, type ObjectStore, type ScanOptions, type StoredRow, type TableService,
} from '@wasabiusher/backends';

/** Outcome of a call: done; not done; done with the answer lost; not done with the answer lost. */
export type Fault = 'none' | 'down' | 'lost-after' | 'lost-before';

/** Shared switches of a pair of stores; each write uses the next fault of the list, or the standing one, and each read the standing one. */
export class Faults {
	standing: Fault = 'none';
	next: Fault[] = [];
	delayMs = 0;
	reads = 0;
	writes = 0;

	async apply<Result>(run: () => Result, isWrite: boolean): Promise<Result> {
		const fault = (isWrite ? this.next.shift() : undefined) ?? this.standing;
		await this.#delay();
		if (fault === 'down') {
			throw new PlatformError('unavailable', 'down');
		}

		const result = fault === 'lost-before' ? undefined : run();
		if (isWrite && fault !== 'none') {
			throw new PlatformError('unknown', 'the answer was lost');
		}

		return result as Result;
	}

	async #delay(): Promise<void> {
		if (this.delayMs > 0) {
			await new Promise<void>(resolve => {
				setTimeout(resolve, this.delayMs);
			});
		}
	}
}

/** In-memory table service with injected faults. */
export class FaultyTables implements TableService {
	readonly rows = new Map<string, StoredRow>();
	readonly faults: Faults;

	constructor(faults = new Faults()) {
		this.faults = faults;
	}

	async read(table: string, key: string): Promise<StoredRow | undefined> {
		this.faults.reads += 1;
		return this.faults.apply(() => structuredClone(this.rows.get(`${table}:${key}`)), false);
	}

	async scan(table: string, {prefix = '', after = '', limit = Number.POSITIVE_INFINITY}: ScanOptions = {}): Promise<StoredRow[]> {
		this.faults.reads += 1;
		return this.faults.apply(() => [...this.rows]
			.filter(([id, {key}]) => id.startsWith(`${table}:${prefix}`) && key > after)
			.map(([, row]) => structuredClone(row))
			.toSorted((a, b) => a.key < b.key ? -1 : 1)
			.slice(0, limit), false);
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<number[]> {
		this.faults.writes += 1;
		return this.faults.apply(() => this.#write(writes), true);
	}

	#write(writes: readonly ConditionalWrite[]): number[] {
		for (const {table, key, expect} of writes) {
			const version = this.rows.get(`${table}:${key}`)?.version ?? 0;
			if (expect !== undefined && expect !== version) {
				throw new PlatformError('conflict', `${key} is at ${version}`);
			}
		}

		return writes.map(({table, key, value}) => {
			const id = `${table}:${key}`;
			const version = (this.rows.get(id)?.version ?? 0) + 1;
			if (value === undefined) {
				this.rows.delete(id);
				return 0;
			}

			this.rows.set(id, {key, value: structuredClone(value), version});
			return version;
		});
	}
}

/** In-memory object store with injected faults. */
export class FaultyObjects implements ObjectStore {
	readonly objects = new Map<string, Uint8Array>();
	readonly faults: Faults;

	constructor(faults = new Faults()) {
		this.faults = faults;
	}

	async get(key: string): Promise<Uint8Array | undefined> {
		return this.faults.apply(() => this.objects.get(key), false);
	}

	async put(key: string, content: Uint8Array): Promise<void> {
		await this.faults.apply(() => this.objects.set(key, content), true);
	}
}
