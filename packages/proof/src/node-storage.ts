/**
 * Storage clients of one simulated process; their operations never settle once the process is dead.
 */
import type {
	ConditionalWrite, ObjectStore, ScanOptions, StoredRow, TableService,
} from '@wasabiusher/backends';

/** A promise that never settles, for operations of a dead process. */
const never = Promise.race<never>([]);

/** Whether the process is alive, and a callback that runs before each write. */
export type Life = {isAlive: boolean; onWrite?(writes: readonly ConditionalWrite[]): void};

async function whileAlive<Result>(life: Life, call: () => Promise<Result>): Promise<Result> {
	if (!life.isAlive) {
		return never;
	}

	try {
		const result = await call();
		return life.isAlive ? result : await never;
	} catch (error) {
		if (!life.isAlive) {
			return never;
		}

		throw error;
	}
}

export function createNodeTables(tables: TableService, life: Life): TableService {
	return {
		read: async (table: string, key: string): Promise<StoredRow | undefined> => whileAlive(life, async () => tables.read(table, key)),
		scan: async (table: string, options?: ScanOptions): Promise<StoredRow[]> => whileAlive(life, async () => tables.scan(table, options)),
		async transact(writes: readonly ConditionalWrite[]): Promise<number[]> {
			return whileAlive(life, async () => {
				life.onWrite?.(writes);
				return tables.transact(writes);
			});
		},
	};
}

export function createNodeObjects(objects: ObjectStore, life: Life): ObjectStore {
	return {
		get: async (key: string): Promise<Uint8Array | undefined> => whileAlive(life, async () => objects.get(key)),
		put: async (key: string, content: Uint8Array): Promise<void> => whileAlive(life, async () => objects.put(key, content)),
	};
}
