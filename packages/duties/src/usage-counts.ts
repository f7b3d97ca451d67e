/**
 * What this host has seen begin, by window and customer.
 *
 * A request counts from the moment at which it is sent, so that a host that is killed loses no more than it has not written yet; one that is
 * proven not to have run is taken back.
 */

/** Windows that are remembered; older ones are closed. */
const keptWindows = 12;

/** A request that counts. */
export type UsageMark = {
	/** Takes it back: it has not run. */
	undo(): void;
};

/** The counts of this host. */
export class UsageCounts {
	readonly #windowMs: number;
	readonly #readTrueMs: () => number;
	readonly #windows = new Map<number, Map<string, number>>();
	readonly #dirty = new Set<number>();
	readonly #onChange: () => void;

	/** @param onChange - called when there is something to tell */
	constructor(windowMs: number, readTrueMs: () => number, onChange: () => void) {
		this.#windowMs = windowMs;
		this.#readTrueMs = readTrueMs;
		this.#onChange = onChange;
	}

	/** Counts a request that is sent now. */
	begin(customer: string): UsageMark {
		const window = Math.floor(this.#readTrueMs() / this.#windowMs);
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

	/** Counts of a window; empty if nothing began in it. */
	read(window: number): ReadonlyMap<string, number> {
		return this.#windows.get(window) ?? new Map();
	}

	/** Windows whose counts have changed since `markTold`, in ascending order. */
	listDirty(): number[] {
		return [...this.#dirty].toSorted((a, b) => a - b);
	}

	/** Notes that the counts of a window are about to be told as they are now. */
	markTold(window: number): void {
		this.#dirty.delete(window);
	}

	/** Notes that telling them has failed. */
	markUntold(window: number): void {
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
		this.#forgetBefore(window - keptWindows);
		this.#onChange();
	}

	#forgetBefore(oldest: number): void {
		for (const window of this.#windows.keys()) {
			if (window < oldest) {
				this.#windows.delete(window);
				this.#dirty.delete(window);
			}
		}
	}
}
