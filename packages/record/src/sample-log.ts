/**
 * Record of a step: the request, the samples that were made, and which of them the trainer has acknowledged.
 *
 * Each step has one head row, changed by compare-and-set, with the fence of its owner: once a new owner has
 * written its fence there, no commit of an earlier owner can succeed. Samples are committed in batches: the
 * payloads in one object, then one transaction of a batch row and the head. The request is stored in the
 * object store too, since it can be megabytes.
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {ObjectStore, StoredRow, TableService} from '@wasabiusher/backends';
import {sampleSchema, type Sample} from '@wasabiusher/shared';
import {z} from 'zod';
import {RecordError} from './errors.js';
import {writeSettled, type GuardedWrite} from './settled-write.js';

const headTable = 'steps';
const batchTable = 'samples';

/** Digits of a batch number in a row key; padding makes keys sort numerically. */
const batchDigits = 8;

const headSchema = z.object({
	/** Hash of the request. */
	fingerprint: z.string(),
	/** Fence of the owner that wrote last. */
	fence: z.int(),
	/** Number of committed batches. */
	batches: z.int().nonnegative(),
	/** Cursor of the samples that the trainer has acknowledged. */
	acknowledged: z.string(),
	isClosed: z.boolean(),
	attempt: z.string(),
});

const batchSchema = z.object({
	object: z.string(),
	fence: z.int(),
	/** Summary of the object's samples, for tracing one without reading the object. */
	samples: z.array(sampleSchema.pick({id: true, attempt: true, versions: true})),
	attempt: z.string(),
});

type Head = z.infer<typeof headSchema>;

/** A recorded step. */
export type RecordedStep = Omit<Head, 'attempt'> & {
	/** The request, as passed to `open`. */
	request: unknown;
};

export type SampleLogSettings = {tables: TableService; objects: ObjectStore; step: string};

/** Reads the record of one step and extends it for its owner. All methods throw `RecordError`. */
export class SampleLog {
	readonly #tables: TableService;
	readonly #objects: ObjectStore;
	readonly #step: string;
	#head: Head | undefined;
	#version = 0;

	constructor({tables, objects, step}: SampleLogSettings) {
		this.#tables = tables;
		this.#objects = objects;
		this.#step = step;
	}

	/** Reads the step; undefined if it is not recorded. Needs no lease. */
	async read(): Promise<RecordedStep | undefined> {
		const head = await this.#readHead();
		if (!head) {
			return undefined;
		}

		const request: unknown = await this.#getJson(this.#requestObject);
		return {...head, request};
	}

	/** Reads the samples committed so far. Needs no lease. */
	async readSamples(): Promise<Sample[]> {
		const rows = await this.#scanBatches();
		const batches = await Promise.all(rows.map(async ({value}) => {
			const {object} = batchSchema.parse(value);
			return z.array(sampleSchema).parse(await this.#getJson(object));
		}));
		return batches.flat();
	}

	/**
	 * Makes this process the owner: records the step, or writes the fence into its head.
	 *
	 * @throws {RecordError} `conflict` if another step is recorded under the id, or a later owner has written
	 */
	async open({fingerprint, fence, request}: {fingerprint: string; fence: number; request: unknown}): Promise<void> {
		const head = await this.#readHead();
		if (head && (head.fingerprint !== fingerprint || head.fence > fence)) {
			throw new RecordError('conflict', `step ${this.#step} is recorded with other content or by a later owner`);
		}

		if (!head) {
			await this.#putJson(this.#requestObject, request);
		}

		await this.#commit({
			...head ?? {
				fingerprint, batches: 0, acknowledged: '', isClosed: false,
			}, fence,
		});
	}

	/** Commits samples and the trainer's acknowledgement. To be called after `open`. */
	async append(samples: readonly Sample[], acknowledged: string): Promise<void> {
		const head = this.#getHead();
		if (samples.length === 0) {
			await this.#commit({...head, acknowledged});
			return;
		}

		const object = `samples/${this.#step}/${randomUUID()}`;
		await this.#putJson(object, samples);
		const batches = head.batches + 1;
		await this.#commit({...head, batches, acknowledged}, attempt => ({
			table: batchTable,
			key: this.#formatBatchKey(batches),
			expect: 0,
			value: {
				object, fence: head.fence, samples: samples.map(({id, attempt: number, versions}) => ({id, attempt: number, versions})), attempt,
			},
		}));
	}

	/** Records that the trainer has acknowledged the whole step. */
	async close(acknowledged: string): Promise<void> {
		await this.#commit({...this.#getHead(), acknowledged, isClosed: true});
	}

	get #requestObject(): string {
		return `steps/${this.#step}`;
	}

	#formatBatchKey(batch: number): string {
		return `${this.#step}/${String(batch).padStart(batchDigits, '0')}`;
	}

	#getHead(): Head {
		if (!this.#head) {
			throw new RecordError('conflict', `step ${this.#step} is not open here`);
		}

		return this.#head;
	}

	async #commit(next: Omit<Head, 'attempt'>, createBatch?: (attempt: string) => GuardedWrite): Promise<void> {
		const attempt = randomUUID();
		const head = {...next, attempt};
		const headWrite: GuardedWrite = {
			table: headTable, key: this.#step, expect: this.#version, value: head,
		};
		const batch = createBatch?.(attempt);
		// The batch row is never changed again, so it is the more reliable witness.
		const version = await writeSettled(this.#tables, {writes: batch ? [batch, headWrite] : [headWrite], attempt});
		if (version === undefined) {
			throw new RecordError('conflict', `step ${this.#step} has another owner`);
		}

		this.#head = head;
		this.#version += 1;
	}

	async #readHead(): Promise<Head | undefined> {
		let row: StoredRow | undefined;
		try {
			row = await this.#tables.read(headTable, this.#step);
		} catch (error) {
			throw new RecordError('unavailable', `the record of step ${this.#step} can not be read`, error);
		}

		this.#version = row?.version ?? 0;
		this.#head = row && headSchema.parse(row.value);
		return this.#head;
	}

	async #scanBatches(): Promise<StoredRow[]> {
		try {
			return await this.#tables.scan(batchTable, {prefix: `${this.#step}/`});
		} catch (error) {
			throw new RecordError('unavailable', `the samples of step ${this.#step} can not be read`, error);
		}
	}

	async #getJson(key: string): Promise<unknown> {
		let content: Uint8Array | undefined;
		try {
			content = await this.#objects.get(key);
		} catch (error) {
			throw new RecordError('unavailable', `object ${key} can not be read`, error);
		}

		if (!content) {
			throw new RecordError('unknown', `object ${key} does not exist`);
		}

		return JSON.parse(Buffer.from(content).toString());
	}

	async #putJson(key: string, value: unknown): Promise<void> {
		try {
			// The same content under the same key, so a put whose answer was lost may be repeated.
			await this.#objects.put(key, Buffer.from(JSON.stringify(value)));
		} catch (error) {
			throw new RecordError('unavailable', `object ${key} can not be written`, error);
		}
	}
}
