/**
 * Submissions of batches, as they were handed in or read from the store.
 */
import {LRUCache} from 'lru-cache';
import type {BatchRecord, Submission} from './batch.js';
import type {BatchStore} from './batch-store.js';

/** Submissions that are kept to serve their bodies, beside those that this process works on. */
const maxKept = 8;

/** Reads submissions, and keeps the last ones. */
export class Submissions {
	readonly #store: BatchStore;
	readonly #kept = new LRUCache<string, Submission>({max: maxKept});

	constructor(store: BatchStore) {
		this.#store = store;
	}

	keep(batch: string, submission: Submission): void {
		this.#kept.set(batch, submission);
	}

	/** Reads a batch's submission; throws `BatchError` as the store does. */
	async read(record: BatchRecord): Promise<Submission> {
		const submission = this.#kept.get(record.id) ?? await this.#store.readSubmission(record);
		this.keep(record.id, submission);
		return submission;
	}
}
