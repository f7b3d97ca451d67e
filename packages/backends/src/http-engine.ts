/**
 * A model engine over HTTP, with server-sent events for streams.
 */
import {z} from 'zod';
import type {Dispatcher} from 'undici';
import type {GenerationRequest} from '@wasabiusher/shared';
import type {
	CacheEvent, Engine, EngineOrder, EngineReport, GenerationEvent, GenerationOptions,
} from './endpoint.js';
import {PlatformError} from './errors.js';
import {readGeneration} from './generation-stream.js';
import {
	callBytes, callEmpty, callHttp, callJson, noteFailure,
} from './http.js';

/** Longest silence within a stream, in milliseconds; engines make several tokens a second. */
const streamTimeoutMs = 15_000;

/** Longest wait for an order, in milliseconds: loading weights takes seconds. */
const orderTimeoutMs = 30_000;

/** What is left of a stream after its terminal event, in bytes: the end of its last chunk. */
const restBytes = 1024;

const reportSchema = z.object({
	models: z.array(z.object({model: z.string(), version: z.int().nonnegative()})),
	role: z.string(),
	running: z.int().nonnegative(),
	waiting: z.int().nonnegative(),
	slots: z.int().nonnegative(),
	tokensPerSecond: z.number().nonnegative(),
	cacheUse: z.number().nonnegative(),
	startId: z.string(),
});

const cacheEventsSchema = z.array(z.object({sequence: z.int(), kind: z.enum(['stored', 'evicted']), prefix: z.string()}));

const cancelledSchema = z.object({wasRunning: z.boolean()});

function toBody(request: GenerationRequest, {requestId, priority}: GenerationOptions): Record<string, unknown> {
	const {model, prompt, messages, maxTokens, temperature, seed, resumeFrom} = request;
	return {
		model, prompt, messages, max_tokens: maxTokens, temperature, seed, resume_from: resumeFrom, stream: true, request_id: requestId, priority,
	};
}

/**
 * Reads what is left of a stream and drops it.
 *
 * Undici's own `dump` counts the bytes that were read before as well, so it cuts each stream
 * longer than its limit whose end comes later than its terminal event.
 */
function discardRest(body: Dispatcher.ResponseData['body']): void {
	let rest = 0;
	// A stream that breaks after its terminal event was whole; its connection is not used again.
	body.on('error', () => undefined);
	body.on('data', (chunk: Uint8Array) => {
		rest += chunk.length;
		if (rest > restBytes) {
			body.destroy();
		}
	});
}

/** Speaks an engine's HTTP interface at an origin. */
export class HttpEngine implements Engine {
	readonly #origin: string;

	constructor(origin: string) {
		this.#origin = origin;
	}

	async * generate(request: GenerationRequest, options: GenerationOptions): AsyncIterable<GenerationEvent> {
		const {body} = await this.#open(request, options);
		let finished: GenerationEvent | undefined;
		try {
			for await (const event of readGeneration(body.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>)) {
				if (event.kind === 'finished') {
					finished = event;
					break;
				}

				yield event;
			}
		} catch (error) {
			throw noteFailure(this.#origin, error);
		} finally {
			this.#release(body, finished !== undefined);
		}

		yield finished!;
	}

	async cancel(requestId: string): Promise<boolean> {
		const {wasRunning} = await callJson(cancelledSchema, {origin: this.#origin, method: 'POST', path: `/v1/cancel/${encodeURIComponent(requestId)}`});
		return wasRunning;
	}

	async report(): Promise<EngineReport> {
		return callJson(reportSchema, {origin: this.#origin, method: 'GET', path: '/v1/report'});
	}

	async order(order: EngineOrder, fence: number): Promise<void> {
		await callEmpty({
			origin: this.#origin, method: 'POST', path: '/v1/orders', body: {...order, fence}, timeoutMs: orderTimeoutMs,
		});
	}

	async listCacheEvents(after: number): Promise<CacheEvent[]> {
		return callJson(cacheEventsSchema, {origin: this.#origin, method: 'GET', path: `/v1/cache-events?after=${after}`});
	}

	async exportCache(requestId: string): Promise<Uint8Array> {
		return callBytes({origin: this.#origin, method: 'GET', path: `/v1/cache/${encodeURIComponent(requestId)}`});
	}

	async importCache(requestId: string, content: Uint8Array): Promise<void> {
		await callEmpty({
			origin: this.#origin, method: 'PUT', path: `/v1/cache/${encodeURIComponent(requestId)}`, body: content,
		});
	}

	/** A whole stream is read to its end, so that its connection can be used again; any other is cut. */
	#release(body: Dispatcher.ResponseData['body'], isWhole: boolean): void {
		if (isWhole) {
			discardRest(body);
		} else {
			body.destroy();
		}
	}

	async #open(request: GenerationRequest, options: GenerationOptions): Promise<Dispatcher.ResponseData> {
		try {
			return await callHttp({
				origin: this.#origin, method: 'POST', path: '/v1/completions', body: toBody(request, options), signal: options.signal, timeoutMs: streamTimeoutMs,
			});
		} catch (error) {
			// An engine that lacks the model has run nothing.
			throw error instanceof PlatformError && error.code === 'missing'
				? new PlatformError('refused', `the engine does not hold ${request.model}`, error)
				: error;
		}
	}
}
