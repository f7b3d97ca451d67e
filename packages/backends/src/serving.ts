/**
 * Interface to an endpoint that is called without an agent beside it.
 *
 * The endpoint itself guards its capacity, checks that it is the one that was meant, and labels
 * what it makes with the version of its weights.
 */
import type {HeldModel} from '@wasabiusher/shared';

/** Which endpoint is meant: one start of a server at an address. */
export type EndpointTarget = {id: string; address: string};

/** A request for an endpoint. */
export type ServingRequest = {
	method: string;
	/** Path and query, as the caller sent them. */
	path: string;
	/** Host name of the route. */
	host: string;
	/** Headers of the caller that concern the endpoint, names in lower case. */
	headers: Record<string, string>;
	body: Uint8Array;
	/** Whose request it is, as the endpoint is told; undefined if nobody's. */
	customer?: string;
	/** Names this attempt of the caller; the endpoint's answer carries it. */
	attemptId: string;
	/** Time that the caller still waits, in milliseconds; the endpoint stops then. */
	remainingMs: number;
	/** Go on after this event; undefined begins anew. */
	resumeAfter?: number;
	/** 0 is served first. */
	urgency?: number;
	/** Refuse unless the weights have this version. */
	expectVersion?: number;
};

/** Work at an endpoint, as it told with an answer. */
export type EndpointLoad = {
	running: number;
	waiting: number;
	slots: number;
	/** Factor by which work takes longer on its machine at this moment; 1 as usual, undefined if it does not tell. */
	slowness?: number;
};

/** Beginning of an endpoint's answer. */
export type ServingHead = {
	status: number;
	/** End-to-end headers, names in lower case. */
	headers: Record<string, string>;
	/** Whether the endpoint says that it did not and will not run the request. */
	isNotRun: boolean;
	/** The endpoint's mark on its answer; a success without it is not the endpoint's. */
	stamp: string | undefined;
	load: EndpointLoad | undefined;
	/** Version of the weights at the start of the answer. */
	weightVersion: number | undefined;
	/**
	 * Whether the answer tells where it ends. One without a length ends with its connection, and a server that broke off
	 * looks the same; such an answer must not be handed on as a whole one.
	 */
	isFramed: boolean;
	/** Whether the endpoint announced that it is leaving or closes the connection. */
	isClosing: boolean;
};

/** A whole answer of an endpoint. */
export type ServingAnswer = ServingHead & {body: Uint8Array};

/** An answer whose body still comes. */
export type ServingStream = ServingHead & {
	/** Ends only when the answer is whole; throws `PlatformError` `unknown` if it breaks off. */
	body: AsyncIterable<Uint8Array>;
};

/** One event of a run. */
export type RunEvent = {
	/** Counts up by one; the first of a run that was not resumed is 1. */
	id: number;
	data: string;
	/** Version of the weights that made it. */
	version: number;
};

/** A run whose events still come. */
export type ServingRun = ServingHead & {
	/** Ends only when the run is whole; throws `PlatformError` if it breaks off or an event is malformed. */
	events: AsyncIterable<RunEvent>;
};

/** What an endpoint tells of itself on demand. */
export type ServingReport = {
	models: HeldModel[];
	/** Whether an order is being carried out. */
	isBusy: boolean;
	orderCount: number;
	/** Start of the endpoint, as in its registration; undefined if it does not tell. */
	bornMs?: number;
};

/** How runs under way are treated while weights are changed. */
export type LoadMode = 'finish-first' | 'cut' | 'continue';

/** An order to load weights. */
export type WeightOrder = {
	model: string;
	version: number;
	mode: LoadMode;
	/** Orders that the endpoint must have accepted before; it refuses otherwise. */
	expectedOrders: number;
	holder: string;
	fence: number;
};

/**
 * - `accepted`: being carried out
 * - `holds`: that version is loaded already
 * - `changed`: another order is under way, or the number of orders differs
 * - `fenced`: an order with a higher fence has come before
 * - `misdirected`: another server has the address
 * - `unknown-version`: the order does not exist, for one since the version is not published
 */
export type OrderOutcome = 'accepted' | 'holds' | 'changed' | 'fenced' | 'misdirected' | 'unknown-version';

/**
 * Calls to endpoints.
 *
 * Each may throw `PlatformError`: `unavailable` if nothing was sent, `unknown` if it may have run,
 * `refused` if the endpoint proves that it did not run.
 */
export type ServingClient = {
	/** Calls and reads the whole answer. */
	call(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingAnswer>;
	/** Calls and hands on the answer as it comes. */
	open(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingStream>;
	/** Starts or resumes a run. */
	run(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingRun>;
	report(target: EndpointTarget): Promise<ServingReport>;
	order(target: EndpointTarget, order: WeightOrder): Promise<OrderOutcome>;
};
