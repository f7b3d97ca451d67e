/**
 * Storage of a body that arrives in chunks of any size.
 *
 * Each chunk of the HTTP parser is a buffer of its own, which costs hundreds of bytes beside its content. Small chunks are therefore copied into
 * segments; large ones are kept as they are. The segments are never joined, since that would hold the body twice.
 */
import {Buffer} from 'node:buffer';

/** Smallest and largest segment, in bytes. */
const minSegmentBytes = 4096;
const maxSegmentBytes = 262_144;

/** Size from which a chunk is kept as a segment, in bytes. */
const keptChunkBytes = 16_384;

/** Memory of a buffer beside its content, in bytes. */
const segmentOverheadBytes = 512;

/** The content of a body, in order. */
export class BodySegments {
	readonly #segments: Uint8Array[] = [];
	readonly #expectedBytes: number | undefined;
	/** The last segment, if it has room. */
	#open: Uint8Array | undefined;
	#openLength = 0;
	#length = 0;

	/** @param expectedBytes - announced length of the body; undefined if there is none */
	constructor(expectedBytes?: number) {
		this.#expectedBytes = expectedBytes;
	}

	/** Length of the content, in bytes. */
	get length(): number {
		return this.#length;
	}

	/** Memory that appending a chunk would allocate, in bytes. */
	findCost(chunk: Uint8Array): number {
		const copied = this.#isKept(chunk) ? 0 : this.#findCopied(chunk.length);
		if (copied === chunk.length) {
			return 0;
		}

		return segmentOverheadBytes + (this.#isKept(chunk) ? chunk.length : this.#findSegmentBytes(chunk.length - copied));
	}

	append(chunk: Uint8Array): void {
		if (this.#isKept(chunk)) {
			this.#segments.push(chunk);
		} else {
			this.#copy(chunk);
		}

		this.#length += chunk.length;
	}

	/** Ends the body; returns its segments without the unused part of the last one. */
	finish(): readonly Uint8Array[] {
		this.#close();
		return this.#segments;
	}

	/** Drops the content. */
	clear(): void {
		this.#segments.length = 0;
		this.#open = undefined;
	}

	/** Whether a chunk becomes a segment by itself: a large one, or one that is the whole body. The rest of an open segment is used first. */
	#isKept({length}: Uint8Array): boolean {
		return this.#open === undefined && (length >= keptChunkBytes || (this.#length === 0 && length === this.#expectedBytes));
	}

	/** Bytes of a chunk that fit into the open segment. */
	#findCopied(length: number): number {
		return this.#open ? Math.min(length, this.#open.length - this.#openLength) : 0;
	}

	/** Size of the next segment: as large as the content so far, and no larger than the rest of an announced body. */
	#findSegmentBytes(neededBytes: number): number {
		const bytes = Math.min(maxSegmentBytes, Math.max(minSegmentBytes, this.#length));
		const leftBytes = this.#expectedBytes === undefined ? bytes : this.#expectedBytes - this.#length;
		return Math.max(neededBytes, Math.min(bytes, leftBytes));
	}

	#copy(chunk: Uint8Array): void {
		const copied = this.#findCopied(chunk.length);
		this.#open?.set(chunk.subarray(0, copied), this.#openLength);
		this.#openLength += copied;
		if (copied < chunk.length) {
			const segment = Buffer.allocUnsafeSlow(this.#findSegmentBytes(chunk.length - copied));
			this.#close();
			segment.set(chunk.subarray(copied));
			this.#open = segment;
			this.#openLength = chunk.length - copied;
		}
	}

	#close(): void {
		if (this.#open) {
			this.#segments.push(this.#open.subarray(0, this.#openLength));
			this.#open = undefined;
		}
	}
}
