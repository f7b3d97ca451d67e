/**
 * Client of a model engine over HTTP, with server-sent events for streams.
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
	callBytes, callEmpty, callHttp, callJson, handleFailure,
} from './http.js';

/** Maximum time between two chunks of a stream, in milliseconds; engines generate several tokens per second. */
const streamTimeoutMs = 15_000;

/** Maximum time for an order, in milliseconds; loading weights takes seconds. */
const orderTimeoutMs = 30_000;

/** Maximum number of bytes read after the terminal event of a stream; a correct stream only has the end of its last chunk left. */
const maxRemainingBytes = 1024;

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
 * Reads the remaining bytes of a stream and drops them.
 *
 * Undici's own `dump` also counts the bytes that were read before, so it would break the connection of each stream that is longer than its
 * limit and ends some time after its terminal event.
 */
function discardRemaining(body: Dispatcher.ResponseData['body']): void {
	let remainingBytes = 0;
	// A stream that breaks after its terminal event is complete; its connection is not reused.
	body.on('error', () => undefined);
	body.on('data', (chunk: Uint8Array) => {
		remainingBytes += chunk.length;
		if (remainingBytes > maxRemainingBytes) {
			body.destroy();
		}
	});
}

/** Client of an engine at an origin. */
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
			throw handleFailure(this.#origin, error);
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

	/** Reads a complete stream to its end, so that its connection can be reused; destroys any other. */
	#release(body: Dispatcher.ResponseData['body'], isComplete: boolean): void {
		if (isComplete) {
			discardRemaining(body);
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
			// An engine without the model has not run the request.
			throw error instanceof PlatformError && error.code === 'missing'
				? new PlatformError('refused', `the engine has not loaded model ${request.model}`, error)
				: error;
		}
	}
}
