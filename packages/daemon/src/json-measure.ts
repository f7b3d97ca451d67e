/**
 * Measures the structure of a JSON document without parsing it: how deep it is nested, and how many values it holds at most.
 *
 * The measure of a text that is no JSON means nothing; parsing it fails.
 */

const codes = {
	quote: 0x22, comma: 0x2C, colon: 0x3A, openBracket: 0x5B, backslash: 0x5C, closeBracket: 0x5D, openBrace: 0x7B, closeBrace: 0x7D,
} as const;

/** Counts levels and values over the parts of a document. */
export class JsonMeasure {
	readonly #maxDepth: number;
	#depth = 0;
	#values = 1;
	#isInString = false;
	#isEscaped = false;
	#isTooDeep = false;

	constructor(maxDepth: number) {
		this.#maxDepth = maxDepth;
	}

	/** Values and names so far: each but the first follows a comma, a colon or the start of an array or object. */
	get values(): number {
		return this.#values;
	}

	get isTooDeep(): boolean {
		return this.#isTooDeep;
	}

	/** Measures the next part of the document, in UTF-8. */
	add(bytes: Uint8Array): void {
		for (const byte of bytes) {
			if (this.#isInString) {
				this.#readString(byte);
			} else {
				this.#readStructure(byte);
			}
		}
	}

	#readStructure(byte: number): void {
		switch (byte) {
			case codes.quote: {
				this.#isInString = true;
				break;
			}

			case codes.openBrace:
			case codes.openBracket: {
				this.#depth += 1;
				this.#values += 1;
				this.#isTooDeep ||= this.#depth > this.#maxDepth;
				break;
			}

			case codes.closeBrace:
			case codes.closeBracket: {
				this.#depth -= 1;
				break;
			}

			case codes.comma:
			case codes.colon: {
				this.#values += 1;
				break;
			}

			default:
				// Digits, letters and white space.
		}
	}

	#readString(byte: number): void {
		if (this.#isEscaped) {
			this.#isEscaped = false;
		} else if (byte === codes.backslash) {
			this.#isEscaped = true;
		} else if (byte === codes.quote) {
			this.#isInString = false;
		}
	}
}
