/**
 * Typed in-memory tables of entities, which the systems process at each tick.
 */

/** The members that every row has. */
export type Row = {readonly id: string};

/** Rows by id, in order of insertion. */
export class Table<Entity extends Row> {
	readonly #rows = new Map<string, Entity>();

	get size(): number {
		return this.#rows.size;
	}

	get(id: string): Entity | undefined {
		return this.#rows.get(id);
	}

	has(id: string): boolean {
		return this.#rows.has(id);
	}

	/** Inserts the row, or replaces the one with the same id. */
	put(row: Entity): Entity {
		this.#rows.set(row.id, row);
		return row;
	}

	/** Removes a row; returns whether it existed. */
	remove(id: string): boolean {
		return this.#rows.delete(id);
	}

	/** Returns the rows that satisfy the test. */
	filter(test: (row: Entity) => boolean): Entity[] {
		return [...this.#rows.values()].filter(row => test(row));
	}

	[Symbol.iterator](): IterableIterator<Entity> {
		return this.#rows.values();
	}
}
