/**
 * Tells of rows that can't be read, without flooding the log.
 *
 * Load pattern: another writer, or a newer release, leaves rows that can't be decoded, and perhaps writes them again many times a
 * second. Each host sees each of them, so each version of a row is told once and no more than a few lines in some seconds.
 */
import {describeError, type Log, dropOldest} from '@wasabiusher/shared';

/** Lines in one period, and its length in milliseconds; what is beyond is counted. */
const linesPerPeriod = 5;
const periodMs = 10_000;

/** Rows whose last fault is remembered; the oldest are forgotten first. */
const maxRows = 1000;

/** A row as far as it can be named. */
export type NamedRow = {table: string; part: string; key: string; version: number};

/** Longest part of a key in a log line, in characters. */
const maxKeyLength = 80;

/** The faults of rows of one table. */
export class RowFaults {
	readonly #log: Log;
	readonly #event: string;
	/** Versions by row. */
	readonly #told = new Map<string, number>();
	#periodAt = Number.NEGATIVE_INFINITY;
	#lines = 0;
	#untold = 0;

	/** @param event - name of the log line */
	constructor(log: Log, event: string) {
		this.#log = log;
		this.#event = event;
	}

	/** Notes that a version of a row can't be used. */
	note({table, part, key, version}: NamedRow, error: unknown): void {
		const name = `${part}/${key}`;
		if (this.#told.get(name) === version) {
			return;
		}

		this.#remember(name, version);
		const now = performance.now();
		if (now - this.#periodAt >= periodMs) {
			this.#periodAt = now;
			this.#lines = 0;
		}

		if (this.#lines >= linesPerPeriod) {
			this.#untold += 1;
			return;
		}

		this.#lines += 1;
		this.#log.error(this.#event, {
			table, row: key.slice(0, maxKeyLength), version, reason: describeError(error), untold: this.#untold,
		});
		this.#untold = 0;
	}

	#remember(name: string, version: number): void {
		this.#told.delete(name);
		this.#told.set(name, version);
		dropOldest(this.#told, maxRows);
	}
}
