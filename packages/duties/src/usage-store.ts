/**
 * Usage in the store: what each host has counted, and what is reported of each window.
 *
 * A report is written on the condition that there is none yet, before it is sent. So every holder of the duty sends the very same.
 */
import {Buffer} from 'node:buffer';
import {
	PlatformError, readPages, type RowAddress, type RowRange, type RowStore, type StoredValue, type UsageReport,
} from '@wasabiusher/backends';
import {describeError, hashToNumber} from '@wasabiusher/shared';
import {z} from 'zod';
import type {ToldUsage} from './closing.js';
import {DutyError} from './errors.js';

const countTable = 'usage-counts';
const reportTable = 'usage-reports';

/** Each part carries some hundred transactions a second. */
const partCount = 4;
const countParts: readonly string[] = Array.from({length: partCount}, (_, i) => `u${i}`);

/** Rows of one answer, and of one transaction. */
const pageRows = 500;
const maxDeletes = 100;

/** Keys sort as numbers do: windows of a millisecond need thirteen digits. */
const windowDigits = 13;

const countsSchema = z.record(z.string(), z.int().nonnegative());
const countRowSchema = z.object({
	host: z.string(), isFinal: z.boolean(), isLast: z.boolean().default(false), counts: countsSchema,
});
const reportRowSchema = z.object({counts: countsSchema, isSent: z.boolean()});

/** What a host has counted in a window. */
export type HostUsage = ToldUsage & {
	window: number;
	counts: ReadonlyMap<string, number>;
	/** Goes up whenever it is not known whether a row was written; the highest holds, whenever the others are performed. */
	revision: number;
};

/** A report with the version of its row. */
export type StoredReport = UsageReport & {isSent: boolean; version: number};

/** Reads and writes usage. Throws `DutyError`. */
export class UsageStore {
	readonly #rows: RowStore;

	constructor(rows: RowStore) {
		this.#rows = rows;
	}

	/** Writes what one host has counted, in the place of what it has told of these windows under the same revision. */
	async tell(usages: readonly HostUsage[]): Promise<void> {
		const puts = usages.map(({window, host, incarnation, revision, isFinal, isLast, counts}) => ({
			...locateCounts(window, incarnation, revision), value: encode({
				host, isFinal, isLast, counts: Object.fromEntries(counts),
			}),
		}));
		await guard(this.#rows.commit({conditions: [], puts, deletes: []}));
	}

	/** Reads what all hosts have told of a window last. */
	async readTold(window: number): Promise<HostUsage[]> {
		const pages = await Promise.all(countParts.map(async part => this.#readAll({
			table: countTable, part, from: `${formatWindow(window)}/`, to: `${formatWindow(window)}0`,
		})));
		const newest = new Map<string, HostUsage>();
		for (const usage of pages.flat().map(row => decodeCounts(row))) {
			if (usage.revision >= (newest.get(usage.incarnation)?.revision ?? 0)) {
				newest.set(usage.incarnation, usage);
			}
		}

		return [...newest.values()];
	}

	/** The oldest window of which something was told; undefined if nothing was. */
	async findOldestTold(): Promise<number | undefined> {
		const pages = await Promise.all(countParts.map(async part => guard(this.#rows.read({table: countTable, part, limit: 1}))));
		const windows = pages.flatMap(({rows}) => rows).map(row => decodeCounts(row).window);
		return windows.length === 0 ? undefined : Math.min(...windows);
	}

	/** Reads the reports from a window on, in ascending order. */
	async readReports(from: number): Promise<StoredReport[]> {
		const rows = await this.#readAll({table: reportTable, part: '', from: formatWindow(from)});
		return rows.map(row => decodeReport(row));
	}

	/**
	 * Fixes what is reported of a window; the first one holds.
	 *
	 * @returns undefined if another report was first
	 */
	async fix({window, counts}: UsageReport): Promise<StoredReport | undefined> {
		const version = await this.#writeReport({window, counts, isSent: false}, 0);
		return version === undefined
			? undefined
			: {
				window, counts, isSent: false, version,
			};
	}

	/** Notes that the platform has a report. */
	async markSent(report: StoredReport): Promise<void> {
		await this.#writeReport({...report, isSent: true}, report.version);
	}

	/** Removes all that lies before a window. */
	async forgetBefore(window: number): Promise<void> {
		await Promise.all([this.#removeBefore(window, reportTable, ''), ...countParts.map(async part => this.#removeBefore(window, countTable, part))]);
	}

	async #removeBefore(window: number, table: string, part: string): Promise<void> {
		for (;;) {
			// What is read next is what the last transaction has left.
			// eslint-disable-next-line no-await-in-loop
			const {rows} = await guard(this.#rows.read({
				table, part, to: formatWindow(window), limit: maxDeletes,
			}));
			if (rows.length === 0) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await guard(this.#rows.commit({conditions: [], puts: [], deletes: rows.map(({key}) => ({table, part, key}))}));
		}
	}

	async #writeReport({window, counts, isSent}: Omit<StoredReport, 'version'>, version: number): Promise<number | undefined> {
		const address = locateReport(window);
		try {
			const receipt = await this.#rows.commit({
				conditions: [{...address, version}], puts: [{...address, value: encode({counts: Object.fromEntries(counts), isSent})}], deletes: [],
			});
			return receipt.version;
		} catch (error) {
			if (error instanceof PlatformError && error.code === 'conflict') {
				return undefined;
			}

			throw toDutyError(error);
		}
	}

	async #readAll(range: RowRange): Promise<StoredValue[]> {
		const rows: StoredValue[] = [];
		try {
			for await (const page of readPages(this.#rows, {...range, limit: pageRows})) {
				rows.push(...page.rows);
			}
		} catch (error) {
			throw toDutyError(error);
		}

		return rows;
	}
}

function formatWindow(window: number): string {
	return String(window).padStart(windowDigits, '0');
}

function locateCounts(window: number, incarnation: string, revision: number): RowAddress {
	return {table: countTable, part: countParts[hashToNumber(incarnation) % partCount]!, key: `${formatWindow(window)}/${incarnation}/${revision}`};
}

function locateReport(window: number): RowAddress {
	return {table: reportTable, part: '', key: formatWindow(window)};
}

function encode(value: unknown): Uint8Array {
	return Buffer.from(JSON.stringify(value));
}

function decodeCounts({key, value}: StoredValue): HostUsage {
	const [window = '', incarnation = '', revision = ''] = key.split('/', 3);
	const {host, isFinal, isLast, counts} = decode(countRowSchema, key, value);
	return {
		window: Number(window), host, incarnation, revision: Number(revision), isFinal, isLast, counts: new Map(Object.entries(counts)),
	};
}

function decodeReport({key, value, version}: StoredValue): StoredReport {
	const {counts, isSent} = decode(reportRowSchema, key, value);
	return {
		window: Number(key), counts: new Map(Object.entries(counts)), isSent, version,
	};
}

function decode<Schema extends z.ZodType>(schema: Schema, key: string, value: Uint8Array): z.infer<Schema> {
	try {
		return schema.parse(JSON.parse(Buffer.from(value).toString()));
	} catch (error) {
		throw new DutyError('invalid', `row ${key} is not usage`, error);
	}
}

async function guard<Result>(work: Promise<Result>): Promise<Result> {
	try {
		return await work;
	} catch (error) {
		throw toDutyError(error);
	}
}

function toDutyError(error: unknown): DutyError {
	return error instanceof DutyError ? error : new DutyError('unavailable', `usage: ${describeError(error)}`, error);
}
