/**
 * A model engine over HTTP, with server-sent events for streams.
 */
import {createParser} from 'eventsource-parser';
import {z} from 'zod';
import type {Dispatcher} from 'undici';
import type {GenerationRequest} from '@wasabiusher/shared';
import type {
	CacheEvent, Engine, EngineOrder, EngineReport, GenerationEvent, GenerationOptions,
} from './endpoint.js';
import {PlatformError} from './errors.js';
import {callHttp, callJson, toPlatformError} from './http.js';

/** Longest silence within a stream, in milliseconds; engines make several tokens a second. */
const streamTimeoutMs = 15_000;

/** Longest wait for an order, in milliseconds: loading weights takes seconds. */
const orderTimeoutMs = 30_000;

/** What ends a stream; an end without it is a failure. */
const terminalData = '[DONE]';

const chunkSchema = z.object({
	choices: z.array(z.object({text: z.string(), finish_reason: z.enum(['stop', 'length']).nullish()})).min(1),
	version: z.int(),
	tokens: z.int(),
});

const reportSchema = z.object({
	models: z.array(z.object({model: z.string(), version: z.int()})),
	role: z.string(),
	running: z.int(),
	waiting: z.int(),
	slots: z.int(),
	tokensPerSecond: z.number(),
	cacheUse: z.number(),
	startId: z.string(),
});

const cacheEventsSchema = z.array(z.object({sequence: z.int(), kind: z.enum(['stored', 'evicted']), prefix: z.string()}));

function toBody(request: GenerationRequest, {requestId, priority}: GenerationOptions): Record<string, unknown> {
	const {model, prompt, messages, maxTokens, temperature, seed, resumeFrom} = request;
	return {
		model, prompt, messages, max_tokens: maxTokens, temperature, seed, resume_from: resumeFrom, stream: true, request_id: requestId, priority,
	};
}

/** Speaks an engine's HTTP interface at an origin. */
export class HttpEngine implements Engine {
	readonly #origin: string;

	constructor(origin: string) {
		this.#origin = origin;
	}

	async * generate(request: GenerationRequest, options: GenerationOptions): AsyncIterable<GenerationEvent> {
		const response = await callHttp({
			origin: this.#origin, method: 'POST', path: '/v1/completions', body: toBody(request, options), signal: options.signal, timeoutMs: streamTimeoutMs,
		});
		if (response.statusCode === 404) {
			throw new PlatformError('refused', `the engine does not hold ${request.model}`);
		}

		yield * readStream(response);
	}

	async cancel(requestId: string): Promise<boolean> {
		const answer = await callJson({origin: this.#origin, method: 'POST', path: `/v1/cancel/${encodeURIComponent(requestId)}`});
		return z.object({wasRunning: z.boolean()}).parse(answer).wasRunning;
	}

	async report(): Promise<EngineReport> {
		return reportSchema.parse(await callJson({origin: this.#origin, method: 'GET', path: '/v1/report'}));
	}

	async order(order: EngineOrder, fence: number): Promise<void> {
		const response = await callHttp({
			origin: this.#origin, method: 'POST', path: '/v1/orders', body: {...order, fence}, timeoutMs: orderTimeoutMs,
		});
		await response.body.dump();
	}

	async listCacheEvents(after: number): Promise<CacheEvent[]> {
		return cacheEventsSchema.parse(await callJson({origin: this.#origin, method: 'GET', path: `/v1/cache-events?after=${after}`}));
	}

	async exportCache(requestId: string): Promise<Uint8Array> {
		const response = await callHttp({origin: this.#origin, method: 'GET', path: `/v1/cache/${encodeURIComponent(requestId)}`});
		return response.body.bytes();
	}

	async importCache(requestId: string, content: Uint8Array): Promise<void> {
		const response = await callHttp({
			origin: this.#origin, method: 'PUT', path: `/v1/cache/${encodeURIComponent(requestId)}`, body: content,
		});
		await response.body.dump();
	}
}

async function * readStream(response: Dispatcher.ResponseData): AsyncIterable<GenerationEvent> {
	const pending: string[] = [];
	const parser = createParser({
		onEvent(event) {
			pending.push(event.data);
		},
	});
	const decoder = new TextDecoder();
	let finished: GenerationEvent | undefined;
	try {
		for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
			parser.feed(decoder.decode(chunk, {stream: true}));
			for (const data of pending.splice(0)) {
				if (data === terminalData) {
					yield finished ?? fail('the stream ended without a reason');
					return;
				}

				const parsed = chunkSchema.parse(JSON.parse(data));
				const [choice] = parsed.choices;
				if (parsed.tokens > 0) {
					yield {kind: 'part', part: {text: choice!.text, tokens: parsed.tokens, version: parsed.version}};
				}

				finished = choice!.finish_reason ? {kind: 'finished', reason: choice!.finish_reason} : finished;
			}
		}
	} catch (error) {
		throw toPlatformError(error);
	}

	fail('the stream ended without its terminal event');
}

function fail(message: string): never {
	throw new PlatformError('unknown', message);
}
