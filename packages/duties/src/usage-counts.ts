/**
 * Counts the requests that this host starts, by window and customer.
 *
 * A request is counted when it is sent, so that a killed host loses only the counts that it has not written yet; a request that
 * has provably not run is subtracted again.
 */

/** Number of windows that are kept; older ones are closed. */
const retainedWindows = 12;

/** A request that was counted. */
export type CountedRequest = {
	/** Subtracts the request again, since it has not run. */
	undo(): void;
};

/** Counts of this host. */
export class UsageCounts {
	readonly #windowMs: number;
	readonly #readReferenceMs: () => number;
	readonly #windows = new Map<number, Map<string, number>>();
	readonly #dirty = new Set<number>();
	readonly #onChange: () => void;

	/** @param onChange - called when there are counts to write */
	constructor(windowMs: number, readReferenceMs: () => number, onChange: () => void) {
		this.#windowMs = windowMs;
		this.#readReferenceMs = readReferenceMs;
		this.#onChange = onChange;
	}

	/** Counts a request that is being sent. */
	begin(customer: string): CountedRequest {
		const window = Math.floor(this.#readReferenceMs() / this.#windowMs);
		this.#add(window, customer, 1);
		let isCounted = true;
		return {
			undo: () => {
				if (isCounted) {
					isCounted = false;
					this.#add(window, customer, -1);
				}
			},
		};
	}

	/** Returns the counts of a window by customer; empty without requests. */
	read(window: number): ReadonlyMap<string, number> {
		return this.#windows.get(window) ?? new Map();
	}

	/** Returns the windows whose counts have changed since `markWritten`, in ascending order. */
	listDirty(): number[] {
		return [...this.#dirty].toSorted((a, b) => a - b);
	}

	/** Marks the current counts of a window as written; to be called before they are. */
	markWritten(window: number): void {
		this.#dirty.delete(window);
	}

	/** Marks a window as unwritten after a failed write. */
	markUnwritten(window: number): void {
		this.#dirty.add(window);
	}

	#add(window: number, customer: string, change: number): void {
		const counts = this.#windows.get(window) ?? new Map<string, number>();
		this.#windows.set(window, counts);
		const count = (counts.get(customer) ?? 0) + change;
		if (count > 0) {
			counts.set(customer, count);
		} else {
			counts.delete(customer);
		}

		this.#dirty.add(window);
		this.#dropBefore(window - retainedWindows);
		this.#onChange();
	}

	#dropBefore(oldest: number): void {
		for (const window of this.#windows.keys()) {
			if (window < oldest) {
				this.#windows.delete(window);
				this.#dirty.delete(window);
			}
		}
	}
}
