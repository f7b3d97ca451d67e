/**
 * Adapts a partitioned row store to the table service interface, so that leases work on both.
 */
import {Buffer} from 'node:buffer';
import {
	PlatformError, type ConditionalWrite, type RowAddress, type RowStore, type ScanOptions, type StoredRow, type StoredValue, type TableService,
} from '@wasabiusher/backends';

/** Default limit of rows in a scan. */
const scanRows = 500;

/** Stores rows as JSON in the partition with the empty name. */
export class PartTables implements TableService {
	readonly #store: RowStore;

	constructor(store: RowStore) {
		this.#store = store;
	}

	async read(table: string, key: string): Promise<StoredRow | undefined> {
		const {rows: [row]} = await this.#store.read({
			table, part: '', from: key, to: `${key}\u0000`, limit: 1,
		});
		return row && decodeRow(row);
	}

	async scan(table: string, {prefix = '', after, limit = scanRows}: ScanOptions = {}): Promise<StoredRow[]> {
		const from = after === undefined ? prefix : `${after}\u0000`;
		const {rows} = await this.#store.read({
			table, part: '', from: from > prefix ? from : prefix, to: `${prefix}\u{10FFFF}`, limit,
		});
		return rows.map(row => decodeRow(row));
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<number[]> {
		const {version} = await this.#store.commit({
			conditions: writes.flatMap(write => write.expect === undefined ? [] : [{...locate(write), version: write.expect}]),
			puts: writes.flatMap(write => write.value === undefined ? [] : [{...locate(write), value: Buffer.from(JSON.stringify(write.value))}]),
			deletes: writes.filter(({value}) => value === undefined).map(write => locate(write)),
		});
		return writes.map(({value}) => value === undefined ? 0 : version);
	}
}

function locate({table, key}: ConditionalWrite): RowAddress {
	return {table, part: '', key};
}

function decodeRow({table, key, value, version}: StoredValue): StoredRow {
	try {
		return {key, value: JSON.parse(Buffer.from(value).toString()) as unknown, version};
	} catch (error) {
		throw new PlatformError('invalid', `row ${table}/${key} is not JSON`, error);
	}
}
