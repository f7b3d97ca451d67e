/**
 * The shared key by which hosts authenticate to each other. It is kept in the store, so access to the store proves that a host belongs to the system.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {PlatformError, type RowStore} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';

const keyLocation = {table: 'link-keys', part: '', key: 'current'};

/** Length of a key in bytes; 256 bits can't be guessed. */
const keyBytes = 32;

/** Delay before the key is read again after a failure, in milliseconds. Links are needed only once the store has served this host. */
const retryDelayMs = 1000;

/** Returns the key, and creates it if the store has none. Throws `PlatformError`. */
export async function readLinkKey(store: RowStore): Promise<string> {
	const {rows: [row]} = await store.read({table: keyLocation.table, part: keyLocation.part, limit: 1});
	if (row) {
		return Buffer.from(row.value).toString();
	}

	const key = randomBytes(keyBytes).toString('hex');
	try {
		await store.commit({conditions: [{...keyLocation, version: 0}], puts: [{...keyLocation, value: Buffer.from(key)}], deletes: []});
		return key;
	} catch (error) {
		if (error instanceof PlatformError && error.code === 'conflict') {
			return readLinkKey(store);
		}

		throw error;
	}
}

/** Reads the key and retries until it succeeds. Resolves to undefined once `isStopped` returns true. Never rejects. */
export async function waitForLinkKey(store: RowStore, log: Log, isStopped: () => boolean): Promise<string | undefined> {
	while (!isStopped()) {
		try {
			// Attempts run one after the other.
			// eslint-disable-next-line no-await-in-loop
			return await readLinkKey(store);
		} catch (error) {
			log.info('link_key_not_read', {reason: describeError(error)});
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				setTimeout(resolve, retryDelayMs);
			});
		}
	}

	return undefined;
}
