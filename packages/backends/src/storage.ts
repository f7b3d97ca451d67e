/**
 * Interfaces to the platform's storage: the transactional table service and the object store.
 *
 * They are independent of the wire format; see `adapters.ts` for the implementations.
 */

/** A stored row; its version increases by one with each write. */
export type StoredRow = {
	key: string;
	value: unknown;
	version: number;
};

/** One write of a transaction. A transaction is atomic: nothing is written unless all of its conditions are met. */
export type ConditionalWrite = {
	table: string;
	key: string;
	/** The version that the row must have; 0 means that the row must not exist; undefined writes unconditionally. */
	expect?: number;
	/** The new value; undefined deletes the row. */
	value?: unknown;
};

/** Options of a scan, which returns rows in the order of their keys. */
export type ScanOptions = {
	/** Only rows whose keys begin with this prefix. */
	prefix?: string;
	/** Only rows whose keys are greater. */
	after?: string;
	/** Maximum number of rows to return. */
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
	/** Returns the new versions in the order of the writes; 0 for a deleted row. Throws `conflict` if a condition is not met. */
	transact(writes: readonly ConditionalWrite[]): Promise<number[]>;
};

/** The object store: objects by key; the last write wins. */
export type ObjectStore = {
	get(key: string): Promise<Uint8Array | undefined>;
	put(key: string, content: Uint8Array): Promise<void>;
};
