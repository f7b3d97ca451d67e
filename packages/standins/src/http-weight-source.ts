/**
 * The weight store of a platform stand-in in another process.
 */
import {callEmpty} from '@wasabiusher/backends';
import type {WeightSource} from './memory-weight-store.js';

/** Longest transfer, in milliseconds; a rate-limited store takes its time. */
const transferTimeoutMs = 600_000;

export class HttpWeightSource implements WeightSource {
	readonly #origin: string;

	constructor(origin: string) {
		this.#origin = origin;
	}

	async fetch(model: string, version: number): Promise<void> {
		await callEmpty({
			origin: this.#origin, method: 'GET', path: `/v1/weights/${encodeURIComponent(model)}/${version}`, timeoutMs: transferTimeoutMs,
		});
	}
}
