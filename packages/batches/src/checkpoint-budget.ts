/**
 * Limits how much of incomplete texts a process writes, over all its shares.
 */

/** Maximum bytes a second, a twentieth of the bandwidth of a small host, and maximum transactions a second. */
const bytesPerS = 200_000;
const writesPerS = 6;

/** Time over which unused allowance accumulates, in seconds. */
const burstS = 3;

/** Token bucket of bytes and transactions. */
export class CheckpointBudget {
	#bytes = bytesPerS * burstS;
	#writes = writesPerS * burstS;
	#refilledAt = performance.now();
	#writeCount = 0;

	/** Number of transactions sent since the start. */
	get writes(): number {
		return this.#writeCount;
	}

	/** Bytes that one transaction may write now; 0 if no transaction is allowed. */
	get bytes(): number {
		this.#refill();
		return this.#writes >= 1 ? Math.max(0, Math.floor(this.#bytes)) : 0;
	}

	/** Deducts a transaction that is sent. */
	spend(bytes: number): void {
		this.#refill();
		this.#bytes -= bytes;
		this.#writes -= 1;
		this.#writeCount += 1;
	}

	#refill(): void {
		const now = performance.now();
		const elapsedS = (now - this.#refilledAt) / 1000;
		this.#refilledAt = now;
		this.#bytes = Math.min(bytesPerS * burstS, this.#bytes + (elapsedS * bytesPerS));
		this.#writes = Math.min(writesPerS * burstS, this.#writes + (elapsedS * writesPerS));
	}
}
