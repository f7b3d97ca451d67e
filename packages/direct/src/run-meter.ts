/**
 * Counts customers' requests that have begun to run. A request counts once, from its first attempt that may have run, unless all its attempts are proven not
 * to have run.
 */

/** A counted request. */
export type CountedRun = {
	/** Reverts the count, since the request has not run. */
	undo(): void;
};

/** Counts requests of customers. */
export type RunMeter = {
	/** Counts a request that begins to run now; `undo` of the result reverts it. */
	begin(customer: string): CountedRun;
};

/** The endpoints that may have begun to run one request. */
export class BegunRuns {
	readonly #endpoints = new Set<string>();
	readonly #customer: string | undefined;
	readonly #meter: RunMeter | undefined;
	#countedRun: CountedRun | undefined;

	/** @param customer - owner of the request; a request without one isn't counted */
	constructor(customer: string | undefined, meter: RunMeter | undefined) {
		this.#customer = customer;
		this.#meter = meter;
	}

	get size(): number {
		return this.#endpoints.size;
	}

	/** Records an attempt at an endpoint. */
	add(endpoint: string): void {
		if (this.#endpoints.size === 0 && this.#customer !== undefined) {
			this.#countedRun = this.#meter?.begin(this.#customer);
		}

		this.#endpoints.add(endpoint);
	}

	/** Records that an endpoint is proven not to have run the request. */
	delete(endpoint: string): void {
		this.#endpoints.delete(endpoint);
		if (this.#endpoints.size === 0) {
			this.#countedRun?.undo();
			this.#countedRun = undefined;
		}
	}
}
