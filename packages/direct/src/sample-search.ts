/**
 * Finds an endpoint for the next run of a sample: in the line of the host, or by itself.
 */
import type {RegisteredEndpoint, Route} from '@wasabiusher/shared';
import {chooseService} from './call.js';
import type {EndpointRequirement} from './endpoint-requirement.js';
import type {EndpointLine, QueueRequirement} from './endpoint-queue.js';
import type {SampleRequest, SampleRunSettings} from './sample-run.js';

/** Most requests of one process at an endpoint, as a multiple of its slots: what is beyond waits here, where it can still be sent elsewhere. */
const openLimit = 1;

/** Time after which one that waits in the line looks again at its route and its homes, in milliseconds. */
const recheckMs = 1000;

/** Longest wait until endpoints are looked at again though none has changed, in milliseconds. */
const pollMs = 100;

/**
 * Urgency of runs that nobody waits for, and the last one before it: endpoints take ten classes. Without a class all runs count alike there, so
 * that at an endpoint which two trainers fill the one whose route goes first waited behind the other.
 */
const backgroundUrgency = 9;
const maxForegroundUrgency = 8;

/** What is expected of a text from now on. */
export type RemainingEstimate = () => Pick<EndpointRequirement, 'units' | 'dueInMs'>;

/** What was found. */
export type SearchResult = {
	/** What was looked for. */
	requirement: EndpointRequirement;
	/** Counted as open there; undefined if there is none yet. */
	endpoint: RegisteredEndpoint | undefined;
	/** Whether no endpoint has the version any more that the text was begun with. */
	isVersionLost: boolean;
};

/** Class of a sample's runs; 0 goes first. */
export function findUrgency({avoidsFull}: SampleRequest, {priority}: Route): number {
	return avoidsFull ? backgroundUrgency : Math.min(maxForegroundUrgency, priority);
}

/** Looks for endpoints for one sample. */
export class SampleSearch {
	readonly #settings: SampleRunSettings;
	readonly #sample: SampleRequest;
	readonly #signal: AbortSignal;
	#isWaiting = false;

	constructor(settings: SampleRunSettings, sample: SampleRequest, signal: AbortSignal) {
		this.#settings = settings;
		this.#sample = sample;
		this.#signal = signal;
	}

	/** Whether it waits for an endpoint. */
	get isWaiting(): boolean {
		return this.#isWaiting;
	}

	/**
	 * Takes an endpoint; waits for one for a time if there is none.
	 *
	 * @param begunVersion - version of the text made so far
	 * @param avoided - endpoint that is asked only if no other fits
	 * @param estimateRemaining - what is expected of the text from now on
	 */
	async find(route: Route, begunVersion: number | undefined, avoided: string | undefined, estimateRemaining: RemainingEstimate): Promise<SearchResult> {
		const requirement = {...this.#toRequirement(route, begunVersion), ...estimateRemaining()};
		const {line} = this.#settings;
		const taken = line ? undefined : this.#acquire(requirement, avoided);
		if (taken) {
			return {requirement, endpoint: taken, isVersionLost: false};
		}

		const isLostNow = this.#isVersionLost(requirement);
		if (line && isLostNow) {
			return {requirement, endpoint: undefined, isVersionLost: true};
		}

		// Without a line the text begins anew at once as well, and waits after that.
		this.#isWaiting = true;
		const queueRequirement: QueueRequirement = {
			...requirement,
			avoided,
			// Read when a slot is free, which may be a second later.
			get dueInMs() {
				return estimateRemaining().dueInMs;
			},
		};
		const endpoint = await (line ? this.#waitInQueue(line, route, queueRequirement) : this.#waitForChange());
		this.#isWaiting = false;
		return {requirement, endpoint, isVersionLost: isLostNow || (!endpoint && this.#isVersionLost(requirement))};
	}

	#toRequirement(route: Route, begunVersion: number | undefined): EndpointRequirement {
		const {chance, findHomes} = this.#settings;
		const {model, leastVersion, isSingleVersion, group, avoidsFull} = this.#sample;
		return {
			service: chooseService(route, chance()),
			oldestVersion: model === undefined ? undefined : {model, version: leastVersion},
			exactVersion: isSingleVersion && begunVersion !== undefined && model !== undefined ? {model, version: begunVersion} : undefined,
			warmKey: group,
			openLimit,
			avoidsFull,
			dedicated: findHomes?.(),
			waiter: {id: this.#sample.id, urgency: findUrgency(this.#sample, route)},
		};
	}

	#acquire(requirement: EndpointRequirement, avoided: string | undefined): RegisteredEndpoint | undefined {
		const {directory} = this.#settings;
		const elsewhere = avoided === undefined ? undefined : directory.acquire({...requirement, excluded: new Set([avoided])});
		return elsewhere ?? directory.acquire(requirement);
	}

	#isVersionLost({service, exactVersion}: EndpointRequirement): boolean {
		const {directory} = this.#settings;
		const registered = exactVersion === undefined ? [] : directory.list(service);
		// While nobody is registered, as during an outage of the store, nothing is known of versions.
		return exactVersion !== undefined && registered.length > 0 && !registered.some(({id}) => directory.findVersion(id, exactVersion.model) === exactVersion.version);
	}

	async #waitInQueue(line: EndpointLine, route: Route, requirement: QueueRequirement): Promise<RegisteredEndpoint | undefined> {
		const {directory, findRoute} = this.#settings;
		const {
			id, model = '', deadlineAt, place = {turn: model, dueAt: deadlineAt, rank: 0},
		} = this.#sample;
		const answer = await line.wait({
			id, kind: 'text', need: requirement, urgency: findUrgency(this.#sample, route), weight: 1, workMs: 0, ...place,
			deadlineAt: Math.min(deadlineAt, performance.now() + recheckMs),
		}, this.#signal);
		if (answer.kind !== 'granted') {
			return undefined;
		}

		// The route may have changed meanwhile.
		const isAllowed = findRoute()?.targets.some(({service}) => service === requirement.service);
		if (!isAllowed) {
			directory.release(answer.endpoint.id);
		}

		return isAllowed ? answer.endpoint : undefined;
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
