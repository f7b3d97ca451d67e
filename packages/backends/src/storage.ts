/**
 * Interfaces to the platform's storage: the transactional table service and the object store.
 *
 * No wire format stands here; adapters are chosen by name.
 */

/** A stored row; its version counts up by one with each write. */
export type StoredRow = {
	key: string;
	value: unknown;
	version: number;
};

/** One write of a transaction; all of a transaction's conditions hold, or nothing is written. */
export type ConditionalWrite = {
	table: string;
	key: string;
	/** The version that the row must have; 0 demands that there is none; undefined writes blindly. */
	expect?: number;
	/** The new value; undefined deletes the row. */
	value?: unknown;
};

/** Rows in key order. */
export type ScanOptions = {
	/** Keys that begin with this. */
	prefix?: string;
	/** Keys greater than this. */
	after?: string;
	/** Most rows returned. */
	limit?: number;
};

/**
 * The transactional table service.
 *
 * Every call may throw `PlatformError`; a write that throws `unknown` may have taken effect.
 */
export type TableService = {
	read(table: string, key: string): Promise<StoredRow | undefined>;
	scan(table: string, options?: ScanOptions): Promise<StoredRow[]>;
	/** Returns the new versions, in the order of the writes; 0 for a deleted row. Throws `conflict` when a condition fails. */
	transact(writes: readonly ConditionalWrite[]): Promise<number[]>;
};

/** The object store: whole objects by key, last writer wins. */
export type ObjectStore = {
	get(key: string): Promise<Uint8Array | undefined>;
	put(key: string, content: Uint8Array): Promise<void>;
};
