/**
 * Small helpers for collections.
 */

/** Removes entries in the order of their insertion until at most `maxSize` are left. */
export function dropOldest<Key>(entries: Map<Key, unknown> | Set<Key>, maxSize: number): void {
	for (const key of entries.keys()) {
		if (entries.size <= maxSize) {
			return;
		}

		entries.delete(key);
	}
}

/** Returns the lower median of the values; undefined if there are none. */
export function findLowerMedian(values: readonly number[]): number | undefined {
	return values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) / 2)];
}
