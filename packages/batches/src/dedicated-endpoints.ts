/**
 * Dedicates endpoints to each share of a batch, so that the hosts that share the batch do not compete for the same slots.
 */
import {divideEndpoints, splitBySpeed} from '@wasabiusher/decisions';
import type {EndpointDirectory} from '@wasabiusher/direct';
import type {BatchRecord} from './batch.js';

/** Time after which endpoints are divided again, in milliseconds; they are added, removed and loaded with other models within seconds. */
const divisionLifetimeMs = 500;

export type DedicatedEndpointsSettings = {
	directory: EndpointDirectory;
	/** Returns the services that may run the batch. */
	listServices(): ReadonlySet<string>;
	/** Returns the newest published version of a model; undefined if there is none. */
	findPublishedVersion(model: string): number | undefined;
	/** Returns the batch's row as last known. */
	findRecord(): BatchRecord;
};

/** Determines the endpoints that are dedicated to one share. */
export class DedicatedEndpoints {
	readonly #settings: DedicatedEndpointsSettings;
	readonly #share: number;
	#endpoints: ReadonlySet<string> | undefined;
	#dividedAt = Number.NEGATIVE_INFINITY;

	constructor(settings: DedicatedEndpointsSettings, share: number) {
		this.#settings = settings;
		this.#share = share;
	}

	/** Returns the ids of the share's endpoints; undefined if it may use all of them equally. */
	find(): ReadonlySet<string> | undefined {
		const now = performance.now();
		if (now - this.#dividedAt >= divisionLifetimeMs) {
			this.#dividedAt = now;
			const endpoints = this.#divide();
			// Returns the same object while the ids are unchanged, so that its waiters form one eligibility class.
			this.#endpoints = endpoints && this.#endpoints && isSame(endpoints, this.#endpoints) ? this.#endpoints : endpoints;
		}

		return this.#endpoints;
	}

	#divide(): ReadonlySet<string> | undefined {
		const {directory, listServices, findPublishedVersion, findRecord} = this.#settings;
		const {shares, model} = findRecord();
		if (shares.length === 1) {
			return undefined;
		}

		const services = listServices();
		// A batch still accepts the previous version; an endpoint with an older one is loading another model.
		const minWeightVersion = (findPublishedVersion(model) ?? 1) - 1;
		// Uses the registered versions, which are the same on all hosts. Versions in observed answers differ between hosts, and made three hosts fill one endpoint.
		const candidates = directory.list().filter(({service, isDraining, models}) => services.has(service) && !isDraining
			&& (model === '' || models.some(loaded => loaded.model === model && loaded.version >= minWeightVersion)));
		// All hosts receive persistent speeds. A host that does not know them yet may use endpoints of another share, as far as these report free capacity.
		const {fast} = splitBySpeed(candidates.map(({id}) => ({id, versions: new Map(), paceMs: directory.findPersistentMs(id)})));
		const fastIds = new Set(fast.map(({id}) => id));
		const ids = divideEndpoints(candidates.map(({id, dataCentre}) => ({id, dataCentre, isFast: fastIds.has(id)})), shares.map(({dataCentre}) => dataCentre))[this.#share] ?? [];
		return ids.length === 0 ? undefined : new Set(ids);
	}
}

function isSame(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
	return a.size === b.size && [...a].every(id => b.has(id));
}
