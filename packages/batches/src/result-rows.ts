/**
 * Results as rows: one or more rows a result, in the order of the positions.
 */
import {Buffer} from 'node:buffer';
import {PlatformError, type RowAddress, type StoredValue} from '@wasabiusher/backends';
import {sampleResultSchema, type SampleResult} from './batch.js';

/** Bytes of a result in one row; a row of the store holds 65,536. */
const chunkBytes = 60_000;

const positionDigits = 8;
const chunkDigits = 4;

export const resultTable = 'batch-results';

export type PositionedResult = {position: number; result: SampleResult};

function formatPosition(position: number): string {
	return String(position).padStart(positionDigits, '0');
}

/** First key of a position; all keys of later positions come after it. */
export function formatFirstKey(batch: string, position: number): string {
	return `${batch}/${formatPosition(position)}/`;
}

/** First key after all of a batch's results: the character after the slash follows. */
export function formatEndKey(batch: string): string {
	return `${batch}0`;
}

/** Rows of a result at a position. */
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

/** Puts results together from rows in the order of their keys; a last one that is cut off by the end of the page is left out. */
export function decodeResults(rows: readonly StoredValue[]): PositionedResult[] {
	const results: PositionedResult[] = [];
	let chunks: Uint8Array[] = [];
	for (const {key, value} of rows) {
		const groups = keyPattern.exec(key)?.groups;
		if (!groups) {
			throw new PlatformError('invalid', `row ${key} is not a result`);
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
		throw new PlatformError('invalid', `row ${key} is not a result`, error);
	}
}
