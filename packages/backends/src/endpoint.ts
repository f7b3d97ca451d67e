/**
 * Interfaces to endpoints: model engines and plain services.
 */
import type {FinishReason, GenerationPart, GenerationRequest} from '@wasabiusher/shared';

/** What an engine streams; without `finished` the answer is not whole. */
export type GenerationEvent
	= | {kind: 'part'; part: GenerationPart}
		| {kind: 'finished'; reason: FinishReason};

/** A model that an engine holds, with the version that is in force there. */
export type LoadedModel = {model: string; version: number};

/** What an engine reports of itself; it lags. */
export type EngineReport = {
	models: LoadedModel[];
	role: string;
	running: number;
	waiting: number;
	/** Most requests that it batches. */
	slots: number;
	/** Tokens made in a second, of late. */
	tokensPerSecond: number;
	/** Fraction of cache memory in use. */
	cacheUse: number;
	/** Set anew at each start of the engine; a change means that it crashed or was replaced. */
	startId: string;
};

/** Orders are absolute: they name the state to be in, so that a repeat does no harm. */
export type EngineOrder
	= | {kind: 'load'; model: string; version: number}
		// Fetches weights without putting them in force, so that the later load is short.
		| {kind: 'prefetch'; model: string; version: number}
		| {kind: 'unload'; model: string}
		| {kind: 'role'; role: string};

export type CacheEvent = {sequence: number; kind: 'stored' | 'evicted'; prefix: string};

export type GenerationOptions = {
	/** Names the run for `cancel`. */
	requestId: string;
	/** 0 is the least urgent. */
	priority: number;
	signal: AbortSignal;
};

/** One model engine. Throws `PlatformError`: `refused` is proven not run, `unavailable` before sending, `unknown` after. */
export type Engine = {
	generate(request: GenerationRequest, options: GenerationOptions): AsyncIterable<GenerationEvent>;
	/** Resolves once the engine confirms that the run has stopped; true if it was running. */
	cancel(requestId: string): Promise<boolean>;
	report(): Promise<EngineReport>;
	/** Throws `fenced` if the engine refuses the fence; resolves once the state is in force. */
	order(order: EngineOrder, fence: number): Promise<void>;
	/** Cache events after a sequence number; gaps mean that events were lost. */
	listCacheEvents(after: number): Promise<CacheEvent[]>;
	/** Takes out the attention cache of a run, to go on elsewhere. */
	exportCache(requestId: string): Promise<Uint8Array>;
	importCache(requestId: string, content: Uint8Array): Promise<void>;
};

/** A request to a plain service, kept as the caller sent it. */
export type PlainRequest = {
	method: string;
	/** Path and query. */
	path: string;
	headers: Record<string, string>;
	body?: Uint8Array;
};

export type PlainEvent
	= | {kind: 'head'; status: number; headers: Record<string, string>}
		| {kind: 'body'; chunk: Uint8Array}
		| {kind: 'finished'};

/** One plain service. Throws `PlatformError`: `unavailable` is proven not sent, `unknown` may have run. */
export type PlainService = {
	forward(request: PlainRequest, signal: AbortSignal): AsyncIterable<PlainEvent>;
	/** Whether it answers its health check. */
	check(): Promise<boolean>;
};
