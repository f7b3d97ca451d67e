/**
 * Detects entries that do not reconnect after their link was lost.
 */

/** Time without a link after which the work of an entry is stopped, in milliseconds. Entries give up after 5 s. */
const orphanTimeoutMs = 10_000;

/** Entries without a link, with a timer for each. */
export class Orphans {
	readonly #timers = new Map<string, NodeJS.Timeout>();
	readonly #onOrphaned: (peer: string) => void;

	/** @param onOrphaned - called with each entry that has not reconnected in time */
	constructor(onOrphaned: (peer: string) => void) {
		this.#onOrphaned = onOrphaned;
	}

	/** Whether an entry is without a link and its timer is running. */
	has(peer: string): boolean {
		return this.#timers.has(peer);
	}

	/** Starts the timer of an entry whose link was lost. */
	add(peer: string): void {
		this.remove(peer);
		this.#timers.set(peer, setTimeout(() => {
			this.#timers.delete(peer);
			this.#onOrphaned(peer);
		}, orphanTimeoutMs));
	}

	/** Stops the timer of an entry that has reconnected. */
	remove(peer: string): void {
		clearTimeout(this.#timers.get(peer));
		this.#timers.delete(peer);
	}

	clear(): void {
		for (const peer of this.#timers.keys()) {
			this.remove(peer);
		}
	}
}
