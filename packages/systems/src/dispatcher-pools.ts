/**
 * Holds the pools of an entry, one per service, and sizes them to the known endpoints.
 */
import type {EndpointTable} from './dispatcher-endpoints.js';
import {Pool} from './dispatcher-pool.js';

export class Pools {
	readonly #endpoints: EndpointTable;
	readonly #pools = new Map<string, Pool>();

	constructor(endpoints: EndpointTable) {
		this.#endpoints = endpoints;
	}

	/** Returns the pool of a service. Creates it on first use. */
	get(service: string): Pool {
		let pool = this.#pools.get(service);
		if (!pool) {
			pool = new Pool(this.#endpoints.countSlots(service));
			this.#pools.set(service, pool);
		}

		return pool;
	}

	/** Adjusts a pool after its endpoints or their capacity have changed. */
	resize(service: string): void {
		const pool = this.get(service);
		pool.resize(this.#endpoints.countSlots(service, endpoint => !pool.ejection.isEjected(endpoint)));
	}

	resizeAll(): void {
		for (const service of this.#pools.keys()) {
			this.resize(service);
		}
	}

	/** Removes an endpoint that will not return. */
	removeEndpoint(endpoint: string): void {
		for (const pool of this.#pools.values()) {
			pool.ejection.remove(endpoint);
		}

		this.resizeAll();
	}
}
