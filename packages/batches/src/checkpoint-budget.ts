/**
 * What a process may write of unfinished texts, over all its shares.
 */

/** Bytes a second, a twentieth of the bandwidth of a small host, and transactions a second. */
const bytesPerS = 200_000;
const writesPerS = 6;

/** Time over which unused allowance is saved up, in seconds. */
const burstS = 3;

/** Bucket of bytes and writes. */
export class CheckpointBudget {
	#bytes = bytesPerS * burstS;
	#writes = writesPerS * burstS;
	#filledAt = performance.now();
	#count = 0;

	/** Transactions that were sent. */
	get writes(): number {
		return this.#count;
	}

	/** Bytes that may be written in one transaction now; 0 if no further transaction may be made. */
	get bytes(): number {
		this.#fill();
		return this.#writes >= 1 ? Math.max(0, Math.floor(this.#bytes)) : 0;
	}

	/** Notes a transaction that is sent. */
	spend(bytes: number): void {
		this.#fill();
		this.#bytes -= bytes;
		this.#writes -= 1;
		this.#count += 1;
	}

	#fill(): void {
		const now = performance.now();
		const passedS = (now - this.#filledAt) / 1000;
		this.#filledAt = now;
		this.#bytes = Math.min(bytesPerS * burstS, this.#bytes + (passedS * bytesPerS));
		this.#writes = Math.min(writesPerS * burstS, this.#writes + (passedS * writesPerS));
	}
}
