/**
 * What this process knows of all batches, from the table's feed and its own writes.
 */
import type {ModelNeed} from '@wasabiusher/decisions';
import {groupBy} from '@wasabiusher/shared';
import type {BatchRecord, StoredBatch} from './batch.js';

/**
 * Batches of a model, and the time in milliseconds, over which what its steps ask for is averaged. The mean of a step counts, not the sum over
 * time: a trainer that is late asks less often and must not lose endpoints by that.
 */
const needBatches = 4;
export const needAgeMs = 20_000;

/** Time until a host that has begun a batch has told of it in a heartbeat, and that was read, in milliseconds. */
const freshMs = 700;

/** A batch's row, and for each share when this process first saw it with its present owner, on the monotonic clock. */
export type KnownBatch = StoredBatch & {seenAt: readonly number[]};

/** The batches, by the newest row of each that was seen. */
export class KnownBatches {
	readonly #batches = new Map<string, KnownBatch>();

	get(id: string): KnownBatch | undefined {
		return this.#batches.get(id);
	}

	delete(id: string): void {
		this.#batches.delete(id);
	}

	values(): Iterable<KnownBatch> {
		return this.#batches.values();
	}

	/**
	 * Takes note of a row.
	 *
	 * @returns what was known before, if anything; `isOld` if that was as new
	 */
	learn({record, version}: StoredBatch): {before: KnownBatch | undefined; isOld: boolean} {
		const before = this.#batches.get(record.id);
		if (before && before.version >= version) {
			return {before, isOld: true};
		}

		const now = performance.now();
		const seenAt = record.shares.map(({owner}, i) => before?.record.shares[i]?.owner === owner ? before.seenAt[i] ?? now : now);
		this.#batches.set(record.id, {record, version, seenAt});
		return {before, isOld: false};
	}

	/** Batches that have not ended. */
	listOpen(): BatchRecord[] {
		return [...this.#batches.values()].map(({record}) => record).filter(({isEnded}) => !isEnded);
	}

	/** The newest batch of a trainer; undefined if none is known. */
	findNewest(series: string): BatchRecord | undefined {
		return this.#listSeries(series).toSorted((a, b) => b.acceptedMs - a.acceptedMs)[0];
	}

	/** Batches of a trainer that have ended and were accepted after a time on the store's clock. */
	listEnded(series: string, sinceMs: number): BatchRecord[] {
		return this.#listSeries(series).filter(({isEnded, acceptedMs}) => isEnded && acceptedMs > sinceMs);
	}

	/** Batches of the same trainer that were accepted before one and are still open. */
	countEarlierOpen({series, acceptedMs}: BatchRecord): number {
		return this.#listSeries(series).filter(record => !record.isEnded && record.acceptedMs < acceptedMs).length;
	}

	/** Samples of open batches by the incarnation that works on them; those of a batch count as divided evenly. */
	countSamples(): Map<string, number> {
		const counts = new Map<string, number>();
		for (const {shares, total} of this.listOpen()) {
			for (const {owner} of shares) {
				counts.set(owner, (counts.get(owner) ?? 0) + (total / shares.length));
			}
		}

		return counts;
	}

	/** Samples of a model's batches that were accepted so lately that no host can have told yet what waits of them, by the time on the store's clock. */
	countFresh(model: string, storeMs: number): number {
		return this.listOpen().filter(record => record.model === model && storeMs - record.acceptedMs < freshMs).reduce((sum, {total}) => sum + total, 0);
	}

	/** What the last steps of each model have asked for, by the time on the store's clock; the endpoints are shared by it. */
	listNeeds(storeMs: number): Map<string, ModelNeed> {
		const recent = [...this.#batches.values()].map(({record}) => record).filter(({model, acceptedMs}) => model !== '' && acceptedMs >= storeMs - needAgeMs);
		return new Map([...groupBy(recent, ({model}) => model)].map(([model, records]) => {
			const last = records.toSorted((a, b) => b.acceptedMs - a.acceptedMs).slice(0, needBatches);
			return [model, {work: findMean(last, ({expectedTokens}) => expectedTokens), longest: findMean(last, ({longestTokens}) => longestTokens)}];
		}));
	}

	#listSeries(series: string): BatchRecord[] {
		return [...this.#batches.values()].map(({record}) => record).filter(record => record.series === series);
	}
}

function findMean<Item>(items: readonly Item[], read: (item: Item) => number): number {
	return items.reduce((sum, item) => sum + read(item), 0) / Math.max(1, items.length);
}
