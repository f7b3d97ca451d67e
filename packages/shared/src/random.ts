/**
 * Seeded random numbers. Code that makes random decisions receives its generator as an argument.
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';

/** A generator of random numbers; the same seed gives the same sequence. */
export class Random {
	readonly #generator;

	/** @param seed - any 32-bit integer */
	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns a number in [0, 1). */
	next(): number {
		return uniformFloat64(this.#generator);
	}

	/** Returns an integer from `low` to `high`, both inclusive. */
	integer(low: number, high: number): number {
		return uniformInt(this.#generator, low, high);
	}

	/** Returns a random item; the list must not be empty. */
	pick<Item>(items: readonly Item[]): Item {
		return items[this.integer(0, items.length - 1)]!;
	}

	/** Returns a sample of the exponential distribution with the given mean. */
	exponential(mean: number): number {
		return -mean * Math.log(1 - this.next());
	}
}
