/**
 * What counts as a customer's request that has begun to run: once for each request, from the moment at which the first endpoint that may have run it
 * was asked, unless all that were asked prove that they have not.
 */

/** A request that counts. */
export type RunMark = {
	/** Takes it back: it has not run. */
	undo(): void;
};

/** Counts requests of customers. */
export type RunMeter = {
	/** Counts a request that begins to run now. */
	begin(customer: string): RunMark;
};

/** The endpoints that may have begun to run one request. */
export class BegunRuns {
	readonly #endpoints = new Set<string>();
	readonly #customer: string | undefined;
	readonly #meter: RunMeter | undefined;
	#mark: RunMark | undefined;

	/** @param customer - whose request it is; one of nobody's does not count */
	constructor(customer: string | undefined, meter: RunMeter | undefined) {
		this.#customer = customer;
		this.#meter = meter;
	}

	get size(): number {
		return this.#endpoints.size;
	}

	/** Notes that an endpoint is asked now. */
	add(endpoint: string): void {
		if (this.#endpoints.size === 0 && this.#customer !== undefined) {
			this.#mark = this.#meter?.begin(this.#customer);
		}

		this.#endpoints.add(endpoint);
	}

	/** Notes that an endpoint was proven not to have run it. */
	delete(endpoint: string): void {
		this.#endpoints.delete(endpoint);
		if (this.#endpoints.size === 0) {
			this.#mark?.undo();
			this.#mark = undefined;
		}
	}
}
