/**
 * HTTP traffic to an entry or directly to an engine. Both receive the same requests, so that results are comparable.
 */
import {Agent, request} from 'undici';
import {build, type Histogram} from 'hdr-histogram-js';

export type Target = {origin: string; headers: Readonly<Record<string, string>>};

export type RequestShape = {tokens: number; stream: boolean};

/** Maximum number of concurrent connections to the target. */
const maxConnections = 512;

/** Highest latency that the histogram can record, in microseconds. */
const maxLatencyUs = 60_000_000;

const maxTokensField = 'max_tokens';

/** Sends requests and counts their answers. */
export class Traffic {
	readonly #target: Target;
	readonly #shape: RequestShape;
	readonly #agent = new Agent({connections: maxConnections});
	readonly #url: URL;

	constructor(target: Target, shape: RequestShape) {
		this.#target = target;
		this.#shape = shape;
		this.#url = new URL('/v1/completions', target.origin);
	}

	/** Sends one request and reads the response to its end. Throws unless the status is 200. */
	async send(): Promise<void> {
		const {tokens, stream} = this.#shape;
		const {statusCode, body} = await request(this.#url, {
			dispatcher: this.#agent,
			method: 'POST',
			headers: {'content-type': 'application/json', ...this.#target.headers},
			body: JSON.stringify({
				model: 'trail', prompt: 'bench', [maxTokensField]: tokens, stream,
			}),
		});
		await body.dump({limit: Number.POSITIVE_INFINITY});
		if (statusCode !== 200) {
			throw new Error(`expected status 200, got ${statusCode}`);
		}
	}

	/** Sends requests from `concurrency` senders for `seconds`. Resolves to the number of requests and their rate per second. */
	async saturate(concurrency: number, seconds: number): Promise<{perSecond: number; n: number}> {
		const startedAt = performance.now();
		const until = startedAt + (seconds * 1000);
		let n = 0;
		await Promise.all(Array.from({length: concurrency}, async () => {
			while (performance.now() < until) {
				// Each sender waits for the response before its next request.
				// eslint-disable-next-line no-await-in-loop
				await this.send();
				n += 1;
			}
		}));
		return {n, perSecond: n * 1000 / (performance.now() - startedAt)};
	}

	/** Sends requests at a constant rate without waiting for responses (open loop). Resolves to their latencies in microseconds. */
	async sendAtRate(perSecond: number, seconds: number): Promise<Histogram> {
		const histogram = build({highestTrackableValue: maxLatencyUs, numberOfSignificantValueDigits: 3});
		const startedAt = performance.now();
		const count = Math.floor(perSecond * seconds);
		const sent: Array<Promise<void>> = [];
		for (let i = 0; i < count; i += 1) {
			const dueAt = startedAt + (i * 1000 / perSecond);
			if (dueAt > performance.now()) {
				// eslint-disable-next-line no-await-in-loop
				await new Promise<void>(resolve => {
					setTimeout(resolve, dueAt - performance.now());
				});
			}

			// Measured from sending, not from the due time: the resolution of timers is as coarse as the latency to be measured.
			const sentAt = performance.now();
			sent.push(this.send().then(() => {
				histogram.recordValue(Math.max(1, Math.round((performance.now() - sentAt) * 1000)));
			}));
		}

		await Promise.all(sent);
		return histogram;
	}

	async close(): Promise<void> {
		await this.#agent.close();
	}
}
