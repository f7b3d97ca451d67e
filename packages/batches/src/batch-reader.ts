/**
 * Reads results and request bodies of any batch: from memory if this process owns the whole batch, otherwise from the store.
 *
 * If the store can't be reached, reads fail as `unavailable`; a batch is reported as missing only if the store has confirmed it.
 */
import {Buffer} from 'node:buffer';
import type {Log} from '@wasabiusher/shared';
import type {ResultPage, SampleResult, StoredBatch} from './batch.js';
import type {BatchStore} from './batch-store.js';
import {isOfCustomer} from './customers.js';
import {BatchError} from './errors.js';
import type {KnownBatches} from './known-batches.js';
import {pause} from './pause.js';
import type {ShareOwner} from './share-owner.js';
import type {Submissions} from './submissions.js';

/**
 * Pause between reads of the store for a trainer that waits at a host that does not own its batch, in milliseconds. The trainer ends its step
 * after reading the last group that it waits for, so on average half of this pause is idle time of the step. Ten waiting trainers cause 200 reads a second.
 */
const pollIntervalMs = 50;

/** Maximum text in one answer, in characters; keeps the whole answer below 1 MB. */
const maxPageCharacters = 700_000;

export type BatchReaderSettings = {
	store: BatchStore;
	submissions: Submissions;
	known: KnownBatches;
	log: Log;
	/** Shares of a batch that this process owns. */
	listOwners(batch: string): ShareOwner[];
	/** Called with each row that was read from the store. */
	onFound(found: StoredBatch): void;
};

/** Reads batches on behalf of callers. */
export class BatchReader {
	readonly #settings: BatchReaderSettings;

	constructor(settings: BatchReaderSettings) {
		this.#settings = settings;
	}

	/**
	 * Reads results from a position on, waiting up to `waitMs` milliseconds for the first one.
	 *
	 * @param customer - customer of the caller; undefined where no key is required
	 * @throws {BatchError} `missing` if the customer has no such batch, `unavailable` if the store can't be reached to find out
	 */
	async read(id: string, after: number, waitMs: number, customer?: string): Promise<ResultPage> {
		const owner = this.#findSoleOwner(id);
		if (owner && isOfCustomer(owner.stored.record, customer)) {
			await owner.waitBeyond(after, waitMs);
			if (this.#findSoleOwner(id) === owner) {
				return this.#logPage(id, after, {total: owner.stored.record.total, results: takePage(owner.results.slice(after))});
			}
		}

		const {record: {total}} = await this.findCustomerBatch(id, customer);
		return this.#readStored(id, after, waitMs, total);
	}

	/** Reads the request body of a sample; throws `BatchError` as `read` does. */
	async readBody(id: string, sample: string, customer?: string): Promise<Uint8Array> {
		const {listOwners, submissions} = this.#settings;
		const {record} = await this.findCustomerBatch(id, customer);
		const submission = listOwners(id)[0]?.submission ?? await submissions.read(record);
		const found = submission.samples.find(candidate => candidate.id === sample);
		if (!found) {
			throw new BatchError('missing', `batch ${id} has no sample ${sample}`);
		}

		return Buffer.from(found.body, 'base64');
	}

	/** Returns a batch's row, from the store if it is unknown here or `isFresh` is set; throws `BatchError` as `read` does. */
	async findBatch(id: string, isFresh = false): Promise<StoredBatch> {
		const known = isFresh ? undefined : this.#settings.known.get(id);
		if (known) {
			return known;
		}

		const found = await this.#settings.store.find(id);
		if (!found) {
			throw new BatchError('missing', `the store has no batch ${id}`);
		}

		this.#settings.onFound(found);
		return found;
	}

	/** Returns a batch's row as `findBatch` does; a batch of another customer counts as missing. */
	async findCustomerBatch(id: string, customer: string | undefined, isFresh = false): Promise<StoredBatch> {
		const found = await this.findBatch(id, isFresh);
		if (!isOfCustomer(found.record, customer)) {
			throw new BatchError('missing', `the customer has no batch ${id}`);
		}

		return found;
	}

	/** Returns the owner of the only share of a batch; undefined if this process does not own the whole batch. */
	#findSoleOwner(id: string): ShareOwner | undefined {
		return this.#settings.listOwners(id).find(({isOnlyShare}) => isOnlyShare);
	}

	async #readStored(id: string, after: number, waitMs: number, total: number): Promise<ResultPage> {
		const {store, known} = this.#settings;
		const until = performance.now() + waitMs;
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const found = await store.readResults(id, after);
			const isFinal = performance.now() >= until || after >= total || known.get(id)?.record.isEnded;
			if (found.length > 0 || isFinal) {
				return this.#logPage(id, after, {total, results: takePage(found.map(({result}) => result))});
			}

			// eslint-disable-next-line no-await-in-loop
			await pause(pollIntervalMs);
		}
	}

	#logPage(id: string, after: number, page: ResultPage): ResultPage {
		if (page.results.length > 0) {
			this.#settings.log.info('results_read', {batch: id, after, results: page.results.length});
		}

		return page;
	}
}

/** Returns the leading results that fit into one answer, at least one. */
function takePage(results: readonly SampleResult[]): SampleResult[] {
	let length = 0;
	const end = results.findIndex(({text}, i) => {
		length += text.length;
		return i > 0 && length > maxPageCharacters;
	});
	return end === -1 ? [...results] : results.slice(0, end);
}
