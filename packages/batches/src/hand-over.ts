/**
 * Leaves a share without an owner, with its unfinished texts, when its host leaves.
 */
import {describeError, type Log} from '@wasabiusher/shared';
import type {BatchRecord, StoredBatch} from './batch.js';
import type {BatchStore, PartialTexts} from './batch-store.js';

export type HandOverSettings = {
	store: BatchStore;
	log: Log;
	/** Whether a share is this process's. */
	isOurs(record: BatchRecord, share: number): boolean;
};

/** Hands a share over; the row may be changed by hosts that hand over other shares meanwhile. Never rejects. */
export async function handOverShare({store, log, isOurs}: HandOverSettings, stored: StoredBatch, share: number, partials: PartialTexts): Promise<void> {
	const batch = stored.record.id;
	try {
		let found: StoredBatch | undefined = stored;
		while (found && isOurs(found.record, share)) {
			const {record, version}: StoredBatch = found;
			const shares = record.shares.with(share, {...record.shares[share]!, owner: '', ownerHost: ''});
			// Each try depends on what the one before has found.
			// eslint-disable-next-line no-await-in-loop
			const written = await store.write({...record, shares}, version, store.preparePartials(batch, partials));
			if (written !== undefined) {
				log.info('share_handed_over', {batch, share, texts: partials.size});
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			found = await store.find(batch);
		}
	} catch (error) {
		// Others take it over once this process is seen to have left.
		log.warn('hand_over_failed', {batch, share, reason: describeError(error)});
	}
}
