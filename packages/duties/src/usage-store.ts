/**
 * Stores usage: the counts of each host and the report of each window.
 *
 * A report is written before it is sent, on the condition that none exists yet, so that all holders of the duty send the same report.
 */
import {Buffer} from 'node:buffer';
import {
	PlatformError, readPages, type RowAddress, type RowRange, type RowStore, type StoredValue, type UsageReport,
} from '@wasabiusher/backends';
import {describeError, hashToNumber} from '@wasabiusher/shared';
import {z} from 'zod';
import type {RecordedUsage} from './window-closing.js';
import {DutyError} from './errors.js';

const countTable = 'usage-counts';
const reportTable = 'usage-reports';

/** Number of partitions; each handles some hundred transactions a second. */
const partCount = 4;
const countParts: readonly string[] = Array.from({length: partCount}, (_, i) => `u${i}`);

/** Limit of rows in one read, and of deletions in one transaction. */
const pageRows = 500;
const maxDeletedRows = 100;

/** Digits of a window in a row key; padding makes keys sort numerically. Windows of one millisecond need thirteen digits. */
const windowDigits = 13;

const countsSchema = z.record(z.string(), z.int().nonnegative());
const countRowSchema = z.object({
	host: z.string(), isFinal: z.boolean(), isLast: z.boolean().default(false), counts: countsSchema,
});
const reportRowSchema = z.object({counts: countsSchema, isSent: z.boolean()});

/** Counts of one host in one window, by customer. */
export type HostUsage = RecordedUsage & {
	window: number;
	counts: ReadonlyMap<string, number>;
	/** Increases after each write with an unknown outcome; the highest revision is valid, even if others are performed later. */
	revision: number;
};

/** A report, whether it was sent, and the version of its row. */
export type StoredReport = UsageReport & {isSent: boolean; version: number};

/** Reads and writes usage. Throws `DutyError`. */
export class UsageStore {
	readonly #rows: RowStore;

	constructor(rows: RowStore) {
		this.#rows = rows;
	}

	/** Writes the counts of one host; replaces its counts of the same windows and revision. */
	async writeCounts(usages: readonly HostUsage[]): Promise<void> {
		const puts = usages.map(({window, host, incarnation, revision, isFinal, isLast, counts}) => ({
			...locateCounts(window, incarnation, revision), value: encode({
				host, isFinal, isLast, counts: Object.fromEntries(counts),
			}),
		}));
		await convertErrors(this.#rows.commit({conditions: [], puts, deletes: []}));
	}

	/** Reads the newest counts of all hosts for a window. */
	async readCounts(window: number): Promise<HostUsage[]> {
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

	/** Returns the oldest window with counts; undefined if there is none. */
	async findOldestWindow(): Promise<number | undefined> {
		const pages = await Promise.all(countParts.map(async part => convertErrors(this.#rows.read({table: countTable, part, limit: 1}))));
		const windows = pages.flatMap(({rows}) => rows).map(row => decodeCounts(row).window);
		return windows.length === 0 ? undefined : Math.min(...windows);
	}

	/** Reads the reports from a window on, in ascending order. */
	async readReports(from: number): Promise<StoredReport[]> {
		const rows = await this.#readAll({table: reportTable, part: '', from: formatWindow(from)});
		return rows.map(row => decodeReport(row));
	}

	/**
	 * Fixes the report of a window; the first write wins.
	 *
	 * @returns undefined if a report exists already
	 */
	async fixReport({window, counts}: UsageReport): Promise<StoredReport | undefined> {
		const version = await this.#writeReport({window, counts, isSent: false}, 0);
		return version === undefined
			? undefined
			: {
				window, counts, isSent: false, version,
			};
	}

	/** Marks a report as accepted by the platform. */
	async markSent(report: StoredReport): Promise<void> {
		await this.#writeReport({...report, isSent: true}, report.version);
	}

	/** Deletes all rows of windows before the given one. */
	async deleteBefore(window: number): Promise<void> {
		await Promise.all([this.#deleteRowsBefore(window, reportTable, ''), ...countParts.map(async part => this.#deleteRowsBefore(window, countTable, part))]);
	}

	async #deleteRowsBefore(window: number, table: string, part: string): Promise<void> {
		for (;;) {
			// Each read depends on the deletions of the previous transaction.
			// eslint-disable-next-line no-await-in-loop
			const {rows} = await convertErrors(this.#rows.read({
				table, part, to: formatWindow(window), limit: maxDeletedRows,
			}));
			if (rows.length === 0) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await convertErrors(this.#rows.commit({conditions: [], puts: [], deletes: rows.map(({key}) => ({table, part, key}))}));
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
		throw new DutyError('invalid', `usage row ${key} doesn't match the schema`, error);
	}
}

async function convertErrors<Result>(operation: Promise<Result>): Promise<Result> {
	try {
		return await operation;
	} catch (error) {
		throw toDutyError(error);
	}
}

function toDutyError(error: unknown): DutyError {
	return error instanceof DutyError ? error : new DutyError('unavailable', `usage: ${describeError(error)}`, error);
}
