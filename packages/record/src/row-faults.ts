/**
 * Logs rows that can't be decoded, at a limited rate.
 *
 * Load pattern: another writer, or a newer release, writes rows that can't be decoded, perhaps many times a
 * second. Every host reads each of them, so each version of a row is logged once, and at most five lines in ten seconds.
 */
import {describeError, type Log, dropOldest} from '@wasabiusher/shared';

/** Limit of log lines in one period, and its length in milliseconds; suppressed lines are counted. */
const maxLinesPerPeriod = 5;
const periodMs = 10_000;

/** Limit of rows whose last fault is remembered; the oldest are dropped first. */
const maxRows = 1000;

/** Address and version of a row. */
export type NamedRow = {table: string; part: string; key: string; version: number};

/** Length to which a key is truncated in a log line, in characters. */
const maxKeyLength = 80;

/** Logs the invalid rows of one table. */
export class RowFaults {
	readonly #log: Log;
	readonly #event: string;
	/** Version of the last logged fault by row. */
	readonly #loggedVersions = new Map<string, number>();
	#periodStartedAt = Number.NEGATIVE_INFINITY;
	#lineCount = 0;
	#suppressed = 0;

	/** @param event - name of the log event */
	constructor(log: Log, event: string) {
		this.#log = log;
		this.#event = event;
	}

	/** Records that a version of a row is invalid. */
	record({table, part, key, version}: NamedRow, error: unknown): void {
		const name = `${part}/${key}`;
		if (this.#loggedVersions.get(name) === version) {
			return;
		}

		this.#remember(name, version);
		const now = performance.now();
		if (now - this.#periodStartedAt >= periodMs) {
			this.#periodStartedAt = now;
			this.#lineCount = 0;
		}

		if (this.#lineCount >= maxLinesPerPeriod) {
			this.#suppressed += 1;
			return;
		}

		this.#lineCount += 1;
		this.#log.error(this.#event, {
			table, row: key.slice(0, maxKeyLength), version, reason: describeError(error), untold: this.#suppressed,
		});
		this.#suppressed = 0;
	}

	#remember(name: string, version: number): void {
		this.#loggedVersions.delete(name);
		this.#loggedVersions.set(name, version);
		dropOldest(this.#loggedVersions, maxRows);
	}
}
