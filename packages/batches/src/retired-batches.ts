/**
 * Continues runs of ended batches for a short time, and retains the texts of their incomplete groups.
 */
import {describeError, type Log} from '@wasabiusher/shared';
import type {ShareOwner} from './share-owner.js';
import type {RetainedTexts} from './retained-texts.js';

/**
 * Time for which runs of an ended batch continue, in milliseconds: a trainer takes about a second to submit its next batch, which needs their
 * texts. All runs must have stopped three seconds after the end of the batch.
 */
const retirementMs = 1500;

type RetiredShare = {owner: ShareOwner; timer: NodeJS.Timeout};

/** Shares of ended batches that this process owned. */
export class RetiredBatches {
	readonly #retainedTexts: RetainedTexts;
	readonly #log: Log;
	readonly #retired = new Map<string, RetiredShare>();
	/** Writes of retained texts in progress, with the series of their batches. */
	readonly #writing = new Set<{series: string; done: Promise<void>}>();

	constructor(retainedTexts: RetainedTexts, log: Log) {
		this.#retainedTexts = retainedTexts;
		this.#log = log;
	}

	/** Adds a share of a batch that has ended with incomplete groups. */
	add(owner: ShareOwner): void {
		const {name} = owner;
		owner.retire();
		const timer = setTimeout(() => {
			void this.#flush(name);
		}, retirementMs);
		this.#retired.set(name, {owner, timer});
		void this.#writeTexts(owner);
	}

	/** Writes the texts of a trainer's ended batches and stops their runs, since its next batch has been accepted. */
	flushSeries(series: string): void {
		for (const [name, {owner}] of this.#retired) {
			if (owner.stored.record.series === series) {
				void this.#flush(name);
			}
		}
	}

	/** Whether writes of a trainer's retained texts are in progress. */
	isWriting(series: string): boolean {
		return [...this.#writing].some(write => write.series === series);
	}

	/** Resolves once the writes in progress of a trainer's retained texts are done; never rejects. */
	async waitForWrites(series: string): Promise<void> {
		await Promise.all([...this.#writing].filter(write => write.series === series).map(async ({done}) => done));
	}

	/** Writes the texts of all ended batches and stops their runs. Never rejects. */
	async flushAll(): Promise<void> {
		await Promise.all([...this.#retired.keys()].map(async name => this.#flush(name)));
	}

	/** Stops all runs without writing their texts. */
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
		const write = {series: retired.owner.stored.record.series, done: this.#writeTexts(retired.owner)};
		this.#writing.add(write);
		retired.owner.stop();
		await write.done;
		this.#writing.delete(write);
	}

	async #writeTexts(owner: ShareOwner): Promise<void> {
		const texts = owner.listUnfinished();
		try {
			await this.#retainedTexts.write(texts);
			this.#log.info('texts_kept', {
				batch: owner.id, share: owner.share, texts: texts.length, events: texts.reduce((sum, {text}) => sum + text.events.length, 0),
			});
		} catch (error) {
			// The next batch then generates the texts from the start.
			this.#log.warn('texts_not_kept', {
				batch: owner.id, share: owner.share, texts: texts.length, reason: describeError(error),
			});
		}
	}
}
