/**
 * Interface to a table service whose rows lie in parts and whose changes can be followed.
 *
 * A superset of `TableService` in what it can do: transactions over several rows with conditions
 * on any of them, and a feed of changes from a version on.
 */

/** Where a row lies; a part is the unit in which transactions follow one another. */
export type RowAddress = {table: string; part: string; key: string};

/** A row as it is stored. */
export type StoredValue = RowAddress & {
	value: Uint8Array;
	/** From one counter of the whole store, which each transaction raises. */
	version: number;
};

/** A change of a row, as the feed tells it; without a value the row was removed. */
export type RowChange = RowAddress & {value: Uint8Array | undefined; version: number};

/** A condition: the version that a row must have; 0 demands that there is none. */
export type RowCondition = RowAddress & {version: number};

/** A transaction: all of it is applied, or none. */
export type RowTransaction = {
	conditions: RowCondition[];
	puts: Array<RowAddress & {value: Uint8Array}>;
	deletes: RowAddress[];
};

/** Rows of one moment. */
export type RowPage = {
	rows: StoredValue[];
	hasMore: boolean;
	/** The newest version in the store at that moment. */
	version: number;
	/** The store's steady clock, in milliseconds. */
	storeMs: number;
};

/** Which rows of a part to read, in ascending order of their keys. */
export type RowRange = {
	table: string;
	part: string;
	/** First key. */
	from?: string;
	/** First key that is left out. */
	to?: string;
	limit?: number;
};

/** Changes of a table after a version. */
export type ChangePage = {changes: RowChange[]; version: number; storeMs: number};

/** The answer to a transaction that was applied. */
export type CommitReceipt = {
	/** Version that the written rows now have. */
	version: number;
	storeMs: number;
};

/**
 * The store.
 *
 * Each call may throw `PlatformError`: `unavailable` or `limited` if nothing was done, `unknown` if a
 * write may have been done or may be done yet, `conflict` if a condition did not hold.
 */
export type RowStore = {
	commit(transaction: RowTransaction): Promise<CommitReceipt>;
	read(range: RowRange): Promise<RowPage>;
	/** Waits up to `waitMs` for a change after a version. Throws `missing` if that history is gone. */
	follow(table: string, after: number, waitMs: number): Promise<ChangePage>;
};

/** Whole objects by name. */
export type BlobStore = {
	put(name: string, content: Uint8Array): Promise<void>;
	/** Throws `missing` if there is none. */
	get(name: string): Promise<Uint8Array>;
	drop(name: string): Promise<void>;
};
