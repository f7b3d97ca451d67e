/**
 * The key that hosts prove to each other: whoever has read the store belongs to the system.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {PlatformError, type RowStore} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';

const address = {table: 'link-keys', part: '', key: 'current'};

/** 256 bits can't be guessed. */
const keyBytes = 32;

/** Pause before the key of links is asked for again, in milliseconds; nothing waits for it while the store serves this host. */
const keyRetryMs = 1000;

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

/** Reads the key until the store gives it; undefined if that is no longer wanted. Never rejects. */
export async function learnLinkKey(store: RowStore, log: Log, isStopped: () => boolean): Promise<string | undefined> {
	while (!isStopped()) {
		try {
			// Each try follows the one before.
			// eslint-disable-next-line no-await-in-loop
			return await readLinkKey(store);
		} catch (error) {
			log.info('link_key_not_read', {reason: describeError(error)});
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				setTimeout(resolve, keyRetryMs);
			});
		}
	}

	return undefined;
}
