/**
 * Finds an endpoint for the next run of a sample, through the wait queue of the host or by polling.
 */
import type {RegisteredEndpoint, Route} from '@wasabiusher/shared';
import type {EndpointRequirement} from './endpoint-requirement.js';
import type {EndpointQueue, QueueRequirement} from './endpoint-queue.js';
import {chooseService} from './run-permission.js';
import type {SampleRequest, SampleRunSettings} from './sample-run.js';

/** Maximum number of open requests of this process at an endpoint, as a multiple of its slots: further ones wait here, where they can still go to another endpoint. */
const openLimit = 1;

/** Time after which a queued sample reads its route and dedicated endpoints again, in milliseconds. */
const recheckMs = 1000;

/**
 * Time for which a text waits for an endpoint with its version while another one has room, in milliseconds; then it is generated from the start. An accepted
 * sample must not be without an endpoint for five seconds.
 */
const maxPinnedMs = 3000;

/** Maximum wait before endpoints are polled again if none has changed, in milliseconds. */
const pollMs = 100;

/**
 * Urgency of runs that nothing waits for, and the lowest urgency of other runs: endpoints have ten classes. Without a class all runs are equal there, so
 * that at an endpoint filled by two trainers the runs of the route with the higher priority would wait behind the others.
 */
const backgroundUrgency = 9;
const maxForegroundUrgency = 8;

/** Estimates the remaining work of a sample and the time until it is due. */
export type RemainingEstimate = () => Pick<EndpointRequirement, 'units' | 'dueInMs'>;

/** Result of a search. */
export type SearchResult = {
	/** Requirements that the endpoint was chosen by. */
	requirement: EndpointRequirement;
	/** The endpoint, at which the run already counts as open; undefined if none is eligible yet. */
	endpoint: RegisteredEndpoint | undefined;
	/** Whether no endpoint with the version that the text must continue with can be used. */
	isVersionLost: boolean;
};

/** Urgency class of a sample's runs; 0 is served first. */
export function findUrgency({avoidsFull}: SampleRequest, {priority}: Route): number {
	return avoidsFull ? backgroundUrgency : Math.min(maxForegroundUrgency, priority);
}

/** Searches endpoints for one sample. */
export class SampleSearch {
	readonly #settings: SampleRunSettings;
	readonly #sample: SampleRequest;
	readonly #signal: AbortSignal;
	#isWaiting = false;
	#requirement: EndpointRequirement | undefined;
	/** When it began to wait for an endpoint with its version, on the monotonic clock; undefined while it does not. */
	#pinnedSince: number | undefined;

	constructor(settings: SampleRunSettings, sample: SampleRequest, signal: AbortSignal) {
		this.#settings = settings;
		this.#sample = sample;
		this.#signal = signal;
	}

	/** Whether the sample waits for an endpoint. */
	get isWaiting(): boolean {
		return this.#isWaiting;
	}

	/** Requirements of the last search; undefined before the first. */
	get requirement(): EndpointRequirement | undefined {
		return this.#requirement;
	}

	/**
	 * Acquires an endpoint; waits a limited time if none is eligible.
	 *
	 * @param begunVersion - version that generated the text so far; undefined if there is none
	 * @param avoided - endpoint that is used only if no other is eligible
	 * @param estimateRemaining - estimates the remaining work
	 */
	async find(route: Route, begunVersion: number | undefined, avoided: string | undefined, estimateRemaining: RemainingEstimate): Promise<SearchResult> {
		const requirement = {...this.#toRequirement(route, begunVersion), ...estimateRemaining()};
		this.#requirement = requirement;
		const {queue} = this.#settings;
		const acquired = queue ? undefined : this.#acquire(requirement, avoided);
		if (acquired) {
			this.#pinnedSince = undefined;
			return {requirement, endpoint: acquired, isVersionLost: false};
		}

		this.#pinnedSince = requirement.exactVersion && (this.#pinnedSince ?? performance.now());
		const isLostNow = this.#isVersionLost(requirement);
		if (queue && isLostNow) {
			return {requirement, endpoint: undefined, isVersionLost: true};
		}

		// Without a queue, the caller also discards the text, but only after this wait.
		this.#isWaiting = true;
		const queueRequirement: QueueRequirement = {
			...requirement,
			avoided,
			// Evaluated when a slot is free, which may be a second later.
			get dueInMs() {
				return estimateRemaining().dueInMs;
			},
		};
		const endpoint = await (queue ? this.#waitInQueue(queue, route, queueRequirement) : this.#waitForChange());
		this.#isWaiting = false;
		this.#pinnedSince = endpoint ? undefined : this.#pinnedSince;
		return {requirement, endpoint, isVersionLost: isLostNow || (!endpoint && this.#isVersionLost(requirement))};
	}

	#toRequirement(route: Route, begunVersion: number | undefined): EndpointRequirement {
		const {chance, findDedicated} = this.#settings;
		const {model, minWeightVersion: oldestVersion, isSingleVersion, group, avoidsFull} = this.#sample;
		return {
			service: chooseService(route, chance()),
			oldestVersion: model === undefined ? undefined : {model, version: oldestVersion},
			exactVersion: isSingleVersion && begunVersion !== undefined && model !== undefined ? {model, version: begunVersion} : undefined,
			warmKey: group,
			openLimit,
			avoidsFull,
			dedicated: findDedicated?.(),
			waiter: {id: this.#sample.id, urgency: findUrgency(this.#sample, route)},
		};
	}

	#acquire(requirement: EndpointRequirement, avoided: string | undefined): RegisteredEndpoint | undefined {
		const {directory} = this.#settings;
		const elsewhere = avoided === undefined ? undefined : directory.acquire({...requirement, excluded: new Set([avoided])});
		return elsewhere ?? directory.acquire(requirement);
	}

	#isVersionLost(requirement: EndpointRequirement): boolean {
		const {directory} = this.#settings;
		const {service, exactVersion} = requirement;
		const registered = exactVersion === undefined ? [] : directory.list(service).filter(({isDraining}) => !isDraining);
		// While no endpoint is registered, as during an outage of the store, versions are unknown.
		if (exactVersion === undefined || registered.length === 0) {
			return false;
		}

		const isHeld = registered.some(({id}) => directory.findVersion(id, exactVersion.model) === exactVersion.version);
		const pinnedMs = performance.now() - (this.#pinnedSince ?? Number.POSITIVE_INFINITY);
		return !isHeld || (pinnedMs >= maxPinnedMs && directory.hasEligible({...requirement, exactVersion: undefined}));
	}

	async #waitInQueue(queue: EndpointQueue, route: Route, requirement: QueueRequirement): Promise<RegisteredEndpoint | undefined> {
		const {
			id, model = '', deadlineAt, queuePosition = {turn: model, dueAt: deadlineAt, rank: 0},
		} = this.#sample;
		const answer = await queue.wait({
			id, kind: 'text', need: requirement, urgency: findUrgency(this.#sample, route), weight: 1, workMs: 0, ...queuePosition,
			deadlineAt: Math.min(deadlineAt, performance.now() + recheckMs),
		}, this.#signal);
		return answer.kind === 'granted' ? answer.endpoint : undefined;
	}

	async #waitForChange(): Promise<undefined> {
		return new Promise(resolve => {
			const finish = () => {
				clearTimeout(timer);
				unsubscribe();
				this.#signal.removeEventListener('abort', finish);
				resolve(undefined);
			};

			const timer = setTimeout(finish, pollMs);
			const unsubscribe = this.#settings.directory.onChange(finish);
			this.#signal.addEventListener('abort', finish);
		});
	}
}
