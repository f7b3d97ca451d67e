/**
 * Admits a call through the wait queue of its host: the call waits briefly for a slot or is refused early.
 *
 * Load pattern: a burst of calls reaches endpoints that queue a few requests and refuse the rest. Forwarded unchecked, the burst fills the endpoints' queues
 * with calls that will be late anyway and displaces other calls; endpoints that have refused are then paused although their slots become free. A call therefore
 * waits here for a fraction of its objective and is refused while it can still be served elsewhere. A score, which no other host would make, is sent anyway.
 */
import type {WorkKind} from '@wasabiusher/slots';
import type {Random, RegisteredEndpoint, Route} from '@wasabiusher/shared';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {EndpointQueue} from './endpoint-queue.js';
import {
	allowsService, chooseService, mayBegin, type RouteSource,
} from './run-permission.js';

/** Maximum wait of a call as a fraction of its objective: a call refused within a quarter of it can still be served elsewhere in time. */
const maxWaitRatio = 0.2;

/** Fraction of its objective after which a retried call is due, so that it precedes new calls. */
const returnDueRatio = 0.5;

/** Position of a request in the wait queue, for requests that don't wait as a caller's does. */
export type QueuePosition = {
	kind: WorkKind;
	urgency: number;
	turn: string;
	/** When the request is due, on the monotonic clock. */
	dueAt: number;
	rank?: number;
	/** Maximum wait for a slot in milliseconds. Afterwards any endpoint may serve the request; a caller's own request is refused instead. */
	maxWaitMs: number;
};

export type CallAdmissionSettings = {
	directory: EndpointDirectory;
	/** Wait queue for slots; undefined to send calls at once. */
	queue?: EndpointQueue;
	random: Random;
	/** Finds the route that the request has in the configuration in force; its first one if undefined. */
	findRoute?: RouteSource;
};

/** Properties of a call that its admission depends on. */
export type AdmissionRequest = {attemptId: string; method: string; path: string; customer?: string; deadlineAt: number; queuePosition?: QueuePosition};

export type AdmissionOutcome = {kind: 'granted'; endpoint: RegisteredEndpoint} | {kind: 'refused'; reason: string; retryAfterMs: number} | {kind: 'none'};

/** A place in the wait queue until a time on the monotonic clock. */
type WaitPosition = Omit<QueuePosition, 'maxWaitMs'> & {deadlineAt: number; isRefusable?: boolean};

/** Admits one call, at a service of the route in force. */
export class CallAdmission {
	readonly #settings: CallAdmissionSettings;
	readonly #route: Route;
	readonly #request: AdmissionRequest;
	#service: string;

	constructor(settings: CallAdmissionSettings, route: Route, request: AdmissionRequest) {
		this.#settings = settings;
		this.#route = route;
		this.#request = request;
		this.#service = chooseService(route, settings.random.next());
	}

	/** The service that the next attempt goes to. */
	get service(): string {
		return this.#service;
	}

	/** Waits for an endpoint for the first attempt. */
	async wait(signal: AbortSignal): Promise<AdmissionOutcome> {
		const {queue} = this.#settings;
		if (!queue) {
			return this.#acquireNow();
		}

		const {deadlineAt, queuePosition} = this.#request;
		const now = performance.now();
		const {maxWaitMs, ...position} = queuePosition ?? this.#findPosition(queue, now);
		const final = await this.#waitInQueue(queue, {...position, deadlineAt: Math.min(deadlineAt, now + maxWaitMs)}, signal);
		if (final.kind === 'refused') {
			queue.returns.record(this.#returnKey);
		}

		return final;
	}

	/** Acquires an endpoint for a further attempt without waiting; where calls queue, a caller's request needs one with headroom. */
	acquire(excluded: ReadonlySet<string>): RegisteredEndpoint | undefined {
		const {directory, queue} = this.#settings;
		if (!this.#followRoute()) {
			return undefined;
		}

		const withHeadroom = queue && directory.acquire({service: this.#service, excluded, needsHeadroom: true});
		return withHeadroom ?? (queue && !this.#request.queuePosition ? undefined : directory.acquire({service: this.#service, excluded}));
	}

	/** Records the service time of an attempt, in milliseconds. */
	recordWork(workMs: number): void {
		this.#settings.queue?.recordWork(this.#service, workMs);
	}

	async #waitInQueue(queue: EndpointQueue, position: WaitPosition, signal: AbortSignal): Promise<AdmissionOutcome> {
		while (this.#followRoute()) {
			// Waits again only if the route has left the service meanwhile.
			// eslint-disable-next-line no-await-in-loop
			const answer = await queue.wait({
				...position, id: this.#request.attemptId, need: {service: this.#service, needsHeadroom: true}, weight: 1, workMs: queue.findWorkMs(this.#service),
			}, signal);
			if (answer.kind === 'left') {
				return {kind: 'none'};
			}

			if (answer.kind !== 'granted') {
				return answer.kind === 'expired' ? this.#acquireOrRefuse() : answer;
			}

			if (mayBegin(this.#findRoute(), answer.endpoint)) {
				return answer;
			}

			this.#settings.directory.release(answer.endpoint.id);
		}

		return {kind: 'refused', reason: 'the route was removed', retryAfterMs: this.#settings.directory.planRetryAfterMs(this.#service)};
	}

	/** The route of the request; undefined once the configuration in force handles such requests in another way. */
	#findRoute(): Route | undefined {
		const {findRoute} = this.#settings;
		const route = findRoute ? findRoute() : this.#route;
		return route?.kind === this.#route.kind ? route : undefined;
	}

	/** Chooses the service again if the route has left it; false if the request has no route any more. */
	#followRoute(): boolean {
		const route = this.#findRoute();
		if (route && !allowsService(route, this.#service)) {
			this.#service = chooseService(route, this.#settings.random.next());
		}

		return route !== undefined;
	}

	/** Position of a caller's request. A retry of a refused request precedes new ones and is not refused at once again. */
	#findPosition(queue: EndpointQueue, now: number): QueuePosition & {isRefusable: boolean} {
		const {objectiveMs, priority, name} = this.#route;
		const isReturning = queue.returns.consume(this.#returnKey);
		return {
			kind: 'call', urgency: priority, turn: this.#request.customer ?? name, isRefusable: !isReturning, maxWaitMs: maxWaitRatio * objectiveMs,
			dueAt: now + ((isReturning ? returnDueRatio : 1) * objectiveMs),
		};
	}

	/** Identifies the request across retries of its caller. */
	get #returnKey(): string {
		const {customer, method, path} = this.#request;
		return [customer, method, path].join(' ');
	}

	#acquireNow(): AdmissionOutcome {
		const endpoint = this.acquire(new Set());
		return endpoint ? {kind: 'granted', endpoint} : {kind: 'none'};
	}

	/** Result for a call whose maximum wait has passed: an endpoint if one is eligible, otherwise a refusal for a caller's request. */
	#acquireOrRefuse(): AdmissionOutcome {
		const {directory} = this.#settings;
		const granted = this.#acquireNow();
		return granted.kind === 'granted' || this.#request.queuePosition
			? granted
			: {kind: 'refused', reason: 'no slot became free in time', retryAfterMs: directory.planRetryAfterMs(this.#service)};
	}
}
