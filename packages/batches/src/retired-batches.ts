/**
 * Batches of this process that have ended: their runs go on for a moment, and what was made of unfinished groups is kept.
 */
import {describeError, type Log} from '@wasabiusher/shared';
import type {BatchOwner} from './batch-owner.js';
import type {KeptTexts} from './kept-texts.js';

/**
 * Time for which runs of an ended batch go on, in milliseconds: a trainer takes about a second to hand in its next batch, which
 * needs their texts. They must have ended when the end has been in force for three seconds.
 */
const retiredMs = 1500;

type Retired = {owner: BatchOwner; timer: NodeJS.Timeout};

/** The batches that have ended here. */
export class RetiredBatches {
	readonly #keptTexts: KeptTexts;
	readonly #log: Log;
	readonly #retired = new Map<string, Retired>();

	constructor(keptTexts: KeptTexts, log: Log) {
		this.#keptTexts = keptTexts;
		this.#log = log;
	}

	/** Takes in a batch that has ended with unfinished groups. */
	add(owner: BatchOwner): void {
		const {id} = owner;
		owner.retire();
		const timer = setTimeout(() => {
			void this.#flush(id);
		}, retiredMs);
		this.#retired.set(id, {owner, timer});
		void this.#keep(owner);
	}

	/** Keeps the texts of a trainer's ended batches and stops their runs, since its next batch has come. */
	flushSeries(series: string): void {
		for (const [id, {owner}] of this.#retired) {
			if (owner.stored.record.series === series) {
				void this.#flush(id);
			}
		}
	}

	/** Does the same for all of them. Never rejects. */
	async flushAll(): Promise<void> {
		await Promise.all([...this.#retired.keys()].map(async id => this.#flush(id)));
	}

	/** Stops all runs; nothing more is kept. */
	stop(): void {
		for (const {owner, timer} of this.#retired.values()) {
			clearTimeout(timer);
			owner.stop();
		}

		this.#retired.clear();
	}

	async #flush(id: string): Promise<void> {
		const retired = this.#retired.get(id);
		if (!retired) {
			return;
		}

		this.#retired.delete(id);
		clearTimeout(retired.timer);
		const kept = this.#keep(retired.owner);
		retired.owner.stop();
		await kept;
	}

	async #keep(owner: BatchOwner): Promise<void> {
		const texts = owner.listUnfinished();
		try {
			await this.#keptTexts.keep(texts);
			this.#log.info('texts_kept', {batch: owner.id, texts: texts.length, events: texts.reduce((sum, {text}) => sum + text.events.length, 0)});
		} catch (error) {
			// The texts are made anew then.
			this.#log.warn('texts_not_kept', {batch: owner.id, texts: texts.length, reason: describeError(error)});
		}
	}
}
