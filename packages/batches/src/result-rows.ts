/**
 * Encodes results as rows and decodes them: one or more rows for each result, ordered by position.
 */
import {Buffer} from 'node:buffer';
import {PlatformError, type RowAddress, type StoredValue} from '@wasabiusher/backends';
import {sampleResultSchema, type SampleResult} from './batch.js';

/** Bytes of a result in one row; a row of the store holds up to 65,536. */
const chunkBytes = 60_000;

const positionDigits = 8;
const chunkDigits = 4;

export const resultTable = 'batch-results';

export type PositionedResult = {position: number; result: SampleResult};

function formatPosition(position: number): string {
	return String(position).padStart(positionDigits, '0');
}

/** Returns the first key of a position; all keys of later positions sort after it. */
export function formatFirstKey(batch: string, position: number): string {
	return `${batch}/${formatPosition(position)}/`;
}

/** Returns the first key after all keys of a batch: `0` is the character that follows the slash. */
export function formatEndKey(batch: string): string {
	return `${batch}0`;
}

/** Encodes a result at a position as rows. */
export function encodeResult(batch: string, part: string, {position, result}: PositionedResult): Array<RowAddress & {value: Uint8Array}> {
	const bytes = Buffer.from(JSON.stringify(result));
	const count = Math.max(1, Math.ceil(bytes.length / chunkBytes));
	return Array.from({length: count}, (_, i) => ({
		table: resultTable,
		part,
		key: `${formatFirstKey(batch, position)}${String(i).padStart(chunkDigits, '0')}-${count}`,
		value: bytes.subarray(i * chunkBytes, (i + 1) * chunkBytes),
	}));
}

const keyPattern = /\/(?<position>\d+)\/(?<chunk>\d+)-(?<count>\d+)$/v;

/** Decodes results from rows in the order of their keys. A last result whose rows do not all fit on the page is omitted. */
export function decodeResults(rows: readonly StoredValue[]): PositionedResult[] {
	const results: PositionedResult[] = [];
	let chunks: Uint8Array[] = [];
	for (const {key, value} of rows) {
		const groups = keyPattern.exec(key)?.groups;
		if (!groups) {
			throw new PlatformError('invalid', `row ${key} is not a valid result`);
		}

		chunks = Number(groups.chunk) === 0 ? [value] : [...chunks, value];
		if (chunks.length === Number(groups.count)) {
			results.push({position: Number(groups.position), result: parseResult(key, chunks)});
			chunks = [];
		}
	}

	return results;
}

function parseResult(key: string, chunks: readonly Uint8Array[]): SampleResult {
	try {
		return sampleResultSchema.parse(JSON.parse(Buffer.concat(chunks).toString()));
	} catch (error) {
		throw new PlatformError('invalid', `row ${key} is not a valid result`, error);
	}
}
