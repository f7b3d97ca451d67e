/**
 * Collects the answer of a plain service while it is streamed, so that it can be recorded.
 */
import {Buffer} from 'node:buffer';
import type {AnswerEvent} from '@wasabiusher/link';
import type {RecordedAnswer} from '@wasabiusher/record';

/** Collects one answer up to a maximum size. */
export class AnswerCollector {
	readonly #maxBytes: number;
	#head: {status: number; headers: Record<string, string>} | undefined;
	#chunks: Uint8Array[] = [];
	#bytes = 0;

	/** @param maxBytes - maximum size of the body, in bytes */
	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** The collected answer; undefined if it was too large or had no head. */
	get answer(): RecordedAnswer | undefined {
		return this.#head && this.#bytes <= this.#maxBytes ? {...this.#head, body: Buffer.concat(this.#chunks)} : undefined;
	}

	add(event: AnswerEvent): void {
		if (event.kind === 'head') {
			this.#head = {status: event.status, headers: event.headers};
		} else if (event.kind === 'body') {
			this.#addChunk(event.chunk);
		}
	}

	/** Discards what was collected, because another attempt begins. */
	reset(): void {
		this.#head = undefined;
		this.#chunks = [];
		this.#bytes = 0;
	}

	#addChunk(chunk: Uint8Array): void {
		this.#bytes += chunk.length;
		this.#chunks = this.#bytes > this.#maxBytes ? [] : [...this.#chunks, chunk];
	}
}
