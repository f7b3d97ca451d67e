/**
 * Removes what nobody reads any more: batches that have ended long ago, and texts as old.
 */
import {describeError, type Log} from '@wasabiusher/shared';
import type {BatchStore} from './batch-store.js';
import type {KeptTexts} from './kept-texts.js';
import type {KnownBatches} from './known-batches.js';

export type SweepSettings = {
	store: BatchStore;
	keptTexts: KeptTexts;
	known: KnownBatches;
	log: Log;
};

/** Removes what was accepted or kept before a time on the store's clock. Never rejects. */
export async function sweepBefore({
	store, keptTexts, known, log,
}: SweepSettings, storeMs: number): Promise<void> {
	const old = [...known.values()].filter(({record}) => record.isEnded && record.acceptedMs < storeMs);
	try {
		const texts = await keptTexts.forgetBefore(storeMs);
		for (const {record, version} of old) {
			// One after the other: nothing waits for it.
			// eslint-disable-next-line no-await-in-loop
			await store.remove({record, version});
		}

		if (old.length > 0 || texts > 0) {
			log.info('swept', {batches: old.length, texts});
		}
	} catch (error) {
		// What is left is found again at the next sweep.
		log.info('sweep_failed', {reason: describeError(error)});
	}
}
