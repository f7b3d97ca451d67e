/**
 * Estimates how many more events a generation will take.
 *
 * Load pattern: generations have 20 events on average and at most 152; a trainer's length hint is right at the median and often far off. Which
 * generations decide the duration of a step only shows while they are in progress: one that has 40 events already is expected to continue for as long as
 * earlier ones that reached that length.
 */
import {dropOldest} from '@wasabiusher/shared';

/** Maximum number of lengths remembered per trainer: some steps, few enough to scan for each generation. */
const maxLengths = 128;

/** Minimum number of lengths for an estimate from them. */
const minLengths = 8;

/** Expected remaining length of a generation that is longer than all known ones, over its length so far; a Pareto tail of exponent 3 gives a half. */
const tailFactor = 0.5;

/** Maximum number of remembered trainers; the least recently used is removed first. */
const maxKinds = 100;

/** Minimum hint, in tokens: a generation has at least one event. */
const minHint = 1;

/** Lengths of one trainer's generations over their hints; `next` is the index of the oldest. */
type Kind = {ratios: number[]; next: number};

/** Tracks the lengths of generations by kind. */
export class GenerationLengths {
	readonly #kinds = new Map<string, Kind>();

	/**
	 * Records the length of a finished generation.
	 *
	 * @param kind - its trainer and whether it had a hint; lengths of one kind are comparable
	 * @param hint - expected length, in any unit; undefined if none was given
	 */
	record(kind: string, hint: number | undefined, events: number): void {
		const known = this.#kinds.get(kind) ?? {ratios: [], next: 0};
		this.#kinds.delete(kind);
		this.#kinds.set(kind, known);
		known.ratios[known.next] = events / Math.max(minHint, hint ?? minHint);
		known.next = (known.next + 1) % maxLengths;
		dropOldest(this.#kinds, maxKinds);
	}

	/**
	 * Returns the expected number of remaining events of a generation: the mean excess of the known longer ones.
	 *
	 * @returns undefined while nothing is known
	 */
	estimateRemaining(kind: string, hint: number | undefined, made: number): number | undefined {
		const ratios = this.#kinds.get(kind)?.ratios ?? [];
		if (ratios.length < minLengths) {
			return made === 0 ? undefined : tailFactor * made;
		}

		const scale = Math.max(minHint, hint ?? minHint);
		let sum = 0;
		let count = 0;
		for (const ratio of ratios) {
			const excess = (ratio * scale) - made;
			sum += Math.max(0, excess);
			count += Number(excess > 0);
		}

		return count === 0 ? tailFactor * made : sum / count;
	}
}
