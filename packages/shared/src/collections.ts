/**
 * Small helpers for collections.
 */

/** Forgets the entries that were added first until at most `most` are left. */
export function dropOldest<Key>(entries: Map<Key, unknown> | Set<Key>, most: number): void {
	for (const key of entries.keys()) {
		if (entries.size <= most) {
			return;
		}

		entries.delete(key);
	}
}

/** Middle of some values, the lower one of two; undefined if there are none. */
export function findMiddle(values: readonly number[]): number | undefined {
	return values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) / 2)];
}
