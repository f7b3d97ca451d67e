/**
 * Tells all hosts which endpoints load weights, by rows of a table that they follow already.
 *
 * Load pattern: one host gives all orders and so knows alone which endpoints load; some dozen are ordered within a second of each
 * publication. Orders that are given together make one row, which holds nothing but them, so that a row stays small however many endpoints
 * there are. A row that is lost or late costs refusals and nothing else.
 */
import {Buffer} from 'node:buffer';
import type {RowChange, RowStore} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';
import {z} from 'zod';
import type {WeightLoad} from './load-windows.js';

/** Time over which loads are gathered into one row, in milliseconds: those that are ordered at the same look. */
const gatherMs = 5;

/** Least time between two rows, in milliseconds: a twentieth of a load. */
const minRowIntervalMs = 50;

/** Rows that are written in turn. Who follows sees only the newest value of each, so that a row must not be written anew before all have read it. */
const rowCount = 16;

/** Most loads in one row; a row of 6 KB is read as fast as an empty one. */
const maxLoads = 100;

const rowSchema = z.object({
	/** Differs for each writer; a row of another one may come late. */
	writer: z.string(),
	/** Endpoint, model, version, and the time for which the load is expected to go on from now, in milliseconds; 0 if it was not taken. */
	loads: z.array(z.tuple([z.string(), z.string(), z.int(), z.number()])).max(maxLoads),
});

export type LoadAnnouncementsSettings = {
	rows: RowStore;
	/** Where the rows lie: a table that all hosts follow, and a part of it that holds nothing else and is not read at the start. */
	table: string;
	part: string;
	/** Name of this process. */
	writer: string;
	log: Log;
	/** Called with what another process has told. */
	onLoad(load: WeightLoad, forMs: number): void;
};

/** Tells and hears of loads. */
export class LoadNews {
	/** Rows written, rows that were not, loads heard of from others, and rows that can't be read. */
	readonly counts = {
		loadRows: 0, loadRowsFailed: 0, loadsHeard: 0, loadRowsUnreadable: 0,
	};

	readonly #settings: LoadAnnouncementsSettings;
	/** What is to be told, by endpoint and model. */
	readonly #pending = new Map<string, {load: WeightLoad; forMs: number}>();
	#timer: NodeJS.Timeout | undefined;
	#lastWriteAt = Number.NEGATIVE_INFINITY;
	#nextRow = 0;

	constructor(settings: LoadAnnouncementsSettings) {
		this.#settings = settings;
	}

	/** Tells all hosts of a load soon; returns at once. */
	tell(load: WeightLoad, forMs: number): void {
		this.#pending.set(`${load.endpoint} ${load.model}`, {load, forMs});
		this.#scheduleWrite();
	}

	/** Takes over a row; one that can't be read is counted. */
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

	/** Tells nothing more. */
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
