/**
 * Grouping of items by a key; `Map.groupBy` is not in Node.js 20.
 */

/** Items by their key, in the order in which they came. */
export function groupBy<Item, Key>(items: Iterable<Item>, findKey: (item: Item) => Key): Map<Key, Item[]> {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const key = findKey(item);
		const group = groups.get(key);
		if (group) {
			group.push(item);
		} else {
			groups.set(key, [item]);
		}
	}

	return groups;
}
