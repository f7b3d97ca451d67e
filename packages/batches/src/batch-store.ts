/**
 * Batches in the store.
 *
 * The row of a batch names its owner; each write about the batch is made on the condition that this row is unchanged. So
 * a former owner that was paused, cut off or slow can write nothing, whatever it believes.
 */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {
	PlatformError, type BlobStore, type RowAddress, type RowCondition, type RowStore, type StoredValue,
} from '@wasabiusher/backends';
import {describeError} from '@wasabiusher/shared';
import {z} from 'zod';
import {
	batchRecordSchema, partialTextSchema, submissionSchema, type BatchRecord, type PartialText, type SampleResult, type StoredBatch, type Submission,
} from './batch.js';
import {BatchError} from './errors.js';
import {findPart} from './parts.js';
import {
	decodeResults, encodeResult, formatEndKey, formatFirstKey, resultTable, type PositionedResult,
} from './result-rows.js';

export const batchTable = 'batches';
const textTable = 'batch-texts';
const submissionTable = 'batch-submissions';
const endTable = 'batch-ends';

/**
 * Greatest submission that lies in rows, in bytes as deflated; a greater one is an object. Rows are written in the one transaction
 * that accepts the batch, an object before it, at eight times the time.
 */
const maxRowsBytes = 500_000;

/** Bytes of a submission in one row; a row of the store holds 65,536. */
const chunkBytes = 60_000;

/** Rows read in one call, and written in one transaction, with room for conditions. */
const pageRows = 500;
const maxWriteRows = 40;

/** Bytes written in one transaction: the store takes 1 MB of encoded text, and base64 adds a third. */
export const maxWriteBytes = 600_000;

/** Longest text that is kept of an unfinished sample, in bytes; a row holds 65,536. */
const maxPartialBytes = 60_000;

/** A row to be written in the transaction of a batch's row. */
export type RowWrite = RowAddress & {value: Uint8Array};

/** The row of an unfinished text. */
export type PartialRow = RowWrite & {sample: string};

/** A submission that is ready to be accepted. */
export type PreparedSubmission = {object: string; rows: RowWrite[]};

/** Where the results of a batch end; whoever appends expects the version that it has read. */
export type ResultEnd = {
	/** The first free position. */
	next: number;
	/** Results that each share has listed, by the share. */
	listed: readonly number[];
	/** Version of the row that tells it; 0 while there is none. */
	version: number;
};

/** Results that are to follow those that a batch has. */
export type ResultAppend = {
	batch: string;
	/** The share that lists them. */
	share: number;
	/** Version of the batch's row on whose condition they are written. */
	version: number;
	end: ResultEnd;
	results: readonly SampleResult[];
};

const endSchema = z.object({next: z.int().nonnegative(), listed: z.array(z.int().nonnegative())});

/** Texts of unfinished samples by the sample's id. */
export type PartialTexts = ReadonlyMap<string, PartialText>;

/** Reads and writes batches. Throws `BatchError`. */
export class BatchStore {
	readonly #rows: RowStore;
	readonly #blobs: BlobStore;

	constructor(rows: RowStore, blobs: BlobStore) {
		this.#rows = rows;
		this.#blobs = blobs;
	}

	/**
	 * Prepares a submission to be accepted; a great one is kept as an object first. Nothing is accepted by that.
	 *
	 * @returns the object's name and the rows that go with the batch's own
	 */
	async prepareSubmission(batch: string, submission: Submission): Promise<PreparedSubmission> {
		const content = deflateRawSync(Buffer.from(JSON.stringify(submission)));
		if (content.length > maxRowsBytes) {
			const object = `batch-${batch}`;
			await guard(this.#blobs.put(object, content));
			return {object, rows: []};
		}

		const rows = Array.from({length: Math.ceil(content.length / chunkBytes)}, (_, i) => ({
			table: submissionTable, part: findPart(batch), key: `${batch}/${String(i).padStart(2, '0')}`, value: content.subarray(i * chunkBytes, (i + 1) * chunkBytes),
		}));
		return {object: '', rows};
	}

	async readSubmission({id, object}: BatchRecord): Promise<Submission> {
		const content = object === '' ? await this.#readSubmissionRows(id) : await guard(this.#blobs.get(object));
		return submissionSchema.parse(JSON.parse(inflateRawSync(content).toString()));
	}

	/** Reads the row of a batch; undefined if there is none. */
	async find(batch: string): Promise<StoredBatch | undefined> {
		const {rows: [row]} = await guard(this.#rows.read({
			table: batchTable, part: findPart(batch), from: batch, to: `${batch}\u0000`, limit: 1,
		}));
		return row && {record: decodeRecord(row), version: row.version};
	}

	/**
	 * Writes the row of a batch on the condition that it has the given version; 0 for none.
	 *
	 * @returns the new version; undefined if the condition did not hold
	 */
	async write(record: BatchRecord, version: number, more: readonly RowWrite[] = []): Promise<number | undefined> {
		const address = locate(record.id);
		try {
			const receipt = await this.#rows.commit({
				conditions: [{...address, version}],
				puts: [{...address, value: encode(record)}, ...toWrites(more)],
				deletes: [],
			});
			return receipt.version;
		} catch (error) {
			if (error instanceof PlatformError && error.code === 'conflict') {
				return undefined;
			}

			throw toBatchError(error);
		}
	}

	/** Reads where the results of a batch end. */
	async readEnd(batch: string): Promise<ResultEnd> {
		const {key, ...address} = locateEnd(batch);
		const {rows: [row]} = await guard(this.#rows.read({
			...address, from: key, to: `${key}\u0000`, limit: 1,
		}));
		return row ? {...endSchema.parse(JSON.parse(Buffer.from(row.value).toString())), version: row.version} : {next: 0, listed: [], version: 0};
	}

	/**
	 * Writes results at the positions that follow, on the condition that the batch's row and its end are unchanged.
	 *
	 * @returns the new end; undefined if a condition did not hold
	 */
	async appendResults({batch, share, version, end, results}: ResultAppend): Promise<ResultEnd | undefined> {
		const part = findPart(batch);
		const next = end.next + results.length;
		const listed = Array.from({length: Math.max(end.listed.length, share + 1)}, (_, i) => (end.listed[i] ?? 0) + (i === share ? results.length : 0));
		const puts = results.flatMap((result, i) => encodeResult(batch, part, {position: end.next + i, result}));
		// The end alone decides; that the positions are free as well guards what was read against any mistake.
		const free: RowCondition[] = puts.map(({table, key}) => ({
			table, part, key, version: 0,
		}));
		try {
			const receipt = await this.#rows.commit({
				conditions: [{...locate(batch), version}, {...locateEnd(batch), version: end.version}, ...free],
				puts: [...puts, {...locateEnd(batch), value: encode({next, listed})}],
				deletes: [],
			});
			return {next, listed, version: receipt.version};
		} catch (error) {
			if (error instanceof PlatformError && error.code === 'conflict') {
				return undefined;
			}

			throw toBatchError(error);
		}
	}

	/** Reads results from a position on; as many as the store gives in one answer. */
	async readResults(batch: string, after: number): Promise<PositionedResult[]> {
		const {rows} = await guard(this.#rows.read({
			table: resultTable, part: findPart(batch), from: formatFirstKey(batch, after), to: formatEndKey(batch), limit: pageRows,
		}));
		return decodeResults(rows);
	}

	/** Reads all results. */
	async readAllResults(batch: string): Promise<PositionedResult[]> {
		const results: PositionedResult[] = [];
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const page = await this.readResults(batch, results.length);
			if (page.length === 0) {
				return results;
			}

			results.push(...page);
		}
	}

	/** Rows of unfinished texts, the first ones that fit into one transaction and into so many bytes. */
	preparePartials(batch: string, partials: PartialTexts, maxBytes = maxWriteBytes): PartialRow[] {
		return encodePartials(batch, partials, Math.min(maxBytes, maxWriteBytes));
	}

	/** Reads what an owner has left of unfinished texts. */
	async readPartials(batch: string): Promise<Map<string, PartialText>> {
		const {rows} = await guard(this.#rows.read({
			table: textTable, part: findPart(batch), from: `${batch}/`, to: formatEndKey(batch), limit: pageRows,
		}));
		return new Map(rows.map(({key, value}) => [
			key.slice(batch.length + 1),
			partialTextSchema.parse(JSON.parse(Buffer.from(value).toString())),
		]));
	}

	/** Keeps unfinished texts, on the condition that the batch's row is unchanged; false if it was not. */
	async keepPartials(batch: string, version: number, rows: readonly PartialRow[]): Promise<boolean> {
		try {
			await this.#rows.commit({conditions: [{...locate(batch), version}], puts: toWrites(rows), deletes: []});
			return true;
		} catch (error) {
			if (error instanceof PlatformError && error.code === 'conflict') {
				return false;
			}

			throw toBatchError(error);
		}
	}

	/** Removes all of a batch. */
	async remove({record, version}: StoredBatch): Promise<void> {
		for (const table of [resultTable, textTable, submissionTable, endTable]) {
			// eslint-disable-next-line no-await-in-loop
			await this.#removeRows(table, record.id);
		}

		if (record.object !== '') {
			await guard(this.#blobs.drop(record.object));
		}

		await guard(this.#rows.commit({conditions: [{...locate(record.id), version}], puts: [], deletes: [locate(record.id)]}));
	}

	async #readSubmissionRows(batch: string): Promise<Uint8Array> {
		const {rows} = await guard(this.#rows.read({
			table: submissionTable, part: findPart(batch), from: `${batch}/`, to: formatEndKey(batch), limit: pageRows,
		}));
		if (rows.length === 0) {
			throw new BatchError('missing', `batch ${batch} has no submission`);
		}

		return Buffer.concat(rows.map(({value}) => value));
	}

	async #removeRows(table: string, batch: string): Promise<void> {
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const {rows} = await guard(this.#rows.read({
				table, part: findPart(batch), from: `${batch}/`, to: formatEndKey(batch), limit: maxWriteRows,
			}));
			if (rows.length === 0) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await guard(this.#rows.commit({conditions: [], puts: [], deletes: rows.map(({part, key}) => ({table, part, key}))}));
		}
	}
}

/** Reads the row of a batch. */
export function decodeRecord({key, value}: Pick<StoredValue, 'key' | 'value'>): BatchRecord {
	try {
		return batchRecordSchema.parse(JSON.parse(Buffer.from(value).toString()));
	} catch (error) {
		throw new BatchError('missing', `row ${key} is not a batch`, error);
	}
}

function encode(value: unknown): Uint8Array {
	return Buffer.from(JSON.stringify(value));
}

function locate(batch: string): RowAddress {
	return {table: batchTable, part: findPart(batch), key: batch};
}

function locateEnd(batch: string): RowAddress {
	return {table: endTable, part: findPart(batch), key: `${batch}/end`};
}

/** Rows of unfinished texts; those that fit into one transaction, so that keeping them is one write. */
function encodePartials(batch: string, partials: PartialTexts, maxBytes: number): PartialRow[] {
	const rows: PartialRow[] = [];
	let bytes = 0;
	for (const [sample, partial] of partials) {
		const value = encode(partial);
		if (value.length <= maxPartialBytes && bytes + value.length <= maxBytes && rows.length < maxWriteRows) {
			bytes += value.length;
			rows.push({
				table: textTable, part: findPart(batch), key: `${batch}/${sample}`, value, sample,
			});
		}
	}

	return rows;
}

/** Only what the store is told of rows. */
function toWrites(rows: readonly RowWrite[]): RowWrite[] {
	return rows.map(({table, part, key, value}) => ({
		table, part, key, value,
	}));
}

async function guard<Result>(work: Promise<Result>): Promise<Result> {
	try {
		return await work;
	} catch (error) {
		throw toBatchError(error);
	}
}

function toBatchError(error: unknown): BatchError {
	if (error instanceof BatchError) {
		return error;
	}

	const code = error instanceof PlatformError ? storeCodes[error.code] ?? 'unavailable' : 'unknown';
	return new BatchError(code, describeError(error), error);
}

const storeCodes: Partial<Record<PlatformError['code'], BatchError['code']>> = {
	unknown: 'unknown', missing: 'missing', conflict: 'replaced',
};
