/**
 * Fetches weights from the weight store of a platform stand-in in another process.
 */
import {callEmpty} from '@wasabiusher/backends';
import type {WeightSource} from './memory-weight-store.js';

/** Time-out of a transfer, in milliseconds. It is long because a rate-limited store is slow. */
const transferTimeoutMs = 600_000;

/** Weight source over HTTP. */
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
