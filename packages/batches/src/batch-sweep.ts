/**
 * Deletes ended batches and retained texts after their retention period.
 */
import {describeError, type Log} from '@wasabiusher/shared';
import type {BatchStore} from './batch-store.js';
import type {RetainedTexts} from './retained-texts.js';
import type {KnownBatches} from './known-batches.js';

export type SweepSettings = {
	store: BatchStore;
	retainedTexts: RetainedTexts;
	known: KnownBatches;
	log: Log;
};

/** Deletes ended batches and retained texts that are older than a time on the store's clock, in milliseconds; a batch is as old as its acceptance. Never rejects. */
export async function sweepBefore({
	store, retainedTexts, known, log,
}: SweepSettings, cutoffMs: number): Promise<void> {
	const expired = [...known.values()].filter(({record}) => record.isEnded && record.acceptedMs < cutoffMs);
	try {
		const texts = await retainedTexts.deleteBefore(cutoffMs);
		for (const {record, version} of expired) {
			// Sequential, since nothing waits for the result.
			// eslint-disable-next-line no-await-in-loop
			await store.remove({record, version});
		}

		if (expired.length > 0 || texts > 0) {
			log.info('swept', {batches: expired.length, texts});
		}
	} catch (error) {
		// The next sweep deletes what is left.
		log.info('sweep_failed', {reason: describeError(error)});
	}
}
