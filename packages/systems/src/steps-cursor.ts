/**
 * Encodes the set of a step's samples that a trainer has received as a cursor.
 *
 * The cursor identifies exactly the samples received, so any entry can continue from it, even one without a record of the
 * earlier deliveries. An offset into one entry's delivery order would not allow that. The cursor is a base64url bitmap with a
 * one-letter prefix that distinguishes it from a number: 343 characters for the 2,048 samples of a step.
 */
import {Buffer} from 'node:buffer';

const cursorPrefix = 'r';

/** A set of samples of one step, by their position in the step. */
export class SampleSet {
	/** Parses a cursor; returns undefined if it is not valid for a step of this size. An empty cursor and `0` mean that nothing was received. */
	static parse(text: string, total: number): SampleSet | undefined {
		const set = new SampleSet(total);
		if (text === '' || text === '0') {
			return set;
		}

		if (!/^r[\w\-]*$/v.test(text)) {
			return undefined;
		}

		const bytes = Buffer.from(text.slice(cursorPrefix.length), 'base64url');
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

	/** @param total - number of samples in the step */
	constructor(readonly total: number) {
		this.#bits = new Uint8Array(Math.ceil(total / 8));
	}

	get size(): number {
		return this.#size;
	}

	has(position: number): boolean {
		return Math.floor(this.#bits[Math.floor(position / 8)]! / (2 ** (position % 8))) % 2 === 1;
	}

	add(position: number): void {
		if (!this.has(position)) {
			this.#bits[Math.floor(position / 8)]! += 2 ** (position % 8);
			this.#size += 1;
		}
	}

	/** Adds all samples of another set. */
	addAll(other: SampleSet): void {
		for (const position of other) {
			this.add(position);
		}
	}

	/** Returns the cursor. */
	format(): string {
		const length = this.#bits.findLastIndex(bits => bits > 0) + 1;
		return length === 0 ? '' : cursorPrefix + Buffer.from(this.#bits.subarray(0, length)).toString('base64url');
	}

	* [Symbol.iterator](): IterableIterator<number> {
		for (let position = 0; position < this.total; position += 1) {
			if (this.has(position)) {
				yield position;
			}
		}
	}

	#tryAdd(position: number): boolean {
		if (position < this.total) {
			this.add(position);
		}

		return position < this.total;
	}
}
