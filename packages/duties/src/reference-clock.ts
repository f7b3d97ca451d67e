/**
 * Reference time on a host whose clock may be wrong.
 *
 * Load pattern: the time of day jumps by seconds on some hosts and back later, while windows of reference time are counted on all of them. Each host
 * announces the offset of its clock from the store's steady clock; the median of all hosts is the reference, and a clock that deviates from it is not used.
 */

/** Deviation from the median from which a clock counts as wrong, in milliseconds; the fastest answers of the store differ by less. */
const maxErrorMs = 250;

/** Reads the reference time, in milliseconds since the epoch. */
export class ReferenceClock {
	readonly #readStoreClockMs: () => number | undefined;
	/** Time of day minus the store's clock by host, in milliseconds. */
	readonly #offsets = new Map<string, number>();

	/** @param readStoreClockMs - reads the store's steady clock, in milliseconds; undefined before the store's first answer */
	constructor(readStoreClockMs: () => number | undefined) {
		this.#readStoreClockMs = readStoreClockMs;
	}

	/** Time of day of this host minus the store's clock, in milliseconds; undefined before the store's first answer. */
	get ownOffsetMs(): number | undefined {
		const storeMs = this.#readStoreClockMs();
		return storeMs === undefined ? undefined : Math.round(Date.now() - storeMs);
	}

	/** Records the clock offset that another host has announced. */
	recordOffset(host: string, offsetMs: number): void {
		this.#offsets.set(host, offsetMs);
	}

	/** Returns the time of day, or the reference time if the time of day deviates from it. */
	read(): number {
		const storeMs = this.#readStoreClockMs();
		const offsetMs = findMedian([...this.#offsets.values()]);
		if (storeMs === undefined || offsetMs === undefined) {
			return Date.now();
		}

		const referenceMs = storeMs + offsetMs;
		return Math.abs(Date.now() - referenceMs) > maxErrorMs ? referenceMs : Date.now();
	}
}

/** Returns the median, the lower one of two; undefined without values. */
function findMedian(values: readonly number[]): number | undefined {
	return values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) / 2)];
}
