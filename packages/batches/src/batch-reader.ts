/**
 * Reads results and bodies of any batch: from memory if this process owns all of it, otherwise from the store.
 *
 * A process that can't ask the store says so; it never says that a batch does not exist unless the store has said it.
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
 * when it has read the last group it waits for, so half of this is idle time of each step; ten trainers that wait take 200 reads a second.
 */
const pollMs = 50;

/** Most text in one answer, in characters; the answer as a whole stays under 1 MB. */
const maxPageText = 700_000;

export type BatchReaderSettings = {
	store: BatchStore;
	submissions: Submissions;
	known: KnownBatches;
	log: Log;
	/** Shares of a batch that this process works on. */
	listOwners(batch: string): ShareOwner[];
	/** Called with each row that was read. */
	onFound(found: StoredBatch): void;
};

/** Answers for batches. */
export class BatchReader {
	readonly #settings: BatchReaderSettings;

	constructor(settings: BatchReaderSettings) {
		this.#settings = settings;
	}

	/**
	 * Reads results from a position on, waiting up to `waitMs` for one.
	 *
	 * @param customer - who asks; undefined where no key is needed
	 * @throws {BatchError} `missing` if the customer has no such batch, `unavailable` if that can't be told
	 */
	async read(id: string, after: number, waitMs: number, customer?: string): Promise<ResultPage> {
		const owner = this.#findWholeOwner(id);
		if (owner && isOfCustomer(owner.stored.record, customer)) {
			await owner.waitBeyond(after, waitMs);
			if (this.#findWholeOwner(id) === owner) {
				return this.#notePage(id, after, {total: owner.stored.record.total, results: cutPage(owner.results.slice(after))});
			}
		}

		const {record: {total}} = await this.findOwnBatch(id, customer);
		return this.#readStored(id, after, waitMs, total);
	}

	/** Reads the body of a sample; throws `BatchError` as `read` does. */
	async readBody(id: string, sample: string, customer?: string): Promise<Uint8Array> {
		const {listOwners, submissions} = this.#settings;
		const {record} = await this.findOwnBatch(id, customer);
		const submission = listOwners(id)[0]?.submission ?? await submissions.read(record);
		const found = submission.samples.find(other => other.id === sample);
		if (!found) {
			throw new BatchError('missing', `batch ${id} has no sample ${sample}`);
		}

		return Buffer.from(found.body, 'base64');
	}

	/** Finds a batch's row, by what is known or anew in the store; throws `BatchError` as `read` does. */
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

	/** Finds a batch of a customer; another's does not exist for it. */
	async findOwnBatch(id: string, customer: string | undefined, isFresh = false): Promise<StoredBatch> {
		const found = await this.findBatch(id, isFresh);
		if (!isOfCustomer(found.record, customer)) {
			throw new BatchError('missing', `the customer has no batch ${id}`);
		}

		return found;
	}

	/** The owner of a batch that has no other shares. */
	#findWholeOwner(id: string): ShareOwner | undefined {
		return this.#settings.listOwners(id).find(({isAll}) => isAll);
	}

	async #readStored(id: string, after: number, waitMs: number, total: number): Promise<ResultPage> {
		const {store, known} = this.#settings;
		const until = performance.now() + waitMs;
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const found = await store.readResults(id, after);
			const isOver = performance.now() >= until || after >= total || known.get(id)?.record.isEnded;
			if (found.length > 0 || isOver) {
				return this.#notePage(id, after, {total, results: cutPage(found.map(({result}) => result))});
			}

			// eslint-disable-next-line no-await-in-loop
			await pause(pollMs);
		}
	}

	#notePage(id: string, after: number, page: ResultPage): ResultPage {
		if (page.results.length > 0) {
			this.#settings.log.info('results_read', {batch: id, after, results: page.results.length});
		}

		return page;
	}
}

/** As many of the first results as fit into one answer; one at least. */
function cutPage(results: readonly SampleResult[]): SampleResult[] {
	let length = 0;
	const end = results.findIndex(({text}, i) => {
		length += text.length;
		return i > 0 && length > maxPageText;
	});
	return end === -1 ? [...results] : results.slice(0, end);
}
