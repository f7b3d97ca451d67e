/**
 * The pools of an entry, one a service, in step with the endpoints in view.
 */
import type {EndpointTable} from './dispatcher-endpoints.js';
import {Pool} from './dispatcher-pool.js';

export class Pools {
	readonly #endpoints: EndpointTable;
	readonly #pools = new Map<string, Pool>();

	constructor(endpoints: EndpointTable) {
		this.#endpoints = endpoints;
	}

	/** The pool of a service, made when it is first asked for. */
	get(service: string): Pool {
		let pool = this.#pools.get(service);
		if (!pool) {
			pool = new Pool(this.#endpoints.countSlots(service));
			this.#pools.set(service, pool);
		}

		return pool;
	}

	/** The endpoints of a service, or their capacity, have changed. */
	resize(service: string): void {
		const pool = this.get(service);
		pool.resize(this.#endpoints.countSlots(service, endpoint => !pool.ejection.isEjected(endpoint)));
	}

	resizeAll(): void {
		for (const service of this.#pools.keys()) {
			this.resize(service);
		}
	}

	/** An endpoint is out of view for good. */
	forget(endpoint: string): void {
		for (const pool of this.#pools.values()) {
			pool.ejection.remove(endpoint);
		}

		this.resizeAll();
	}
}
