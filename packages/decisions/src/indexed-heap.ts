/**
 * Binary heap whose items store their index, so that any of them can be moved or removed in O(log n).
 */

/** Index of an item in its heap, written by the heap only; −1 while it is in none. */
export type HeapItem = {heapIndex: number};

/** Heap with the lowest item first. */
export class IndexedHeap<Item extends HeapItem> {
	readonly #items: Item[] = [];
	readonly #isBefore: (a: Item, b: Item) => boolean;

	/** @param isBefore - a strict order */
	constructor(isBefore: (a: Item, b: Item) => boolean) {
		this.#isBefore = isBefore;
	}

	get size(): number {
		return this.#items.length;
	}

	/** Lowest item, which stays in the heap. */
	get first(): Item | undefined {
		return this.#items[0];
	}

	add(item: Item): void {
		item.heapIndex = this.#items.length;
		this.#items.push(item);
		this.#moveUp(item);
	}

	remove(item: Item): void {
		const index = item.heapIndex;
		const last = this.#items.pop()!;
		item.heapIndex = -1;
		if (last !== item) {
			this.#place(last, index);
			this.update(last);
		}
	}

	/** Restores the order after the key of an item has changed. */
	update(item: Item): void {
		this.#moveUp(item);
		this.#moveDown(item);
	}

	#place(item: Item, index: number): void {
		this.#items[index] = item;
		item.heapIndex = index;
	}

	#moveUp(item: Item): void {
		let index = item.heapIndex;
		while (index > 0) {
			const parentIndex = Math.floor((index - 1) / 2);
			const parent = this.#items[parentIndex]!;
			if (!this.#isBefore(item, parent)) {
				break;
			}

			this.#place(parent, index);
			index = parentIndex;
		}

		this.#place(item, index);
	}

	#moveDown(item: Item): void {
		let index = item.heapIndex;
		for (;;) {
			const child = this.#findLeastChild(index);
			if (!child || !this.#isBefore(child, item)) {
				break;
			}

			const childIndex = child.heapIndex;
			this.#place(child, index);
			index = childIndex;
		}

		this.#place(item, index);
	}

	#findLeastChild(index: number): Item | undefined {
		const left = this.#items[(2 * index) + 1];
		const right = this.#items[(2 * index) + 2];
		return left && right && this.#isBefore(right, left) ? right : left;
	}
}
