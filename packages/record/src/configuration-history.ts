/**
 * History of accepted configurations: one row per change, and one head row with the newest version.
 *
 * A change is a compare-and-set of the head, so of two racing operators one wins and
 * the other is told whose change was first. The row of the change keeps the attempt id permanently, so
 * a lost answer can be resolved even after further changes.
 */
import {randomUUID} from 'node:crypto';
import type {TableService} from '@wasabiusher/backends';
import {
	acceptedConfigurationSchema, emptyConfiguration, type AcceptedConfiguration, type Configuration,
} from '@wasabiusher/shared';
import {RecordError} from './errors.js';
import {writeSettled, type GuardedWrite} from './settled-write.js';

const table = 'configuration';
const headKey = 'head';

/** Digits of a version in a row key; padding makes keys sort numerically. */
const versionDigits = 10;

function formatKey(version: number): string {
	return `change/${String(version).padStart(versionDigits, '0')}`;
}

export type Change = {
	configuration: Configuration;
	author: string;
	/** Version that the change is based on; undefined for the newest one. */
	ifVersion?: number;
	/** In milliseconds since the epoch. */
	acceptedAt: number;
};

/** Reads and extends the history. All methods throw `RecordError`. */
export class ConfigurationHistory {
	readonly #tables: TableService;

	constructor(tables: TableService) {
		this.#tables = tables;
	}

	/** Reads the newest accepted configuration; the empty one before the first change. */
	async readHead(): Promise<AcceptedConfiguration> {
		try {
			const row = await this.#tables.read(table, headKey);
			return row ? acceptedConfigurationSchema.parse(row.value) : emptyConfiguration;
		} catch (error) {
			throw new RecordError('unavailable', 'the configuration can not be read', error);
		}
	}

	/** Lists accepted changes, newest first. */
	async list(limit: number): Promise<AcceptedConfiguration[]> {
		const {version} = await this.readHead();
		try {
			// Reads the tail only: there are 41,000 changes a day.
			const after = formatKey(Math.max(0, version - limit));
			const rows = await this.#tables.scan(table, {prefix: 'change/', after});
			return rows.slice(-limit).toReversed().map(row => acceptedConfigurationSchema.parse(row.value));
		} catch (error) {
			throw new RecordError('unavailable', 'the history can not be read', error);
		}
	}

	/**
	 * Accepts a change.
	 *
	 * @throws {RecordError} `conflict` if the head is not at `ifVersion` or another change was first,
	 * `unavailable` if nothing was written, `unknown` if the change may have been accepted
	 */
	async append({configuration, author, ifVersion, acceptedAt}: Change): Promise<AcceptedConfiguration> {
		const head = await this.readHead();
		if (ifVersion !== undefined && ifVersion !== head.version) {
			throw createConflict(head, ifVersion);
		}

		const accepted = {
			version: head.version + 1, configuration, author, acceptedAt,
		};
		if (await this.#write(accepted)) {
			return accepted;
		}

		throw createConflict(await this.readHead(), head.version);
	}

	async #write(accepted: AcceptedConfiguration): Promise<boolean> {
		const attempt = randomUUID();
		const value = {...accepted, attempt};
		const change: GuardedWrite = {
			table, key: formatKey(accepted.version), expect: 0, value,
		};
		const head: GuardedWrite = {
			table, key: headKey, expect: accepted.version - 1, value,
		};
		return (await writeSettled(this.#tables, {writes: [change, head], attempt})) !== undefined;
	}
}

function createConflict(head: AcceptedConfiguration, expected: number): RecordError {
	return new RecordError('conflict', `the configuration is at version ${head.version} by ${head.author}, expected ${expected}`);
}
