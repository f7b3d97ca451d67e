/**
 * Reads submissions of batches through a cache.
 */
import {LRUCache} from 'lru-cache';
import type {BatchRecord, Submission} from './batch.js';
import type {BatchStore} from './batch-store.js';

/** Maximum cached submissions, beside those of owned shares; they serve reads of request bodies. */
const maxCached = 8;

/** Reads submissions and caches the most recently used ones. */
export class Submissions {
	readonly #store: BatchStore;
	readonly #cache = new LRUCache<string, Submission>({max: maxCached});

	constructor(store: BatchStore) {
		this.#store = store;
	}

	cache(batch: string, submission: Submission): void {
		this.#cache.set(batch, submission);
	}

	/** Reads a batch's submission; throws `BatchError` as the store does. */
	async read(record: BatchRecord): Promise<Submission> {
		const submission = this.#cache.get(record.id) ?? await this.#store.readSubmission(record);
		this.cache(record.id, submission);
		return submission;
	}
}
