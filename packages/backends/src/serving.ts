/**
 * Interface to endpoints that are called directly, without an agent.
 *
 * The endpoint itself enforces its capacity, verifies that it is the addressed one, and labels its results with the version of its weights.
 */
import type {HeldModel} from '@wasabiusher/shared';

/** The addressed endpoint: a server at an address, identified by the id of its start. */
export type EndpointTarget = {id: string; address: string};

/** Content of a request; a large one is not joined, so that it is held only once. */
export type RequestContent = Uint8Array | readonly Uint8Array[];

/** A request for an endpoint. */
export type ServingRequest = {
	method: string;
	/** Path and query, as the caller sent them. */
	path: string;
	/** Host name of the route. */
	host: string;
	/** Headers of the caller that are forwarded to the endpoint; names in lower case. */
	headers: Record<string, string>;
	body: RequestContent;
	/** Customer that is reported to the endpoint; undefined if the request belongs to none. */
	customer?: string;
	/** Id of this attempt; the endpoint returns it with its answer. */
	attemptId: string;
	/** Time left until the deadline of the caller, in milliseconds; the endpoint stops the request then. */
	remainingMs: number;
	/** Id of the event after which the run is resumed; undefined starts a new run. */
	resumeAfter?: number;
	/** Lower values are served first; 0 is the most urgent. */
	urgency?: number;
	/** The endpoint refuses the request unless its weights have this version. */
	expectVersion?: number;
	/** Whether it is sent on a connection that was opened for it, since those open before may be dead. */
	usesNewConnection?: boolean;
	/** Time without a byte before which the endpoint must not be given up, in milliseconds; the client's own limit applies if it is longer. */
	silenceMs?: number;
};

/** The load of an endpoint, as reported with an answer. */
export type EndpointLoad = {
	running: number;
	waiting: number;
	slots: number;
	/** Factor by which work currently takes longer than usual on its machine; undefined if it is not reported. */
	slowness?: number;
};

/** The head of an endpoint's answer: status, headers and the values read from them. */
export type ServingHead = {
	status: number;
	/** End-to-end headers; names in lower case. */
	headers: Record<string, string>;
	/** Whether the endpoint states that it has not run and will not run the request. */
	isNotRun: boolean;
	/** Stamp by which the endpoint marks its answers; a success without a stamp does not come from the endpoint. */
	stamp: string | undefined;
	load: EndpointLoad | undefined;
	/** Version of the weights at the start of the answer. */
	weightVersion: number | undefined;
	/**
	 * Whether the answer is framed by a length or chunks. Without framing it ends when the connection closes, which can't be distinguished from
	 * a truncated answer, so such an answer must not be treated as complete.
	 */
	isFramed: boolean;
	/** Whether the endpoint has announced that it is shutting down or will close the connection. */
	isClosing: boolean;
};

/** A complete answer of an endpoint. */
export type ServingAnswer = ServingHead & {body: Uint8Array};

/** An answer with a streamed body. */
export type ServingStream = ServingHead & {
	/** Ends only if the answer is complete; throws `PlatformError` (`unknown`) if it is truncated. */
	body: AsyncIterable<Uint8Array>;
};

/** One event of a run. */
export type RunEvent = {
	/** Increases by one with each event; the first event of a new run has id 1. */
	id: number;
	data: string;
	/** Version of the weights that generated it. */
	version: number;
};

/** A run with streamed events. */
export type ServingRun = ServingHead & {
	/** Ends only if the run is complete; throws `PlatformError` if it is truncated or an event is malformed. */
	events: AsyncIterable<RunEvent>;
};

/** The state that an endpoint reports on request. */
export type ServingReport = {
	models: HeldModel[];
	/** Whether the endpoint is carrying out an order. */
	isBusy: boolean;
	orderCount: number;
	/** Start time of the endpoint as in its registration, in milliseconds since the epoch; undefined if it is not reported. */
	bornMs?: number;
};

/** What happens to active runs when weights are loaded. */
export type LoadMode = 'finish-first' | 'cut' | 'continue';

/** An order to load weights. */
export type WeightOrder = {
	model: string;
	version: number;
	mode: LoadMode;
	/** Number of orders that the endpoint must have accepted before; it refuses the order otherwise. */
	expectedOrders: number;
	holder: string;
	fence: number;
};

/**
 * - `accepted`: the order is being carried out
 * - `holds`: the version is already loaded
 * - `changed`: another order is in progress, or the number of orders differs from the expected one
 * - `fenced`: an order with a higher fence was received before
 * - `misdirected`: another server has the address
 * - `unknown-version`: the order can't be carried out, for example because the version is not published
 */
export type OrderOutcome = 'accepted' | 'holds' | 'changed' | 'fenced' | 'misdirected' | 'unknown-version';

/**
 * Client of endpoints.
 *
 * Each call may throw `PlatformError`: `unavailable` if nothing was sent, `unknown` if the request may have run, `refused` if the endpoint
 * confirms that it did not run.
 */
export type ServingClient = {
	/** Sends a request and reads the complete answer. */
	call(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingAnswer>;
	/** Sends a request and streams the answer. */
	open(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingStream>;
	/** Starts or resumes a run. */
	run(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingRun>;
	report(target: EndpointTarget): Promise<ServingReport>;
	order(target: EndpointTarget, order: WeightOrder): Promise<OrderOutcome>;
	/** Resolves if the endpoint answers at its address, whatever its answer is; throws `unavailable` if it can't be connected to, or another one answers there. */
	check(target: EndpointTarget): Promise<void>;
};
