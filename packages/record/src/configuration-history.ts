/**
 * The history of accepted configurations: one row a change, one head row with the newest version.
 *
 * A change is a compare-and-set of the head, so of two racing operators one wins and
 * the other learns whose change came first.
 */
import {PlatformError, type TableService} from '@wasabiusher/platform';
import {
	acceptedConfigurationSchema, emptyConfiguration, type AcceptedConfiguration, type Configuration,
} from '@wasabiusher/shared';
import {RecordError} from './errors.js';

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
		try {
			const rows = await this.#tables.scan(table, {prefix: 'change/'});
			return rows.slice(-limit).toReversed().map(row => acceptedConfigurationSchema.parse(row.value));
		} catch (error) {
			throw new RecordError('unavailable', 'the history can not be read', error);
		}
	}

	/** Accepts a change; throws `conflict` if the head is not at `ifVersion`. */
	async append({configuration, author, ifVersion, acceptedAt}: Change): Promise<AcceptedConfiguration> {
		const head = await this.readHead();
		if (ifVersion !== undefined && ifVersion !== head.version) {
			throw new RecordError('conflict', `the configuration is at version ${head.version} by ${head.author}, expected ${ifVersion}`);
		}

		const accepted = {
			version: head.version + 1, configuration, author, acceptedAt,
		};
		try {
			await this.#tables.transact([
				{
					table, key: headKey, expect: head.version, value: accepted,
				},
				{
					table, key: formatKey(accepted.version), expect: 0, value: accepted,
				},
			]);
		} catch (error) {
			throw toRecordError(error);
		}

		return accepted;
	}
}

function toRecordError(error: unknown): RecordError {
	const code = error instanceof PlatformError ? error.code : 'unknown';
	if (code === 'conflict') {
		return new RecordError('conflict', 'another change was accepted first', error);
	}

	return new RecordError(code === 'unavailable' || code === 'limited' ? 'unavailable' : 'unknown', 'the change could not be written', error);
}
