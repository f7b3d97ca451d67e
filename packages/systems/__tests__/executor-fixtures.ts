/**
 * Fixtures of the executor's tests: endpoints that the test controls, and an executor whose messages are recorded.
 */
import type {Message, MessageOf} from '@wasabiusher/link';
import {
	PlatformError, type CacheEvent, type Engine, type EngineOrder, type EngineReport, type GenerationEvent, type GenerationOptions, type PlainEvent, type PlainService,
} from '@wasabiusher/backends';
import {createSilentLog, type GenerationRequest} from '@wasabiusher/shared';
import {Executor, type ExecutorSettings} from '../src/index.js';

/** A stream whose events the test pushes. */
export class Feed<Event> implements AsyncIterable<Event> {
	readonly #events: Event[] = [];
	#error: Error | undefined;
	#hasEnded = false;
	#wake: (() => void) | undefined;

	push(...events: Event[]): void {
		this.#events.push(...events);
		this.#wake?.();
	}

	/** Ends the stream after the events pushed so far. */
	end(): void {
		this.#hasEnded = true;
		this.#wake?.();
	}

	fail(error: Error): void {
		this.#error = error;
		this.#wake?.();
	}

	async * [Symbol.asyncIterator](): AsyncIterator<Event> {
		for (;;) {
			const event = this.#events.shift();
			if (event) {
				yield event;
			} else if (this.#error) {
				throw this.#error;
			} else if (this.#hasEnded) {
				return;
			} else {
				// Events are sequential.
				// eslint-disable-next-line no-await-in-loop
				await new Promise<void>(resolve => {
					this.#wake = resolve;
				});
			}
		}
	}
}

export type FakeRun = {request: GenerationRequest; options: GenerationOptions; feed: Feed<GenerationEvent>};

/** An engine whose streams the test controls. It ignores the abort signal, like an engine that continues a cancelled run. */
export class FakeEngine implements Engine {
	readonly runs: FakeRun[] = [];
	readonly cancelled: string[] = [];
	readonly orders: Array<{order: EngineOrder; fence: number}> = [];
	isReachable = true;
	current: EngineReport = {
		models: [{model: 'trail', version: 1}], role: 'any', running: 0, waiting: 0, slots: 8, tokensPerSecond: 0, cacheUse: 0, startId: 'first',
	};

	/** Result of `cancel`: true and false confirm the stop, an error does not. */
	onCancel: () => Promise<boolean> = async () => true;
	onOrder: (order: EngineOrder, fence: number) => Promise<void> = async () => undefined;

	generate(request: GenerationRequest, options: GenerationOptions): AsyncIterable<GenerationEvent> {
		const feed = new Feed<GenerationEvent>();
		this.runs.push({request, options, feed});
		return feed;
	}

	async cancel(requestId: string): Promise<boolean> {
		this.cancelled.push(requestId);
		return this.onCancel();
	}

	async report(): Promise<EngineReport> {
		if (!this.isReachable) {
			throw new PlatformError('unavailable', 'connection refused');
		}

		return structuredClone(this.current);
	}

	async order(order: EngineOrder, fence: number): Promise<void> {
		this.orders.push({order, fence});
		await this.onOrder(order, fence);
	}

	async listCacheEvents(): Promise<CacheEvent[]> {
		return [];
	}

	async exportCache(): Promise<Uint8Array> {
		return new Uint8Array();
	}

	async importCache(): Promise<void> {
		// The fake engine has no cache.
	}
}

/** A plain service whose streams the test controls. */
export class FakeService implements PlainService {
	readonly calls: Array<{path: string; feed: Feed<PlainEvent>; signal: AbortSignal}> = [];
	isHealthy = true;

	forward({path}: Parameters<PlainService['forward']>[0], signal: AbortSignal): AsyncIterable<PlainEvent> {
		const feed = new Feed<PlainEvent>();
		this.calls.push({path, feed, signal});
		return feed;
	}

	async check(): Promise<boolean> {
		return this.isHealthy;
	}
}

/** Creates an executor and records the messages that it sends to its entries. */
export function createExecutor(settings: Pick<ExecutorSettings, 'endpoint'> & Partial<ExecutorSettings>) {
	const sent: Array<{peer: string; message: Message}> = [];
	const executor = new Executor({
		service: 'models',
		limit: 2,
		maxWaiting: 10,
		log: createSilentLog(),
		send(peer, message) {
			sent.push({peer, message});
			return true;
		},
		...settings,
	});
	return {
		executor,
		sent,
		/** Returns the messages about one request, oldest first. */
		list(request: string): Message[] {
			return sent.map(({message}) => message).filter(message => 'request' in message && message.request === request);
		},
		/** Returns the last message of a kind about a request. */
		find<Kind extends Message['kind']>(request: string, kind: Kind): MessageOf<Kind> | undefined {
			return sent.map(({message}) => message).findLast(message => message.kind === kind && 'request' in message && message.request === request) as MessageOf<Kind> | undefined;
		},
	};
}

/** Creates a request for an engine. */
export function createOpen(request: string, changes: Partial<MessageOf<'open'>> = {}): MessageOf<'open'> {
	return {
		kind: 'open',
		request,
		attempt: 1,
		work: {kind: 'generate', request: {model: 'trail', prompt: request, maxTokens: 8}},
		service: 'models',
		caller: 'warden',
		profile: 'ranger',
		class: 'interactive',
		priority: 5,
		share: 1,
		cost: 8,
		remainingMs: 10_000,
		isIdempotent: true,
		fingerprint: `content of ${request}`,
		isSuspect: false,
		...changes,
	};
}

/** Creates a non-idempotent request for a plain service. */
export function createPosting(request: string, changes: Partial<MessageOf<'open'>> = {}): MessageOf<'open'> {
	return createOpen(request, {
		work: {
			kind: 'forward', method: 'POST', path: `/${request}`, headers: {},
		}, cost: 1, isIdempotent: false, ...changes,
	});
}

export function createToken(text: string, version = 1): GenerationEvent {
	return {kind: 'part', part: {text, tokens: 1, version}};
}

export const lastToken: GenerationEvent = {kind: 'finished', reason: 'stop'};
