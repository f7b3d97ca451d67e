/**
 * Texts of samples whose batch ended before their group was whole.
 *
 * Load pattern: a trainer waits for nine tenths of the groups, ends the step, and hands the rest in again with the next one,
 * where it must wait for them. These are the longest texts; made anew they hold up each step by their whole length.
 * What was made of them is kept under their group's name, and goes on in the next batch if its versions fit.
 */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {
	PlatformError, type RowAddress, type RowStore, type StoredValue,
} from '@wasabiusher/backends';
import {describeError} from '@wasabiusher/shared';
import {keptTextSchema, type KeptText} from './batch.js';
import {batchParts, findPart} from './parts.js';
import {BatchError} from './errors.js';

const keptTable = 'kept-texts';

/** Longest text kept, in bytes as stored; a row holds 65,536. */
const maxTextBytes = 60_000;

/** Rows and bytes of one transaction. */
const maxRows = 40;
const maxBytes = 600_000;

/** Most samples of a group that are read. */
const groupRows = 200;

/** A text with the sample and the group that it belongs to. */
export type GroupedText = {group: string; sample: string; text: KeptText};

/** Keeps and finds texts. Throws `BatchError`. */
export class KeptTexts {
	readonly #rows: RowStore;

	constructor(rows: RowStore) {
		this.#rows = rows;
	}

	/** Keeps texts in the place of those kept before. */
	async keep(texts: readonly GroupedText[]): Promise<void> {
		const rows = texts.map(text => encodeRow(text)).filter(({value}) => value.length <= maxTextBytes);
		const byPart = new Map<string, typeof rows>();
		for (const row of rows) {
			byPart.set(row.part, [...(byPart.get(row.part) ?? []), row]);
		}

		await Promise.all([...byPart.values()].flatMap(part => cutWrites(part)).map(async puts => this.#guard(this.#rows.commit({conditions: [], puts, deletes: []}))));
	}

	/** Reads what is kept of a group's samples; empty if the group was not begun before. */
	async findGroup(group: string): Promise<Map<string, KeptText>> {
		const {rows} = await this.#guard(this.#rows.read({
			table: keptTable, part: findPart(group), from: `${group}/`, to: `${group}0`, limit: groupRows,
		}));
		return new Map(rows.map(row => [row.key.slice(group.length + 1), decodeRow(row)]));
	}

	/**
	 * Forgets texts that were kept before a time on the store's clock; as many of each part as one write takes.
	 *
	 * @returns how many were forgotten
	 */
	async forgetBefore(storeMs: number): Promise<number> {
		const counts = await Promise.all(batchParts.map(async part => this.#forgetInPart(part, storeMs)));
		return counts.reduce((sum, count) => sum + count, 0);
	}

	async #forgetInPart(part: string, storeMs: number): Promise<number> {
		const {rows} = await this.#guard(this.#rows.read({table: keptTable, part, limit: groupRows}));
		const old = rows.filter(row => decodeRow(row).keptMs < storeMs).slice(0, maxRows);
		if (old.length > 0) {
			const deletes = old.map(({table, key}): RowAddress => ({table, part, key}));
			await this.#guard(this.#rows.commit({conditions: [], puts: [], deletes}));
		}

		return old.length;
	}

	async #guard<Result>(work: Promise<Result>): Promise<Result> {
		try {
			return await work;
		} catch (error) {
			throw new BatchError('unavailable', `kept texts: ${describeError(error)}`, error);
		}
	}
}

type KeptRow = RowAddress & {value: Uint8Array};

function encodeRow({group, sample, text}: GroupedText): KeptRow {
	return {
		table: keptTable, part: findPart(group), key: `${group}/${sample}`, value: deflateRawSync(Buffer.from(JSON.stringify(text))),
	};
}

function decodeRow({key, value}: StoredValue): KeptText {
	try {
		return keptTextSchema.parse(JSON.parse(inflateRawSync(value).toString()));
	} catch (error) {
		throw new PlatformError('invalid', `row ${key} is not a kept text`, error);
	}
}

function cutWrites(rows: readonly KeptRow[]): KeptRow[][] {
	const writes: KeptRow[][] = [];
	let bytes = 0;
	for (const row of rows) {
		const last = writes.at(-1);
		bytes += row.value.length;
		if (!last || last.length >= maxRows || bytes > maxBytes) {
			writes.push([row]);
			bytes = row.value.length;
		} else {
			last.push(row);
		}
	}

	return writes;
}
