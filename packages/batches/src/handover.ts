/**
 * Hands over a share when its host leaves: stores its incomplete texts and leaves it without an owner.
 */
import {describeError, type Log} from '@wasabiusher/shared';
import type {BatchRecord, StoredBatch} from './batch.js';
import type {BatchStore, PartialTexts} from './batch-store.js';

export type HandoverSettings = {
	store: BatchStore;
	log: Log;
	/** Whether this process owns a share. */
	isOwnedHere(record: BatchRecord, share: number): boolean;
};

/** Hands over a share, retrying while hosts that hand over other shares change the row. Never rejects. */
export async function handOverShare({store, log, isOwnedHere}: HandoverSettings, stored: StoredBatch, share: number, partials: PartialTexts): Promise<void> {
	const batch = stored.record.id;
	try {
		let found: StoredBatch | undefined = stored;
		while (found && isOwnedHere(found.record, share)) {
			const {record, version}: StoredBatch = found;
			const shares = record.shares.with(share, {...record.shares[share]!, owner: '', ownerHost: ''});
			// Each attempt depends on the result of the previous one.
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
		// Other hosts take the share over once they know that this process has left.
		log.warn('hand_over_failed', {batch, share, reason: describeError(error)});
	}
}
