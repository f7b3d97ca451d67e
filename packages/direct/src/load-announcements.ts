/**
 * Announces weight loads of endpoints to all hosts, by rows of a table that the hosts already follow.
 *
 * Load pattern: one host sends all orders, so it alone knows which endpoints load; some dozen are ordered within a second of each publication. Orders that
 * are sent together share one row that holds nothing else, so that a row stays small for any number of endpoints. A lost or late row causes refusals only.
 */
import {Buffer} from 'node:buffer';
import type {RowChange, RowStore} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';
import {z} from 'zod';
import type {WeightLoad} from './load-windows.js';

/** Time over which loads are collected into one row, in milliseconds: long enough for the orders of one tick. */
const gatherMs = 5;

/** Minimum interval between two rows, in milliseconds: a twentieth of a load. */
const minRowIntervalMs = 50;

/** Number of rows that are written in rotation. Followers see only the newest value of a row, so a row must not be overwritten before all have read it. */
const rowCount = 16;

/** Maximum number of loads in one row; a row of 6 KB is read as fast as an empty one. */
const maxLoads = 100;

const rowSchema = z.object({
	/** Identifies the writer; rows of other writers may arrive late. */
	writer: z.string(),
	/** Endpoint, model, version, and the expected remaining time of the load in milliseconds; 0 if the order was not taken. */
	loads: z.array(z.tuple([z.string(), z.string(), z.int(), z.number()])).max(maxLoads),
});

export type LoadAnnouncementsSettings = {
	rows: RowStore;
	/** Location of the rows: a table that all hosts follow, and a part of it that holds nothing else and is not read at startup. */
	table: string;
	part: string;
	/** Name of this process. */
	writer: string;
	log: Log;
	/** Called with each load that another process has announced, and its expected remaining time in milliseconds. */
	onLoad(load: WeightLoad, forMs: number): void;
};

/** Sends and receives load announcements. */
export class LoadAnnouncements {
	/** Rows written, rows that failed to be written, loads received from other hosts, and unreadable rows. */
	readonly counts = {
		loadRows: 0, loadRowsFailed: 0, loadsHeard: 0, loadRowsUnreadable: 0,
	};

	readonly #settings: LoadAnnouncementsSettings;
	/** Announcements to write, by endpoint and model. */
	readonly #pending = new Map<string, {load: WeightLoad; forMs: number}>();
	#timer: NodeJS.Timeout | undefined;
	#lastWriteAt = Number.NEGATIVE_INFINITY;
	#nextRow = 0;

	constructor(settings: LoadAnnouncementsSettings) {
		this.#settings = settings;
	}

	/** Schedules the announcement of a load with its expected duration in milliseconds; returns at once. */
	announce(load: WeightLoad, forMs: number): void {
		this.#pending.set(`${load.endpoint} ${load.model}`, {load, forMs});
		this.#scheduleWrite();
	}

	/** Applies a row of another process; an unreadable row is counted. */
	apply({value}: RowChange): void {
		if (value === undefined) {
			return;
		}

		const {writer, log, onLoad} = this.#settings;
		try {
			const row = rowSchema.parse(JSON.parse(Buffer.from(value).toString()));
			if (row.writer === writer) {
				return;
			}

			for (const [endpoint, model, version, forMs] of row.loads) {
				this.counts.loadsHeard += 1;
				onLoad({endpoint, model, version}, forMs);
			}
		} catch (error) {
			this.counts.loadRowsUnreadable += 1;
			log.debug('load_news_unreadable', {reason: describeError(error)});
		}
	}

	/** Discards pending announcements. */
	stop(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		this.#pending.clear();
	}

	#scheduleWrite(): void {
		this.#timer ??= setTimeout(() => {
			this.#timer = undefined;
			void this.#write();
		}, Math.max(gatherMs, this.#lastWriteAt + minRowIntervalMs - performance.now()));
	}

	/** Never rejects. */
	async #write(): Promise<void> {
		const {rows, table, part, writer, log} = this.#settings;
		this.#lastWriteAt = performance.now();
		const announced = [...this.#pending].slice(0, maxLoads);
		for (const [name] of announced) {
			this.#pending.delete(name);
		}

		if (this.#pending.size > 0) {
			this.#scheduleWrite();
		}

		const loads = announced.map(([, {load, forMs}]) => [load.endpoint, load.model, load.version, Math.round(forMs)] as const);
		const key = String(this.#nextRow);
		this.#nextRow = (this.#nextRow + 1) % rowCount;
		try {
			await rows.commit({
				conditions: [],
				puts: [{
					table, part, key, value: Buffer.from(JSON.stringify({writer, loads})),
				}],
				deletes: [],
			});
			this.counts.loadRows += 1;
		} catch (error) {
			this.counts.loadRowsFailed += 1;
			log.debug('load_news_not_written', {loads: loads.length, reason: describeError(error)});
		}
	}
}
