/**
 * Results of one share that wait for the store, and what each of its groups still lacks.
 */
import {Buffer} from 'node:buffer';
import {
	countCompleted, planCommit, type CommitDemand, type WaitingResult,
} from '@wasabiusher/decisions';
import type {LogValue} from '@wasabiusher/shared';
import type {Sample, SampleResult} from './batch.js';
import {maxWriteBytes} from './batch-store.js';

/** What one transaction takes: with the rows of the batch and its end, conditions and writes stay under 100 entries. */
const commitLimits = {results: 20, bytes: maxWriteBytes};

/** A result that is not written yet. */
export type PendingResult = WaitingResult & {
	result: SampleResult;
	/** What the log says of it once it is listed. */
	values: Readonly<Record<string, LogValue>>;
};

/** The results that wait. */
export class PendingResults {
	/** Group of each sample of the share; one without a group counts alone. */
	readonly #groups: ReadonlyMap<string, string>;
	/** Samples of each group that are not listed, as far as there are any. */
	readonly #lacking = new Map<string, number>();
	/** What waits of each group, the oldest first. */
	readonly #waiting = new Map<string, PendingResult[]>();
	readonly #isByWorth: boolean;
	#size = 0;

	/**
	 * @param samples - those of the share
	 * @param isByWorth - whether what the step needs most goes first; otherwise the oldest does
	 */
	constructor(samples: readonly Sample[], isByWorth: boolean) {
		this.#isByWorth = isByWorth;
		this.#groups = new Map(samples.map(({id, group}) => [id, group ?? id]));
		for (const group of this.#groups.values()) {
			this.#lacking.set(group, (this.#lacking.get(group) ?? 0) + 1);
		}
	}

	get size(): number {
		return this.#size;
	}

	/** Whether a sample is one of the share. */
	isOwn(sample: string): boolean {
		return this.#groups.has(sample);
	}

	/** Samples of a sample's group that are not listed. */
	countLacking(sample: string): number {
		return this.#lacking.get(this.#groups.get(sample) ?? sample) ?? 0;
	}

	add(result: SampleResult, values: Readonly<Record<string, LogValue>>): void {
		const {id, text} = result;
		const key = this.#findKey(id);
		const others = this.#waiting.get(key) ?? [];
		if (others.some(other => other.id === id)) {
			return;
		}

		this.#size += 1;
		this.#waiting.set(key, [...others, {
			id, group: this.#groups.get(id) ?? id, bytes: Buffer.byteLength(text), addedAt: performance.now(), result, values,
		}]);
	}

	/** Takes note that the store has a sample's result; returns what has waited of it. */
	settle(sample: string): PendingResult | undefined {
		const group = this.#groups.get(sample) ?? sample;
		const left = (this.#lacking.get(group) ?? 0) - 1;
		if (left > 0) {
			this.#lacking.set(group, left);
		} else {
			this.#lacking.delete(group);
		}

		return this.#remove(sample);
	}

	/** What goes with the next transaction. */
	plan(): PendingResult[] {
		return planCommit(this.#waiting, this.#isByWorth ? this.#lacking : new Map(), commitLimits);
	}

	/** What the next transaction would gain; undefined if nothing waits. */
	findDemand(priority: number): CommitDemand | undefined {
		if (this.#size === 0) {
			return undefined;
		}

		const completes = countCompleted(this.plan(), this.#lacking);
		return {
			completes, openGroups: this.#lacking.size - completes, priority, addedAt: Math.min(...[...this.#waiting.values()].map(([oldest]) => oldest!.addedAt)),
		};
	}

	/** Results are planned by their groups; in the order in which they have come each is planned by itself. */
	#findKey(sample: string): string {
		return this.#isByWorth ? this.#groups.get(sample) ?? sample : sample;
	}

	#remove(sample: string): PendingResult | undefined {
		const key = this.#findKey(sample);
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
