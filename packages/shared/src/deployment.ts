/**
 * What an accepted configuration puts in force: routes to services, limits of callers, and endpoints that serve.
 */

/** What may be repeated of the requests of a route. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream' | 'batch';

/** A service among which requests of a route are divided. */
export type RouteTarget = {
	service: string;
	/** Share of the requests, relative to the other targets. */
	weight: number;
};

/** One rule of the configuration: which requests go where, and what may be done with them. */
export type Route = {
	name: string;
	/** Host name that callers use. */
	host: string;
	/** Begins the path of each request; begins and ends with a slash. */
	prefix: string;
	kind: RouteKind;
	/** Whether a stream may go on at another endpoint. */
	isResumable: boolean;
	/** Longest time that a caller is kept waiting, in milliseconds. */
	timeoutMs: number;
	/** Time within which an answer is worth all of its credit, in milliseconds. */
	objectiveMs: number;
	/** 0 is the most urgent. */
	priority: number;
	targets: RouteTarget[];
	/** Most endpoints that one attempt of a caller may be sent to. */
	maxAttempts: number;
	/** Time from a batch's submission after which its samples may be given up, in milliseconds. */
	sampleTtlMs: number;
	/** Time from a batch's submission within which all of its results are due, in milliseconds; undefined if the configuration does not tell. */
	dueMs?: number;
	/** Whether all of a sample's text must come from one version of the weights. */
	isSingleVersion: boolean;
	/** Whether requests need no key. */
	isOpen: boolean;
};

/** Who hands requests in, and the keys that prove it. */
export type Customer = {
	name: string;
	/** 0 is the most urgent; goes before the priority of a route, which holds if it is undefined. */
	priority?: number;
	keys: readonly string[];
};

/** A service as the configuration names it. */
export type ServiceRule = {
	name: string;
	healthPath: string;
	/** Most connections that one endpoint accepts from all callers together. */
	maxConnections: number;
	/** Models that its endpoints hold; empty for a plain service. */
	models: string[];
};

/** What callers may send. */
export type CallerLimits = {
	headerBytes: number;
	bodyBytes: number;
	/** Longest time for the headers of a request, in milliseconds. */
	headerTimeoutMs: number;
	/** Longest time that a connection may be idle, in milliseconds. */
	idleTimeoutMs: number;
};

/** A configuration as operators have put it in force. */
export type Deployment = {
	/** Counts up with each change; never goes back. */
	version: number;
	routes: Route[];
	services: ServiceRule[];
	limits: CallerLimits;
	/** By name; undefined if requests need no key. */
	customers?: ReadonlyMap<string, Customer>;
};

/** Weights of a model as an endpoint has loaded them. */
export type HeldModel = {model: string; version: number};

/** An endpoint as it has registered itself. */
export type RegisteredEndpoint = {
	/** Set anew at each start. */
	id: string;
	service: string;
	/** `ip:port`. */
	address: string;
	dataCentre: string;
	/** Requests served at once. */
	slots: number;
	isDraining: boolean;
	models: HeldModel[];
	/** Orders accepted since its start. */
	orderCount: number;
	/** Time for which it stays slow after its start, in milliseconds. */
	coldMs: number;
	/** When it started, in milliseconds since 1970 by its own clock; differs for each start under one id. Undefined if it does not tell. */
	bornMs?: number;
};

/** A version of weights that a trainer has published. */
export type PublishedVersion = {model: string; version: number};

/**
 * Finds the route of a request: of the host's routes the one with the longest prefix of the path.
 *
 * @returns undefined if no route fits
 */
export function findRoute(deployment: Deployment, host: string, path: string): Route | undefined {
	let best: Route | undefined;
	for (const route of deployment.routes) {
		if (route.host === host && path.startsWith(route.prefix) && route.prefix.length > (best?.prefix.length ?? -1)) {
			best = route;
		}
	}

	return best;
}

/** A route as it holds for a customer, whose own priority goes first. */
export function applyCustomer(route: Route, customer: Customer | undefined): Route {
	return customer?.priority === undefined ? route : {...route, priority: customer.priority};
}
