/**
 * The record of a step: what was asked for, which samples were made, and which of them the trainer has.
 *
 * One head row a step, changed by compare-and-set, with the fence of its owner: once a new owner has
 * written its fence there, no commit of an earlier owner can succeed. Samples are committed in batches: the
 * payloads in one object, then one transaction of a batch row and the head. What was asked for lies in the
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

/** Digits of a batch's number in its key, so that keys sort as numbers do. */
const batchDigits = 8;

const headSchema = z.object({
	/** Hash of what was asked for. */
	fingerprint: z.string(),
	/** Of the owner that wrote last. */
	fence: z.int(),
	/** Batches committed. */
	batches: z.int().nonnegative(),
	/** Samples that the trainer has acknowledged, as a cursor. */
	acknowledged: z.string(),
	isClosed: z.boolean(),
	attempt: z.string(),
});

const batchSchema = z.object({
	object: z.string(),
	fence: z.int(),
	/** What the object holds, for people to trace a sample without reading it. */
	samples: z.array(sampleSchema.pick({id: true, attempt: true, versions: true})),
	attempt: z.string(),
});

type Head = z.infer<typeof headSchema>;

/** A step as it stands in the record. */
export type RecordedStep = Omit<Head, 'attempt'> & {
	/** What was asked for, as it was given to `open`. */
	request: unknown;
};

export type SampleLogSettings = {tables: TableService; objects: ObjectStore; step: string};

/** Reads the record of one step, and extends it for its owner. All methods throw `RecordError`. */
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

	/** Commits samples, and notes which the trainer has. Only after `open`. */
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

	/** Notes that the trainer has the whole step. */
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
		// The batch row is never changed again, so it is the better witness.
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
			throw new RecordError('unknown', `object ${key} is gone`);
		}

		return JSON.parse(Buffer.from(content).toString());
	}

	async #putJson(key: string, value: unknown): Promise<void> {
		try {
			// The same content under the same key: a put whose answer was lost may be repeated by the caller.
			await this.#objects.put(key, Buffer.from(JSON.stringify(value)));
		} catch (error) {
			throw new RecordError('unavailable', `object ${key} can not be written`, error);
		}
	}
}
