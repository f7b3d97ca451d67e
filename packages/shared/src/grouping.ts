/**
 * Grouping of items by a key; Node.js 20 has no `Map.groupBy`.
 */

/** Groups items by key; groups and items keep the order of the input. */
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
