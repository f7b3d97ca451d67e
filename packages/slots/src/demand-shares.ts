/**
 * Tracks the recent share of all requested work by customer, trainer or urgency class.
 *
 * Load pattern: one customer, or one class, requests half of all work. Service must follow demand, so that nobody is served at a much lower rate
 * than the average; a burst of a minute ago must not influence this.
 */

/** Requests after which recorded work is halved: some seconds on a busy host, and enough that single requests don't dominate. */
const halvingIntervalRequests = 500;

/** Recorded work below which a name is dropped. */
const minWork = 0.01;

/** Requested work by name; older work counts less. */
export class DemandShares {
	readonly #work = new Map<string, number>();
	#total = 0;
	#count = 0;

	record(name: string, work: number): void {
		this.#work.set(name, (this.#work.get(name) ?? 0) + work);
		this.#total += work;
		this.#count += 1;
		if (this.#count >= halvingIntervalRequests) {
			this.#halve();
		}
	}

	/** Returns the share of all work, from 0 to 1. */
	read(name: string): number {
		return this.#total > 0 ? (this.#work.get(name) ?? 0) / this.#total : 0;
	}

	#halve(): void {
		this.#count = 0;
		this.#total = 0;
		for (const [name, work] of this.#work) {
			if (work < minWork) {
				this.#work.delete(name);
			} else {
				this.#work.set(name, work / 2);
				this.#total += work / 2;
			}
		}
	}
}
