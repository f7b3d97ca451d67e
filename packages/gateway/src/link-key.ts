/**
 * The key that hosts prove to each other: whoever has read the store belongs to the system.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {PlatformError, type RowStore} from '@wasabiusher/backends';

const address = {table: 'link-keys', part: '', key: 'current'};

/** 256 bits can't be guessed. */
const keyBytes = 32;

/** Reads the key, or writes the first one. Throws `PlatformError`. */
export async function readLinkKey(store: RowStore): Promise<string> {
	const {rows: [row]} = await store.read({table: address.table, part: address.part, limit: 1});
	if (row) {
		return Buffer.from(row.value).toString();
	}

	const key = randomBytes(keyBytes).toString('hex');
	try {
		await store.commit({conditions: [{...address, version: 0}], puts: [{...address, value: Buffer.from(key)}], deletes: []});
		return key;
	} catch (error) {
		if (error instanceof PlatformError && error.code === 'conflict') {
			return readLinkKey(store);
		}

		throw error;
	}
}
