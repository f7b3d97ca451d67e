/**
 * The history of accepted configurations: one row a change, one head row with the newest version.
 *
 * A change is a compare-and-set of the head, so of two racing operators one wins and
 * the other learns whose change came first. The row of the change keeps the attempt id for good, so
 * a lost answer is settled even after further changes.
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

/** Digits of a version in a row's key, so that keys sort as numbers do. */
const versionDigits = 10;

function formatKey(version: number): string {
	return `change/${String(version).padStart(versionDigits, '0')}`;
}

export type Change = {
	configuration: Configuration;
	author: string;
	/** The version that the change was made from; undefined for whatever is newest. */
	ifVersion?: number;
	/** Milliseconds since the epoch. */
	acceptedAt: number;
};

/** Reads and extends the history. All methods throw `RecordError`. */
export class ConfigurationHistory {
	readonly #tables: TableService;

	constructor(tables: TableService) {
		this.#tables = tables;
	}

	/** The newest accepted configuration; the empty one before the first change. */
	async readHead(): Promise<AcceptedConfiguration> {
		try {
			const row = await this.#tables.read(table, headKey);
			return row ? acceptedConfigurationSchema.parse(row.value) : emptyConfiguration;
		} catch (error) {
			throw new RecordError('unavailable', 'the configuration can not be read', error);
		}
	}

	/** Accepted changes, newest first. */
	async list(limit: number): Promise<AcceptedConfiguration[]> {
		const {version} = await this.readHead();
		try {
			// Only the tail is read: a day brings 41,000 changes.
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
	 * @throws {RecordError} `conflict` if the head is not at `ifVersion` or another change came first,
	 * `unavailable` if nothing was written, `unknown` if it may yet turn out to be accepted
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
