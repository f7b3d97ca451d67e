/**
 * Interfaces to endpoints: model engines and plain services.
 */
import type {FinishReason, GenerationPart, GenerationRequest} from '@wasabiusher/shared';

/** An event of an engine's stream; without `finished` the generation is incomplete. */
export type GenerationEvent
	= | {kind: 'part'; part: GenerationPart}
		| {kind: 'finished'; reason: FinishReason};

/** A model that an engine has loaded, with the active version of its weights. */
export type LoadedModel = {model: string; version: number};

/** The state of an engine by its own report, which may be outdated. */
export type EngineReport = {
	models: LoadedModel[];
	role: string;
	running: number;
	waiting: number;
	/** Maximum number of requests in a batch. */
	slots: number;
	/** Recent throughput, in tokens per second. */
	tokensPerSecond: number;
	/** Fraction of cache memory in use. */
	cacheUse: number;
	/** New at each start of the engine; a change means that the engine crashed or was replaced. */
	startId: string;
};

/** An order to an engine. Orders are idempotent: they name the desired state. */
export type EngineOrder
	= | {kind: 'load'; model: string; version: number}
		// Fetches weights without activating them, so that the later load is short.
		| {kind: 'prefetch'; model: string; version: number}
		| {kind: 'unload'; model: string}
		| {kind: 'role'; role: string};

export type CacheEvent = {sequence: number; kind: 'stored' | 'evicted'; prefix: string};

export type GenerationOptions = {
	/** Id of the run, for `cancel`. */
	requestId: string;
	/** 0 is the least urgent. */
	priority: number;
	signal: AbortSignal;
};

/** A model engine. Throws `PlatformError`: `refused` if the request certainly did not run, `unavailable` if it was not sent, `unknown` if it may have run. */
export type Engine = {
	generate(request: GenerationRequest, options: GenerationOptions): AsyncIterable<GenerationEvent>;
	/** Resolves once the engine confirms that the run has stopped, to whether it was running. */
	cancel(requestId: string): Promise<boolean>;
	report(): Promise<EngineReport>;
	/** Resolves once the desired state is reached; throws `fenced` if the engine rejects the fence. */
	order(order: EngineOrder, fence: number): Promise<void>;
	/** Lists the cache events after a sequence number; a gap in the numbers means that events were lost. */
	listCacheEvents(after: number): Promise<CacheEvent[]>;
	/** Exports the attention cache (KV cache) of a run, so that it can be continued at another engine. */
	exportCache(requestId: string): Promise<Uint8Array>;
	importCache(requestId: string, content: Uint8Array): Promise<void>;
};

/** A request to a plain service, unmodified. */
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

/** A plain service. Throws `PlatformError`: `unavailable` if the request was not sent, `unknown` if it may have run. */
export type PlainService = {
	forward(request: PlainRequest, signal: AbortSignal): AsyncIterable<PlainEvent>;
	/** Resolves to whether the service is up. */
	check(): Promise<boolean>;
};
