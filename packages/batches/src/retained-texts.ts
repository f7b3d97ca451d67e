/**
 * Retains texts of samples whose batch ended before their group was complete.
 *
 * Load pattern: a trainer waits for nine tenths of the groups, ends the step, and submits the rest again with the next one, where it must wait for
 * them. These are the longest texts; started over, they would delay each step by their whole length. They are retained under the name of their group,
 * and the next batch resumes them if their weight versions meet its requirement.
 */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {
	PlatformError, type RowAddress, type RowStore, type StoredValue,
} from '@wasabiusher/backends';
import {describeError} from '@wasabiusher/shared';
import {retainedTextSchema, type RetainedText} from './batch.js';
import {batchParts, findPart} from './parts.js';
import {BatchError} from './errors.js';

const retainedTable = 'kept-texts';

/** Maximum stored size of a text, in bytes; a row holds up to 65,536. */
const maxTextBytes = 60_000;

/** Maximum rows and bytes of one transaction. */
const maxWriteRows = 40;
const maxWriteBytes = 600_000;

/** Maximum samples of a group that are read. */
const maxGroupRows = 200;

/** A text with its group and sample. */
export type GroupedText = {group: string; sample: string; text: RetainedText};

/** Writes, finds and deletes retained texts. Throws `BatchError`. */
export class RetainedTexts {
	readonly #rows: RowStore;

	constructor(rows: RowStore) {
		this.#rows = rows;
	}

	/** Writes texts, replacing earlier ones of the same samples. Texts above the maximum size are skipped. */
	async write(texts: readonly GroupedText[]): Promise<void> {
		const rows = texts.map(text => encodeRow(text)).filter(({value}) => value.length <= maxTextBytes);
		const byPart = new Map<string, typeof rows>();
		for (const row of rows) {
			byPart.set(row.part, [...(byPart.get(row.part) ?? []), row]);
		}

		await Promise.all([...byPart.values()].flatMap(part => splitWrites(part)).map(async puts => this.#wrapErrors(this.#rows.commit({conditions: [], puts, deletes: []}))));
	}

	/** Reads the retained texts of a group, by sample id; empty if there are none. */
	async findGroup(group: string): Promise<Map<string, RetainedText>> {
		const {rows} = await this.#wrapErrors(this.#rows.read({
			table: retainedTable, part: findPart(group), from: `${group}/`, to: `${group}0`, limit: maxGroupRows,
		}));
		return new Map(rows.map(row => [row.key.slice(group.length + 1), decodeRow(row)]));
	}

	/**
	 * Deletes texts that were retained before a time on the store's clock, at most one transaction in each part of the table.
	 *
	 * @returns the number of deleted texts
	 */
	async deleteBefore(cutoffMs: number): Promise<number> {
		const counts = await Promise.all(batchParts.map(async part => this.#deleteInPart(part, cutoffMs)));
		return counts.reduce((sum, count) => sum + count, 0);
	}

	async #deleteInPart(part: string, cutoffMs: number): Promise<number> {
		const {rows} = await this.#wrapErrors(this.#rows.read({table: retainedTable, part, limit: maxGroupRows}));
		const expired = rows.filter(row => decodeRow(row).keptMs < cutoffMs).slice(0, maxWriteRows);
		if (expired.length > 0) {
			const deletes = expired.map(({table, key}): RowAddress => ({table, part, key}));
			await this.#wrapErrors(this.#rows.commit({conditions: [], puts: [], deletes}));
		}

		return expired.length;
	}

	async #wrapErrors<Result>(work: Promise<Result>): Promise<Result> {
		try {
			return await work;
		} catch (error) {
			throw new BatchError('unavailable', `retained texts are unavailable: ${describeError(error)}`, error);
		}
	}
}

type RetainedRow = RowAddress & {value: Uint8Array};

function encodeRow({group, sample, text}: GroupedText): RetainedRow {
	return {
		table: retainedTable, part: findPart(group), key: `${group}/${sample}`, value: deflateRawSync(Buffer.from(JSON.stringify(text))),
	};
}

function decodeRow({key, value}: StoredValue): RetainedText {
	try {
		return retainedTextSchema.parse(JSON.parse(inflateRawSync(value).toString()));
	} catch (error) {
		throw new PlatformError('invalid', `row ${key} is not a valid retained text`, error);
	}
}

function splitWrites(rows: readonly RetainedRow[]): RetainedRow[][] {
	const writes: RetainedRow[][] = [];
	let bytes = 0;
	for (const row of rows) {
		const last = writes.at(-1);
		bytes += row.value.length;
		if (!last || last.length >= maxWriteRows || bytes > maxWriteBytes) {
			writes.push([row]);
			bytes = row.value.length;
		} else {
			last.push(row);
		}
	}

	return writes;
}
