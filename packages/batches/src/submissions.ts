/**
 * Reads submissions of batches through a cache.
 */
import {LRUCache} from 'lru-cache';
import type {BatchRecord, Submission} from './batch.js';
import type {BatchStore} from './batch-store.js';
import {estimateBytes} from './submission-size.js';

/** Maximum cached submissions and their memory in bytes, beside those of owned shares; they serve reads of request bodies. */
const maxCached = 8;
const maxCachedBytes = 8 * 1_048_576;

/** The cache wants sizes of at least 1. */
function estimateSize(submission: Submission): number {
	return 1 + estimateBytes(submission);
}

/** Reads submissions and caches the most recently used ones. */
export class Submissions {
	readonly #store: BatchStore;
	readonly #cache = new LRUCache<string, Submission>({max: maxCached, maxSize: maxCachedBytes, sizeCalculation: estimateSize});

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
