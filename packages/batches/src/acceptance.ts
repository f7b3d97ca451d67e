/**
 * Accepts a batch: derives its row from the submission, and writes it until the outcome is known.
 */
import {describeError} from '@wasabiusher/shared';
import type {BatchRecord, StoredBatch, Submission} from './batch.js';
import type {BatchStore, PreparedSubmission, RowWrite} from './batch-store.js';
import {scopeToCustomer} from './customers.js';
import {BatchError} from './errors.js';
import {pause} from './pause.js';

/**
 * Time for retries when the store does not confirm an acceptance, in milliseconds. The trainer then submits the batch to another host,
 * where the row decides; at a host that can't reach the store, waiting longer would only delay the trainer.
 */
const acceptTimeoutMs = 600;

/** Pause before a failed store operation is retried, in milliseconds. */
export const settleRetryMs = 100;

/** Returns the name of the submission's trainer: its customer, host name and path without the last segment, which belongs to the batch. */
export function findSeries({customer, host, path}: Submission): string {
	return scopeToCustomer(customer, host + path.slice(0, path.lastIndexOf('/') + 1));
}

/** Estimates the work of a batch, in tokens. A sample without an expected length counts as one token. */
export function estimateWork({model = '', samples}: Submission): Pick<BatchRecord, 'model' | 'expectedTokens' | 'longestTokens'> {
	const lengths = samples.map(({expectedTokens}) => expectedTokens ?? 1);
	return {model, expectedTokens: lengths.reduce((sum, length) => sum + length, 0), longestTokens: Math.max(0, ...lengths)};
}

/**
 * Prepares a submission for its acceptance. An object that an earlier attempt has left in the store does no harm.
 *
 * @throws {BatchError} `unavailable`: the batch is not accepted
 */
export async function prepareSubmission(store: BatchStore, id: string, submission: Submission): Promise<PreparedSubmission> {
	try {
		return await store.prepareSubmission(id, submission);
	} catch (error) {
		// Without its row the batch is not accepted, whether or not the object was written.
		throw new BatchError('unavailable', `the submission could not be stored: ${describeError(error)}`, error);
	}
}

/**
 * Writes the row of a new batch together with the rows of its submission.
 *
 * @returns undefined if another process has accepted it
 * @throws {BatchError} `unknown` if the store did not confirm whether it was accepted
 */
export async function writeAccepted(store: BatchStore, record: BatchRecord, rows: readonly RowWrite[]): Promise<StoredBatch | undefined> {
	let isUncertain = false;
	const retryUntil = performance.now() + acceptTimeoutMs;
	for (;;) {
		try {
			// Each attempt follows the previous one.
			// eslint-disable-next-line no-await-in-loop
			const version = await store.write(record, 0, rows);
			return version === undefined ? undefined : {record, version};
		} catch (error) {
			isUncertain ||= error instanceof BatchError && error.code === 'unknown';
			if (!isUncertain) {
				throw error;
			}

			if (performance.now() > retryUntil) {
				throw new BatchError('unknown', `the store did not confirm whether batch ${record.id} was accepted`, error);
			}

			// eslint-disable-next-line no-await-in-loop
			await pause(settleRetryMs);
		}
	}
}
