/**
 * Persistent speeds of endpoints in the store: read once when a process starts, and written when a process has measured a changed speed.
 *
 * Otherwise hosts receive speeds by heartbeats. While a row is missing or wrong, some texts are sent to a slow endpoint, until runs at this endpoint
 * have corrected its speed.
 */
import {Buffer} from 'node:buffer';
import {readPages, type RowStore} from '@wasabiusher/backends';
import type {PersistentSpeed, EndpointDirectory} from '@wasabiusher/direct';
import {describeError, type Log} from '@wasabiusher/shared';
import {z} from 'zod';

const speedTable = 'endpoint-speeds';

/** Time between checks for changed speeds, in milliseconds; a persistent speed lasts as long as the machine. */
const writeIntervalMs = 5000;

/** Pause before a failed read is retried, in milliseconds. */
const readRetryMs = 1000;

/** Maximum rows of one transaction. */
const maxRows = 90;

const speedSchema = z.object({service: z.string(), address: z.string(), classMs: z.number().positive()});

export type SpeedRowsSettings = {rows: RowStore; directory: EndpointDirectory; log: Log};

/** Synchronizes the persistent speeds of an endpoint directory with the store. */
export class SpeedRows {
	readonly #settings: SpeedRowsSettings;
	#timer: NodeJS.Timeout | undefined;
	#hasRead = false;

	constructor(settings: SpeedRowsSettings) {
		this.#settings = settings;
	}

	start(): void {
		this.#scheduleNext(0);
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	#scheduleNext(delayMs: number): void {
		this.#timer = setTimeout(() => {
			void this.#synchronize();
		}, delayMs);
	}

	async #synchronize(): Promise<void> {
		const {log} = this.#settings;
		const timer = this.#timer;
		try {
			await (this.#hasRead ? this.#write() : this.#read());
		} catch (error) {
			log.info('endpoint_speeds_failed', {hasRead: this.#hasRead, reason: describeError(error)});
		}

		if (this.#timer === timer) {
			this.#scheduleNext(this.#hasRead ? writeIntervalMs : readRetryMs);
		}
	}

	async #read(): Promise<void> {
		const {rows, directory, log} = this.#settings;
		let validCount = 0;
		for await (const page of readPages(rows, {table: speedTable, part: ''})) {
			for (const {value} of page.rows) {
				const entry = decodeSpeed(value);
				if (entry) {
					directory.persistentSpeeds.recordReported(entry);
					validCount += 1;
				}
			}
		}

		directory.assumePersistentSpeeds();
		this.#hasRead = true;
		log.info('endpoint_speeds_read', {endpoints: validCount});
	}

	async #write(): Promise<void> {
		const {rows, directory, log} = this.#settings;
		const changed = directory.persistentSpeeds.listUnpublished().slice(0, maxRows);
		if (changed.length === 0) {
			return;
		}

		await rows.commit({
			conditions: [],
			puts: changed.map(entry => ({
				table: speedTable, part: '', key: `${entry.service}/${entry.address}`, value: Buffer.from(JSON.stringify({...entry, classMs: Math.round(entry.classMs * 10) / 10})),
			})),
			deletes: [],
		});
		directory.persistentSpeeds.markPublished(changed);
		log.info('endpoint_speeds_written', {endpoints: changed.length});
	}
}

/** Decodes a stored speed; undefined if it is not valid, such as a row of a newer release. */
function decodeSpeed(value: Uint8Array): PersistentSpeed | undefined {
	try {
		return speedSchema.safeParse(JSON.parse(Buffer.from(value).toString())).data;
	} catch {
		return undefined;
	}
}
