/**
 * How many events a text is expected to take still.
 *
 * Load pattern: texts of 20 events on average and of 152 at most; what a trainer says of a length is right at the median and often far off. Which
 * texts decide a step shows only while they are made: one that has 40 events already is expected to go on for as long as those before it that came as far.
 */
import {dropOldest} from '@wasabiusher/shared';

/** Lengths remembered of each trainer: some steps, few enough to be looked through for each text. */
const maxLengths = 128;

/** Lengths before they tell anything. */
const minLengths = 8;

/** What is left of a text that is longer than all known, over what it has; a Pareto tail of exponent 3 gives a half. */
const tailFactor = 0.5;

/** Trainers remembered; the one unused longest is forgotten first. */
const maxKinds = 100;

/** Least hint, in tokens: a text has one event at least. */
const minHint = 1;

/** Lengths of one trainer's texts over their hints; `next` is the place of the oldest. */
type Kind = {ratios: number[]; next: number};

/** Learns the lengths of texts by kind. */
export class TextLengths {
	readonly #kinds = new Map<string, Kind>();

	/**
	 * A text became whole.
	 *
	 * @param kind - whose it was and whether it had a hint; lengths of one kind are comparable
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
	 * Events still expected of a text that has made some: the mean excess of those known to be longer.
	 *
	 * @returns undefined while nothing is known
	 */
	expectLeft(kind: string, hint: number | undefined, made: number): number | undefined {
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
