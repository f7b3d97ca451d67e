/**
 * Lasting speeds of endpoints in the store: read once by a process that starts, written seldom by whoever has measured them.
 *
 * Between the two, hosts hear of them from the heartbeats of others. A row that is lost or wrong costs some texts a slow endpoint until
 * the endpoint's own runs have told better.
 */
import {Buffer} from 'node:buffer';
import {readPages, type RowStore} from '@wasabiusher/backends';
import type {EndpointClass, EndpointDirectory} from '@wasabiusher/direct';
import {describeError, type Log} from '@wasabiusher/shared';
import {z} from 'zod';

const speedTable = 'endpoint-speeds';

/** Time between looks for news, in milliseconds: a class lasts as long as a machine. */
const writeMs = 5000;

/** Pause before the rows are asked for again, in milliseconds. */
const retryMs = 1000;

/** Most rows of one transaction. */
const maxRows = 90;

const classSchema = z.object({service: z.string(), address: z.string(), classMs: z.number().positive()});

export type SpeedRowsSettings = {rows: RowStore; directory: EndpointDirectory; log: Log};

/** Reads and writes the rows. */
export class SpeedRows {
	readonly #settings: SpeedRowsSettings;
	#timer: NodeJS.Timeout | undefined;
	#hasRead = false;

	constructor(settings: SpeedRowsSettings) {
		this.#settings = settings;
	}

	start(): void {
		this.#plan(0);
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	#plan(delayMs: number): void {
		this.#timer = setTimeout(() => {
			void this.#work();
		}, delayMs);
	}

	async #work(): Promise<void> {
		const {log} = this.#settings;
		const timer = this.#timer;
		try {
			await (this.#hasRead ? this.#write() : this.#read());
		} catch (error) {
			log.info('endpoint_speeds_failed', {hasRead: this.#hasRead, reason: describeError(error)});
		}

		if (this.#timer === timer) {
			this.#plan(this.#hasRead ? writeMs : retryMs);
		}
	}

	async #read(): Promise<void> {
		const {rows, directory, log} = this.#settings;
		let known = 0;
		for await (const page of readPages(rows, {table: speedTable, part: ''})) {
			for (const {value} of page.rows) {
				const entry = decodeClass(value);
				if (entry) {
					directory.classes.learn(entry);
					known += 1;
				}
			}
		}

		directory.guessClasses();
		this.#hasRead = true;
		log.info('endpoint_speeds_read', {endpoints: known});
	}

	async #write(): Promise<void> {
		const {rows, directory, log} = this.#settings;
		const news = directory.classes.listNews().slice(0, maxRows);
		if (news.length === 0) {
			return;
		}

		await rows.commit({
			conditions: [],
			puts: news.map(entry => ({
				table: speedTable, part: '', key: `${entry.service}/${entry.address}`, value: Buffer.from(JSON.stringify({...entry, classMs: Math.round(entry.classMs * 10) / 10})),
			})),
			deletes: [],
		});
		directory.classes.noteTold(news);
		log.info('endpoint_speeds_written', {endpoints: news.length});
	}
}

/** A class as it is stored; undefined if it can't be read, as a row of a later form. */
function decodeClass(value: Uint8Array): EndpointClass | undefined {
	try {
		return classSchema.safeParse(JSON.parse(Buffer.from(value).toString())).data;
	} catch {
		return undefined;
	}
}
