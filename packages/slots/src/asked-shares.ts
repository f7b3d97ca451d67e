/**
 * Which part of all work each asks for of late.
 *
 * Load pattern: one customer, or one class, asks for half of all. Who is served must be told from who asks, so that nobody is served
 * much less often than all are; a burst of a minute ago says nothing of that.
 */

/** Requests after which what was asked counts for half: some seconds at a busy host, and enough that single requests don't decide. */
const halvedAfter = 500;

/** Parts below which one is forgotten. */
const leastWork = 0.01;

/** Work asked for, by name; what is older counts less. */
export class AskedShares {
	readonly #work = new Map<string, number>();
	#total = 0;
	#count = 0;

	record(name: string, work: number): void {
		this.#work.set(name, (this.#work.get(name) ?? 0) + work);
		this.#total += work;
		this.#count += 1;
		if (this.#count >= halvedAfter) {
			this.#halve();
		}
	}

	/** Part of all work, from 0 to 1. */
	read(name: string): number {
		return this.#total > 0 ? (this.#work.get(name) ?? 0) / this.#total : 0;
	}

	#halve(): void {
		this.#count = 0;
		this.#total = 0;
		for (const [name, work] of this.#work) {
			if (work < leastWork) {
				this.#work.delete(name);
			} else {
				this.#work.set(name, work / 2);
				this.#total += work / 2;
			}
		}
	}
}
