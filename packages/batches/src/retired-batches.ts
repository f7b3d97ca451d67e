/**
 * Batches of this process that have ended: their runs go on for a moment, and what was made of unfinished groups is kept.
 */
import {describeError, type Log} from '@wasabiusher/shared';
import type {ShareOwner} from './share-owner.js';
import type {KeptTexts} from './kept-texts.js';

/**
 * Time for which runs of an ended batch go on, in milliseconds: a trainer takes about a second to hand in its next batch, which
 * needs their texts. They must have ended when the end has been in force for three seconds.
 */
const retiredMs = 1500;

type Retired = {owner: ShareOwner; timer: NodeJS.Timeout};

/** The batches that have ended here. */
export class RetiredBatches {
	readonly #keptTexts: KeptTexts;
	readonly #log: Log;
	readonly #retired = new Map<string, Retired>();
	/** Texts that are just being kept, with the trainer that their batches belong to. */
	readonly #keeping = new Set<{series: string; kept: Promise<void>}>();

	constructor(keptTexts: KeptTexts, log: Log) {
		this.#keptTexts = keptTexts;
		this.#log = log;
	}

	/** Takes in a share of a batch that has ended with unfinished groups. */
	add(owner: ShareOwner): void {
		const {name} = owner;
		owner.retire();
		const timer = setTimeout(() => {
			void this.#flush(name);
		}, retiredMs);
		this.#retired.set(name, {owner, timer});
		void this.#keep(owner);
	}

	/** Keeps the texts of a trainer's ended batches and stops their runs, since its next batch has come. */
	flushSeries(series: string): void {
		for (const [name, {owner}] of this.#retired) {
			if (owner.stored.record.series === series) {
				void this.#flush(name);
			}
		}
	}

	/** Whether this process is just keeping something of a trainer's ended batches. */
	isKeeping(series: string): boolean {
		return [...this.#keeping].some(keeping => keeping.series === series);
	}

	/** Resolves once what this process is just keeping of a trainer's ended batches is kept; never rejects. */
	async whenKept(series: string): Promise<void> {
		await Promise.all([...this.#keeping].filter(keeping => keeping.series === series).map(async ({kept}) => kept));
	}

	/** Does the same for all of them. Never rejects. */
	async flushAll(): Promise<void> {
		await Promise.all([...this.#retired.keys()].map(async name => this.#flush(name)));
	}

	/** Stops all runs; nothing more is kept. */
	stop(): void {
		for (const {owner, timer} of this.#retired.values()) {
			clearTimeout(timer);
			owner.stop();
		}

		this.#retired.clear();
	}

	async #flush(name: string): Promise<void> {
		const retired = this.#retired.get(name);
		if (!retired) {
			return;
		}

		this.#retired.delete(name);
		clearTimeout(retired.timer);
		const keeping = {series: retired.owner.stored.record.series, kept: this.#keep(retired.owner)};
		this.#keeping.add(keeping);
		retired.owner.stop();
		await keeping.kept;
		this.#keeping.delete(keeping);
	}

	async #keep(owner: ShareOwner): Promise<void> {
		const texts = owner.listUnfinished();
		try {
			await this.#keptTexts.keep(texts);
			this.#log.info('texts_kept', {
				batch: owner.id, share: owner.share, texts: texts.length, events: texts.reduce((sum, {text}) => sum + text.events.length, 0),
			});
		} catch (error) {
			// The texts are made anew then.
			this.#log.warn('texts_not_kept', {
				batch: owner.id, share: owner.share, texts: texts.length, reason: describeError(error),
			});
		}
	}
}
