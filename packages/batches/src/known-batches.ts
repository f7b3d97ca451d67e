/**
 * Holds the rows of all batches as this process knows them from the feed of the batch table and from its own writes.
 */
import type {ModelDemand} from '@wasabiusher/decisions';
import {groupBy} from '@wasabiusher/shared';
import type {BatchRecord, StoredBatch} from './batch.js';

/**
 * Number of batches of a model, and the time in milliseconds, over which its demand is averaged. The demand is the mean of a batch, not the sum over
 * time: a trainer that falls behind submits less often and must not lose endpoints for that.
 */
const demandBatches = 4;
export const demandAgeMs = 20_000;

/** Time until other hosts have received a heartbeat that reports the waiting samples of a new batch, in milliseconds. */
const reportDelayMs = 700;

/** A batch's row and, for each share, when this process first read it with its current owner, on the monotonic clock. */
export type KnownBatch = StoredBatch & {ownerObservedAt: readonly number[]};

/** The newest known row of each batch. */
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
	 * Records a row unless it is older than the known one.
	 *
	 * @returns the previously known row, if any; `isStale` if it was at least as new
	 */
	update({record, version}: StoredBatch): {previous: KnownBatch | undefined; isStale: boolean} {
		const previous = this.#batches.get(record.id);
		if (previous && previous.version >= version) {
			return {previous, isStale: true};
		}

		const now = performance.now();
		const ownerObservedAt = record.shares.map(({owner}, i) => previous?.record.shares[i]?.owner === owner ? previous.ownerObservedAt[i] ?? now : now);
		this.#batches.set(record.id, {record, version, ownerObservedAt});
		return {previous, isStale: false};
	}

	/** Lists batches that have not ended. */
	listOpen(): BatchRecord[] {
		return [...this.#batches.values()].map(({record}) => record).filter(({isEnded}) => !isEnded);
	}

	/** Returns the newest batch of a trainer; undefined if none is known. */
	findNewest(series: string): BatchRecord | undefined {
		return this.#listSeries(series).toSorted((a, b) => b.acceptedMs - a.acceptedMs)[0];
	}

	/** Lists batches of a trainer that have ended and were accepted after a time on the store's clock. */
	listEnded(series: string, sinceMs: number): BatchRecord[] {
		return this.#listSeries(series).filter(({isEnded, acceptedMs}) => isEnded && acceptedMs > sinceMs);
	}

	/** Counts the open batches of the same trainer that were accepted before the given one. */
	countEarlierOpen({series, acceptedMs}: BatchRecord): number {
		return this.#listSeries(series).filter(record => !record.isEnded && record.acceptedMs < acceptedMs).length;
	}

	/** Counts samples of open batches by the incarnation that owns them; those of a batch count as divided evenly among its shares. */
	countSamples(): Map<string, number> {
		const counts = new Map<string, number>();
		for (const {shares, total} of this.listOpen()) {
			for (const {owner} of shares) {
				counts.set(owner, (counts.get(owner) ?? 0) + (total / shares.length));
			}
		}

		return counts;
	}

	/** Counts samples of a model's batches that were accepted too recently for a heartbeat to include them, by the time on the store's clock. */
	countUnreported(model: string, storeMs: number): number {
		return this.listOpen().filter(record => record.model === model && storeMs - record.acceptedMs < reportDelayMs).reduce((sum, {total}) => sum + total, 0);
	}

	/** Returns the recent demand of each model, by the time on the store's clock; endpoints are divided among models by it. */
	listDemands(storeMs: number): Map<string, ModelDemand> {
		const recent = [...this.#batches.values()].map(({record}) => record).filter(({model, acceptedMs}) => model !== '' && acceptedMs >= storeMs - demandAgeMs);
		return new Map([...groupBy(recent, ({model}) => model)].map(([model, records]) => {
			const last = records.toSorted((a, b) => b.acceptedMs - a.acceptedMs).slice(0, demandBatches);
			return [model, {work: computeMean(last, ({expectedTokens}) => expectedTokens), longest: computeMean(last, ({longestTokens}) => longestTokens)}];
		}));
	}

	#listSeries(series: string): BatchRecord[] {
		return [...this.#batches.values()].map(({record}) => record).filter(record => record.series === series);
	}
}

function computeMean<Item>(items: readonly Item[], read: (item: Item) => number): number {
	return items.reduce((sum, item) => sum + read(item), 0) / Math.max(1, items.length);
}
