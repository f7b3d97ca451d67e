/**
 * Accepting a batch: what its row tells of it, and how a lost answer is settled.
 */
import {describeError} from '@wasabiusher/shared';
import type {BatchRecord, StoredBatch, Submission} from './batch.js';
import type {BatchStore, PreparedSubmission, RowWrite} from './batch-store.js';
import {nameForCustomer} from './customers.js';
import {BatchError} from './errors.js';
import {pause} from './pause.js';

/**
 * Time within which the lost answer of an acceptance is settled, in milliseconds. The trainer hands the batch in again elsewhere,
 * where the row decides; at a host that is cut off from the store a longer wait would only hold it.
 */
const acceptMs = 600;

/** Pause before a write whose answer was lost is tried again, in milliseconds. */
export const settlePauseMs = 100;

/** Names a trainer: its customer, and its part of the path, which is all but the batch's own last step. */
export function findSeries({customer, host, path}: Submission): string {
	return nameForCustomer(customer, host + path.slice(0, path.lastIndexOf('/') + 1));
}

/** What a batch asks of the endpoints; a sample of which nothing is known counts as one token. */
export function measureWork({model = '', samples}: Submission): Pick<BatchRecord, 'model' | 'expectedTokens' | 'longestTokens'> {
	const lengths = samples.map(({expectedTokens}) => expectedTokens ?? 1);
	return {model, expectedTokens: lengths.reduce((sum, length) => sum + length, 0), longestTokens: Math.max(0, ...lengths)};
}

/**
 * Prepares a submission; the store may have its object already from an earlier attempt, which does no harm.
 *
 * @throws {BatchError} `unavailable`: nothing is accepted
 */
export async function prepareSubmission(store: BatchStore, id: string, submission: Submission): Promise<PreparedSubmission> {
	try {
		return await store.prepareSubmission(id, submission);
	} catch (error) {
		// Without its row the batch is not accepted, whatever became of the object.
		throw new BatchError('unavailable', `the submission can not be kept: ${describeError(error)}`, error);
	}
}

/**
 * Writes a new batch's row with the rows that belong to it.
 *
 * @returns undefined if another process has accepted it
 * @throws {BatchError} `unknown` if it could not be settled whether it was accepted
 */
export async function writeAccepted(store: BatchStore, record: BatchRecord, rows: readonly RowWrite[]): Promise<StoredBatch | undefined> {
	let isDoubtful = false;
	const until = performance.now() + acceptMs;
	for (;;) {
		try {
			// Each try follows the one before.
			// eslint-disable-next-line no-await-in-loop
			const version = await store.write(record, 0, rows);
			return version === undefined ? undefined : {record, version};
		} catch (error) {
			isDoubtful ||= error instanceof BatchError && error.code === 'unknown';
			if (!isDoubtful) {
				throw error;
			}

			if (performance.now() > until) {
				throw new BatchError('unknown', `it is not known whether batch ${record.id} was accepted`, error);
			}

			// eslint-disable-next-line no-await-in-loop
			await pause(settlePauseMs);
		}
	}
}
