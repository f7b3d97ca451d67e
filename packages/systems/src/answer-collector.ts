/**
 * Collects an answer of a plain service while it passes through, so that it can be recorded.
 */
import {Buffer} from 'node:buffer';
import type {AnswerEvent} from '@wasabiusher/link';
import type {RecordedAnswer} from '@wasabiusher/record';

/** One answer, up to a size. */
export class AnswerCollector {
	readonly #maxBytes: number;
	#head: {status: number; headers: Record<string, string>} | undefined;
	#chunks: Uint8Array[] = [];
	#bytes = 0;

	/** @param maxBytes - greatest body kept, in bytes */
	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** The whole answer; undefined if it was too large or had no head. */
	get answer(): RecordedAnswer | undefined {
		return this.#head && this.#bytes <= this.#maxBytes ? {...this.#head, body: Buffer.concat(this.#chunks)} : undefined;
	}

	take(event: AnswerEvent): void {
		if (event.kind === 'head') {
			this.#head = {status: event.status, headers: event.headers};
		} else if (event.kind === 'body') {
			this.#keep(event.chunk);
		}
	}

	/** Another attempt begins: nothing of the last one is part of the answer. */
	reset(): void {
		this.#head = undefined;
		this.#chunks = [];
		this.#bytes = 0;
	}

	#keep(chunk: Uint8Array): void {
		this.#bytes += chunk.length;
		this.#chunks = this.#bytes > this.#maxBytes ? [] : [...this.#chunks, chunk];
	}
}
