/**
 * True time on a host whose clock may be off.
 *
 * Load pattern: the time of day jumps by seconds on some hosts and back later, while windows of true time are counted on all of them. Each host
 * tells by how much its clock differs from the store's steady clock; what most hosts agree on is true, and a clock that is off is not used.
 */

/** Difference from what most hosts say from which a clock is off, in milliseconds; the quickest answers of the store differ by less. */
const maxErrorMs = 250;

/** Reads true time, in milliseconds since the start of 1970. */
export class TrueTime {
	readonly #readStoreMs: () => number | undefined;
	/** Time of day less the store's clock, by host, in milliseconds. */
	readonly #offsets = new Map<string, number>();

	/** @param readStoreMs - the store's steady clock, in milliseconds; undefined until it was heard */
	constructor(readStoreMs: () => number | undefined) {
		this.#readStoreMs = readStoreMs;
	}

	/** Time of day of this host less the store's clock, in milliseconds; undefined until the store was heard. */
	get ownOffsetMs(): number | undefined {
		const storeMs = this.#readStoreMs();
		return storeMs === undefined ? undefined : Math.round(Date.now() - storeMs);
	}

	/** Takes note of what another host has told of its clock. */
	learn(host: string, offsetMs: number): void {
		this.#offsets.set(host, offsetMs);
	}

	read(): number {
		const storeMs = this.#readStoreMs();
		const offsetMs = findMiddle([...this.#offsets.values()]);
		if (storeMs === undefined || offsetMs === undefined) {
			return Date.now();
		}

		const agreedMs = storeMs + offsetMs;
		return Math.abs(Date.now() - agreedMs) > maxErrorMs ? agreedMs : Date.now();
	}
}

/** The lower one of the two in the middle of an even number; undefined of none. */
function findMiddle(values: readonly number[]): number | undefined {
	return values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) / 2)];
}
