/**
 * Bounds the memory that the bodies of requests occupy in a process.
 *
 * Load pattern: clients send many large bodies at once and stop short of their end, so that each body alone is legal and all together exceed the
 * memory of the host. Incomplete bodies that have occupied most for longest give way, and small bodies, which ordinary callers send, always find room.
 */

/** Sizes in bytes. */
export type BudgetLimits = {
	/** Memory that all bodies together may occupy. */
	totalBytes: number;
	/** Part of it that is reserved for small bodies. */
	reservedBytes: number;
	/** Largest body that counts as small. */
	smallBytes: number;
};

/** The memory of one body. */
export class Hold {
	/** Bytes charged at present. */
	bytes = 0;
	/** Whether the body is complete; it is not evicted then, since its request may be running. */
	isComplete = false;
	readonly startedAt: number;
	readonly evict: () => void;

	constructor(startedAt: number, evict: () => void) {
		this.startedAt = startedAt;
		this.evict = evict;
	}
}

/** The owner of the memory of request bodies. */
export class MemoryBudget {
	readonly limits: Readonly<BudgetLimits>;
	readonly #collect: (() => void) | undefined;
	readonly #holds = new Set<Hold>();
	#heldBytes = 0;
	#garbageBytes = 0;

	/**
	 * @param collect - collects garbage; released memory then counts until it is called. Undefined if released memory is free at once
	 * @throws {RangeError} if the limits are not ordered
	 */
	constructor(limits: BudgetLimits, collect?: () => void) {
		if (!(limits.reservedBytes >= 0 && limits.reservedBytes < limits.totalBytes && limits.smallBytes >= 0)) {
			throw new RangeError(`expected a reserved part below the total, got ${limits.reservedBytes} of ${limits.totalBytes} bytes`);
		}

		this.limits = limits;
		this.#collect = collect;
	}

	/** Memory charged at present, in bytes. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Number of bodies that hold memory or may charge some. */
	get size(): number {
		return this.#holds.size;
	}

	/**
	 * Opens a hold without memory.
	 *
	 * @param evict - called at most once, when the hold gives way to another; its memory is released already
	 */
	open(now: number, evict: () => void): Hold {
		const hold = new Hold(now, evict);
		this.#holds.add(hold);
		return hold;
	}

	/**
	 * Charges memory to a hold; evicts incomplete bodies that occupy more for longer if there is no room.
	 *
	 * @returns whether the memory may be used; if not, the hold is unchanged
	 */
	charge(hold: Hold, bytes: number, now: number): boolean {
		if (!this.#holds.has(hold)) {
			return false;
		}

		const {totalBytes, reservedBytes, smallBytes} = this.limits;
		const limit = hold.bytes + bytes <= smallBytes ? totalBytes : totalBytes - reservedBytes;
		if (hold.bytes + bytes > limit) {
			return false;
		}

		while (this.#heldBytes + bytes > limit) {
			const victim = this.#findLargest(now);
			if (!victim || victim === hold) {
				return false;
			}

			this.release(victim);
			victim.evict();
		}

		if (this.#heldBytes + this.#garbageBytes + bytes > limit) {
			this.#collect?.();
			this.#garbageBytes = 0;
		}

		hold.bytes += bytes;
		this.#heldBytes += bytes;
		return true;
	}

	/** Returns a part of the memory of a hold; has no effect if it was released or evicted. */
	discharge(hold: Hold, bytes: number): void {
		if (this.#holds.has(hold)) {
			hold.bytes -= bytes;
			this.#free(bytes);
		}
	}

	/** Returns the memory of a hold; has no effect if it was released or evicted. */
	release(hold: Hold): void {
		if (this.#holds.delete(hold)) {
			this.#free(hold.bytes);
			hold.bytes = 0;
		}
	}

	#free(bytes: number): void {
		this.#heldBytes -= bytes;
		this.#garbageBytes += this.#collect ? bytes : 0;
	}

	/** Finds the incomplete body with the largest product of memory and time. */
	#findLargest(now: number): Hold | undefined {
		let largest: Hold | undefined;
		let largestWeight = 0;
		for (const hold of this.#holds) {
			const weight = hold.isComplete ? 0 : hold.bytes * (1 + now - hold.startedAt);
			if (weight > largestWeight) {
				largest = hold;
				largestWeight = weight;
			}
		}

		return largest;
	}
}
