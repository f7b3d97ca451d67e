/**
 * Reads and writes batches in the store.
 *
 * The row of a batch names the owners of its shares, and each write that belongs to the batch is conditional on this row being unchanged. A former
 * owner that was paused, disconnected or slow can therefore write nothing more.
 */
import {Buffer} from 'node:buffer';
import {promisify} from 'node:util';
import {deflateRaw, deflateRawSync, inflateRawSync} from 'node:zlib';
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
const resultEndTable = 'batch-ends';

/**
 * Maximum deflated size of a submission that is stored in rows, in bytes; a larger one is stored as an object. Rows are written in the transaction
 * that accepts the batch, while an object is written before it, which takes eight times as long.
 */
const maxRowSubmissionBytes = 500_000;

/** Bytes of a submission in one row; a row of the store holds up to 65,536. */
const chunkBytes = 60_000;

/** Maximum rows read in one call, and written in one transaction beside its conditions. */
const maxReadRows = 500;
const maxWriteRows = 40;

/** Maximum bytes written in one transaction: the store accepts 1 MB of encoded text, and base64 adds a third. */
export const maxWriteBytes = 600_000;

/** Maximum size of an incomplete text that is stored, in bytes; a row holds up to 65,536. */
const maxPartialBytes = 60_000;

/** Largest object, in bytes; a larger submission is divided among several. */
const maxObjectBytes = 8 * 1_048_576;

/** Separator of the names of objects; an id of a batch, which comes in a header, can't hold it. */
const objectSeparator = '\n';

/** Size from which a submission is compressed beside other work, in bytes. */
const maxBlockingBytes = 262_144;

const deflate = promisify(deflateRaw);

/** A row to be written in the same transaction as a batch's row. */
export type RowWrite = RowAddress & {value: Uint8Array};

/** The row of an incomplete text. */
export type PartialRow = RowWrite & {sample: string};

/** A submission that is ready to be accepted. */
export type PreparedSubmission = {object: string; rows: RowWrite[]};

/** The end of a batch's result list. An append is conditional on the version that was read. */
export type ResultEnd = {
	/** The first free position. */
	next: number;
	/** Number of results that each share has listed, by its index. */
	listed: readonly number[];
	/** Version of the row that holds this end; 0 while there is none. */
	version: number;
};

/** Results to append to those of a batch. */
export type ResultAppend = {
	batch: string;
	/** Index of the share that lists them. */
	share: number;
	/** Version that the batch's row must have. */
	version: number;
	end: ResultEnd;
	results: readonly SampleResult[];
};

const endSchema = z.object({next: z.int().nonnegative(), listed: z.array(z.int().nonnegative())});

/** Incomplete texts by sample id. */
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
	 * Prepares a submission for its acceptance; a large one is stored as an object. This does not accept the batch.
	 *
	 * @returns the name of the object, empty if there is none, and the rows to write together with the batch's row
	 */
	async prepareSubmission(batch: string, submission: Submission): Promise<PreparedSubmission> {
		const text = Buffer.from(JSON.stringify(submission));
		// Compressing a large text would block the process for up to seconds.
		const content = text.length > maxBlockingBytes ? await deflate(text) : deflateRawSync(text);
		if (content.length > maxRowSubmissionBytes) {
			return {object: await this.#putObjects(batch, content), rows: []};
		}

		const rows = Array.from({length: Math.ceil(content.length / chunkBytes)}, (_, i) => ({
			table: submissionTable, part: findPart(batch), key: `${batch}/${String(i).padStart(2, '0')}`, value: content.subarray(i * chunkBytes, (i + 1) * chunkBytes),
		}));
		return {object: '', rows};
	}

	async readSubmission({id, object}: BatchRecord): Promise<Submission> {
		const content = object === '' ? await this.#readSubmissionRows(id) : await this.#getObjects(object);
		return submissionSchema.parse(JSON.parse(inflateRawSync(content).toString()));
	}

	/** Reads the row of a batch; returns undefined if there is none. */
	async find(batch: string): Promise<StoredBatch | undefined> {
		const {rows: [row]} = await wrapErrors(this.#rows.read({
			table: batchTable, part: findPart(batch), from: batch, to: `${batch}\u0000`, limit: 1,
		}));
		return row && {record: decodeRecord(row), version: row.version};
	}

	/**
	 * Writes the row of a batch on the condition that it has the given version; 0 if there must be none yet.
	 *
	 * @returns the new version; undefined if the condition did not hold
	 */
	async write(record: BatchRecord, version: number, extraRows: readonly RowWrite[] = []): Promise<number | undefined> {
		const address = locateBatch(record.id);
		try {
			const receipt = await this.#rows.commit({
				conditions: [{...address, version}],
				puts: [{...address, value: encodeJson(record)}, ...toRowWrites(extraRows)],
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

	/** Reads the end of a batch's result list. */
	async readEnd(batch: string): Promise<ResultEnd> {
		const {key, ...address} = locateEnd(batch);
		const {rows: [row]} = await wrapErrors(this.#rows.read({
			...address, from: key, to: `${key}\u0000`, limit: 1,
		}));
		return row ? {...endSchema.parse(JSON.parse(Buffer.from(row.value).toString())), version: row.version} : {next: 0, listed: [], version: 0};
	}

	/**
	 * Appends results on the condition that the batch's row and the end of its result list are unchanged.
	 *
	 * @returns the new end; undefined if a condition did not hold
	 */
	async appendResults({batch, share, version, end, results}: ResultAppend): Promise<ResultEnd | undefined> {
		const part = findPart(batch);
		const next = end.next + results.length;
		const listed = Array.from({length: Math.max(end.listed.length, share + 1)}, (_, i) => (end.listed[i] ?? 0) + (i === share ? results.length : 0));
		const puts = results.flatMap((result, i) => encodeResult(batch, part, {position: end.next + i, result}));
		// The version of the end is sufficient; the conditions on free positions also protect results that were read from being overwritten by a bug.
		const freePositions: RowCondition[] = puts.map(({table, key}) => ({
			table, part, key, version: 0,
		}));
		try {
			const receipt = await this.#rows.commit({
				conditions: [{...locateBatch(batch), version}, {...locateEnd(batch), version: end.version}, ...freePositions],
				puts: [...puts, {...locateEnd(batch), value: encodeJson({next, listed})}],
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

	/** Reads results from a position on, as many as the store returns in one answer. */
	async readResults(batch: string, after: number): Promise<PositionedResult[]> {
		const {rows} = await wrapErrors(this.#rows.read({
			table: resultTable, part: findPart(batch), from: formatFirstKey(batch, after), to: formatEndKey(batch), limit: maxReadRows,
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

	/** Encodes the leading incomplete texts that fit into one transaction and into `maxBytes`. */
	preparePartials(batch: string, partials: PartialTexts, maxBytes = maxWriteBytes): PartialRow[] {
		return encodePartials(batch, partials, Math.min(maxBytes, maxWriteBytes));
	}

	/** Reads the incomplete texts that earlier owners have stored. */
	async readPartials(batch: string): Promise<Map<string, PartialText>> {
		const {rows} = await wrapErrors(this.#rows.read({
			table: textTable, part: findPart(batch), from: `${batch}/`, to: formatEndKey(batch), limit: maxReadRows,
		}));
		return new Map(rows.map(({key, value}) => [
			key.slice(batch.length + 1),
			partialTextSchema.parse(JSON.parse(Buffer.from(value).toString())),
		]));
	}

	/** Writes incomplete texts on the condition that the batch's row is unchanged; returns false if it has changed. */
	async writePartials(batch: string, version: number, rows: readonly PartialRow[]): Promise<boolean> {
		try {
			await this.#rows.commit({conditions: [{...locateBatch(batch), version}], puts: toRowWrites(rows), deletes: []});
			return true;
		} catch (error) {
			if (error instanceof PlatformError && error.code === 'conflict') {
				return false;
			}

			throw toBatchError(error);
		}
	}

	/** Deletes all rows and objects of a batch. */
	async remove({record, version}: StoredBatch): Promise<void> {
		for (const table of [resultTable, textTable, submissionTable, resultEndTable]) {
			// eslint-disable-next-line no-await-in-loop
			await this.#removeRows(table, record.id);
		}

		for (const name of listObjects(record.object)) {
			// eslint-disable-next-line no-await-in-loop
			await wrapErrors(this.#blobs.drop(name));
		}

		await wrapErrors(this.#rows.commit({conditions: [{...locateBatch(record.id), version}], puts: [], deletes: [locateBatch(record.id)]}));
	}

	/** Stores a submission as objects; returns their names. */
	async #putObjects(batch: string, content: Uint8Array): Promise<string> {
		const count = Math.ceil(content.length / maxObjectBytes);
		const names = Array.from({length: count}, (_, i) => count === 1 ? `batch-${batch}` : `batch-${batch}.${i}`);
		for (const [i, name] of names.entries()) {
			// One after the other, so that a large submission does not occupy the store for others.
			// eslint-disable-next-line no-await-in-loop
			await wrapErrors(this.#blobs.put(name, content.subarray(i * maxObjectBytes, (i + 1) * maxObjectBytes)));
		}

		return names.join(objectSeparator);
	}

	async #getObjects(object: string): Promise<Uint8Array> {
		const parts = await Promise.all(listObjects(object).map(async name => wrapErrors(this.#blobs.get(name))));
		return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
	}

	async #readSubmissionRows(batch: string): Promise<Uint8Array> {
		const {rows} = await wrapErrors(this.#rows.read({
			table: submissionTable, part: findPart(batch), from: `${batch}/`, to: formatEndKey(batch), limit: maxReadRows,
		}));
		if (rows.length === 0) {
			throw new BatchError('missing', `batch ${batch} has no rows with its submission`);
		}

		return Buffer.concat(rows.map(({value}) => value));
	}

	async #removeRows(table: string, batch: string): Promise<void> {
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const {rows} = await wrapErrors(this.#rows.read({
				table, part: findPart(batch), from: `${batch}/`, to: formatEndKey(batch), limit: maxWriteRows,
			}));
			if (rows.length === 0) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await wrapErrors(this.#rows.commit({conditions: [], puts: [], deletes: rows.map(({part, key}) => ({table, part, key}))}));
		}
	}
}

/** Decodes the row of a batch. */
export function decodeRecord({key, value}: Pick<StoredValue, 'key' | 'value'>): BatchRecord {
	try {
		return batchRecordSchema.parse(JSON.parse(Buffer.from(value).toString()));
	} catch (error) {
		throw new BatchError('missing', `row ${key} is not a valid batch`, error);
	}
}

/** Names of the objects that hold a submission; none if it is stored in rows. */
function listObjects(object: string): string[] {
	return object === '' ? [] : object.split(objectSeparator);
}

function encodeJson(value: unknown): Uint8Array {
	return Buffer.from(JSON.stringify(value));
}

function locateBatch(batch: string): RowAddress {
	return {table: batchTable, part: findPart(batch), key: batch};
}

function locateEnd(batch: string): RowAddress {
	return {table: resultEndTable, part: findPart(batch), key: `${batch}/end`};
}

/** Encodes incomplete texts, skipping those that do not fit, so that one transaction writes them all. */
function encodePartials(batch: string, partials: PartialTexts, maxBytes: number): PartialRow[] {
	const rows: PartialRow[] = [];
	let bytes = 0;
	for (const [sample, partial] of partials) {
		const value = encodeJson(partial);
		if (value.length <= maxPartialBytes && bytes + value.length <= maxBytes && rows.length < maxWriteRows) {
			bytes += value.length;
			rows.push({
				table: textTable, part: findPart(batch), key: `${batch}/${sample}`, value, sample,
			});
		}
	}

	return rows;
}

/** Removes the properties that the store does not accept. */
function toRowWrites(rows: readonly RowWrite[]): RowWrite[] {
	return rows.map(({table, part, key, value}) => ({
		table, part, key, value,
	}));
}

async function wrapErrors<Result>(work: Promise<Result>): Promise<Result> {
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

	const code = error instanceof PlatformError ? errorCodes[error.code] ?? 'unavailable' : 'unknown';
	return new BatchError(code, describeError(error), error);
}

const errorCodes: Partial<Record<PlatformError['code'], BatchError['code']>> = {
	unknown: 'unknown', missing: 'missing', conflict: 'replaced',
};
