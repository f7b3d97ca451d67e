/**
 * The set of a step's samples that a trainer has, written as a cursor.
 *
 * The cursor names exactly the samples received, so any entry can go on from it, one that has never heard of the
 * earlier hand-overs included: a place in one entry's order of delivery could not. It is a bitmap in base64, after a
 * letter that tells it from a number: 343 characters for the 2,048 samples of a step.
 */
import {Buffer} from 'node:buffer';

const mark = 'r';

/** Samples of one step, by their place in it. */
export class SampleSet {
	/** Reads a cursor; undefined if it is not one of a step of this size. Empty and `0` stand for nothing received. */
	static parse(text: string, total: number): SampleSet | undefined {
		const set = new SampleSet(total);
		if (text === '' || text === '0') {
			return set;
		}

		if (!/^r[\w\-]*$/v.test(text)) {
			return undefined;
		}

		const bytes = Buffer.from(text.slice(mark.length), 'base64url');
		for (const [byte, bits] of bytes.entries()) {
			for (let bit = 0; bit < 8; bit += 1) {
				if (Math.floor(bits / (2 ** bit)) % 2 === 1 && !set.#tryAdd((byte * 8) + bit)) {
					return undefined;
				}
			}
		}

		return set;
	}

	readonly #bits: Uint8Array;
	#size = 0;

	/** @param total - samples of the step */
	constructor(readonly total: number) {
		this.#bits = new Uint8Array(Math.ceil(total / 8));
	}

	get size(): number {
		return this.#size;
	}

	has(place: number): boolean {
		return Math.floor(this.#bits[Math.floor(place / 8)]! / (2 ** (place % 8))) % 2 === 1;
	}

	add(place: number): void {
		if (!this.has(place)) {
			this.#bits[Math.floor(place / 8)]! += 2 ** (place % 8);
			this.#size += 1;
		}
	}

	/** Adds all of another set. */
	addAll(other: SampleSet): void {
		for (const place of other) {
			this.add(place);
		}
	}

	/** The cursor. */
	format(): string {
		const length = this.#bits.findLastIndex(bits => bits > 0) + 1;
		return length === 0 ? '' : mark + Buffer.from(this.#bits.subarray(0, length)).toString('base64url');
	}

	* [Symbol.iterator](): IterableIterator<number> {
		for (let place = 0; place < this.total; place += 1) {
			if (this.has(place)) {
				yield place;
			}
		}
	}

	#tryAdd(place: number): boolean {
		if (place < this.total) {
			this.add(place);
		}

		return place < this.total;
	}
}
