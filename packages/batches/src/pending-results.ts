/**
 * Holds the results of one share that are not committed yet, and counts the missing results of each group.
 */
import {Buffer} from 'node:buffer';
import {
	countCompleted, planCommit, type CommitDemand, type WaitingResult,
} from '@wasabiusher/decisions';
import type {LogValue} from '@wasabiusher/shared';
import type {Sample, SampleResult} from './batch.js';
import {maxWriteBytes} from './batch-store.js';

/** Limits of one transaction: with the rows of the batch and its end, conditions and writes stay below 100 entries. */
const commitLimits = {results: 20, bytes: maxWriteBytes};

/** A result that is not committed yet. */
export type PendingResult = WaitingResult & {
	result: SampleResult;
	/** Further values of the log line that is written once the result is listed. */
	logValues: Readonly<Record<string, LogValue>>;
};

/** The pending results of one share. */
export class PendingResults {
	/** Group of each sample of the share; a sample without a group forms its own. */
	readonly #groups: ReadonlyMap<string, string>;
	/** Number of samples of each group that are not listed; listed groups are absent. */
	readonly #missing = new Map<string, number>();
	/** Pending results by plan key, the oldest first. */
	readonly #waiting = new Map<string, PendingResult[]>();
	readonly #isByBenefit: boolean;
	#size = 0;

	/**
	 * @param samples - samples of the share
	 * @param isByBenefit - whether results are committed by their benefit for the step, highest first; otherwise by age, oldest first
	 */
	constructor(samples: readonly Sample[], isByBenefit: boolean) {
		this.#isByBenefit = isByBenefit;
		this.#groups = new Map(samples.map(({id, group}) => [id, group ?? id]));
		for (const group of this.#groups.values()) {
			this.#missing.set(group, (this.#missing.get(group) ?? 0) + 1);
		}
	}

	get size(): number {
		return this.#size;
	}

	/** Whether a sample belongs to the share. */
	isOfShare(sample: string): boolean {
		return this.#groups.has(sample);
	}

	/** Counts the samples of a sample's group that are not listed. */
	countMissing(sample: string): number {
		return this.#missing.get(this.#groups.get(sample) ?? sample) ?? 0;
	}

	add(result: SampleResult, logValues: Readonly<Record<string, LogValue>>): void {
		const {id, text} = result;
		const key = this.#findPlanKey(id);
		const sameKey = this.#waiting.get(key) ?? [];
		if (sameKey.some(other => other.id === id)) {
			return;
		}

		this.#size += 1;
		this.#waiting.set(key, [...sameKey, {
			id, group: this.#groups.get(id) ?? id, bytes: Buffer.byteLength(text), addedAt: performance.now(), result, logValues,
		}]);
	}

	/** Records that a sample's result is in the store; returns the pending result, if there is one. */
	markListed(sample: string): PendingResult | undefined {
		const group = this.#groups.get(sample) ?? sample;
		const missing = (this.#missing.get(group) ?? 0) - 1;
		if (missing > 0) {
			this.#missing.set(group, missing);
		} else {
			this.#missing.delete(group);
		}

		return this.#remove(sample);
	}

	/** Plans the results of the next transaction. */
	plan(): PendingResult[] {
		return planCommit(this.#waiting, this.#isByBenefit ? this.#missing : new Map(), commitLimits);
	}

	/** Returns the benefit of the next transaction; undefined if nothing is pending. */
	findDemand(priority: number): CommitDemand | undefined {
		if (this.#size === 0) {
			return undefined;
		}

		const completes = countCompleted(this.plan(), this.#missing);
		return {
			completes, openGroups: this.#missing.size - completes, priority, addedAt: Math.min(...[...this.#waiting.values()].map(([oldest]) => oldest!.addedAt)),
		};
	}

	/** Returns the key by which a result is planned: its group if planned by benefit, otherwise the sample itself. */
	#findPlanKey(sample: string): string {
		return this.#isByBenefit ? this.#groups.get(sample) ?? sample : sample;
	}

	#remove(sample: string): PendingResult | undefined {
		const key = this.#findPlanKey(sample);
		const waiting = this.#waiting.get(key) ?? [];
		const pending = waiting.find(({id}) => id === sample);
		if (!pending) {
			return undefined;
		}

		this.#size -= 1;
		if (waiting.length === 1) {
			this.#waiting.delete(key);
		} else {
			this.#waiting.set(key, waiting.filter(other => other !== pending));
		}

		return pending;
	}
}
