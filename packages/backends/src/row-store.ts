/**
 * Interface to a store of rows in partitioned tables with a change feed.
 *
 * It can do more than `TableService`: a transaction may write several rows with conditions on any rows, and the changes after a version can be
 * followed.
 */

/** The address of a row; transactions are serialised per part. */
export type RowAddress = {table: string; part: string; key: string};

/** A stored row. */
export type StoredValue = RowAddress & {
	value: Uint8Array;
	/** Value of a store-wide counter that each transaction increases. */
	version: number;
};

/** A change of a row from the change feed; an undefined value means that the row was removed. */
export type RowChange = RowAddress & {value: Uint8Array | undefined; version: number};

/** A condition of a transaction: the version that a row must have; 0 means that the row must not exist. */
export type RowCondition = RowAddress & {version: number};

/** An atomic transaction. */
export type RowTransaction = {
	conditions: RowCondition[];
	puts: Array<RowAddress & {value: Uint8Array}>;
	deletes: RowAddress[];
};

/** A page of rows, read as a consistent snapshot. */
export type RowPage = {
	rows: StoredValue[];
	hasMore: boolean;
	/** Latest version of the store at the time of the snapshot. */
	version: number;
	/** Time by the store's monotonic clock, in milliseconds. */
	storeMs: number;
};

/** A range of rows of a part, in ascending order of their keys. */
export type RowRange = {
	table: string;
	part: string;
	/** First key, inclusive. */
	from?: string;
	/** End of the range, exclusive. */
	to?: string;
	limit?: number;
};

/** The changes of a table after a version. */
export type ChangePage = {changes: RowChange[]; version: number; storeMs: number};

/** The result of an applied transaction. */
export type CommitReceipt = {
	/** New version of the written rows. */
	version: number;
	storeMs: number;
};

/**
 * The row store.
 *
 * Each call may throw `PlatformError`: `unavailable` or `limited` if it had no effect, `unknown` if a write may have been applied or may still
 * be applied later, `conflict` if a condition was not met.
 */
export type RowStore = {
	commit(transaction: RowTransaction): Promise<CommitReceipt>;
	read(range: RowRange): Promise<RowPage>;
	/** Returns the changes after a version; waits up to `waitMs` for the first one. Throws `missing` if the store no longer has that history. */
	follow(table: string, after: number, waitMs: number): Promise<ChangePage>;
};

/** A store of objects by name. */
export type BlobStore = {
	put(name: string, content: Uint8Array): Promise<void>;
	/** Throws `missing` if the object does not exist. */
	get(name: string): Promise<Uint8Array>;
	drop(name: string): Promise<void>;
};
