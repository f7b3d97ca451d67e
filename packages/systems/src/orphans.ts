/**
 * Notices which entries do not come back after their link was lost.
 */

/** How long an entry may be without a link before its work is stopped, in milliseconds; entries give up after 5 s. */
const orphanMs = 10_000;

/** Entries without a link, each with its time running. */
export class Orphans {
	readonly #timers = new Map<string, NodeJS.Timeout>();
	readonly #onOrphaned: (peer: string) => void;

	/** @param onOrphaned - called for an entry that has not come back in time */
	constructor(onOrphaned: (peer: string) => void) {
		this.#onOrphaned = onOrphaned;
	}

	/** Whether an entry's link is lost and its time runs. */
	has(peer: string): boolean {
		return this.#timers.has(peer);
	}

	/** The entry's link was lost. */
	add(peer: string): void {
		this.remove(peer);
		this.#timers.set(peer, setTimeout(() => {
			this.#timers.delete(peer);
			this.#onOrphaned(peer);
		}, orphanMs));
	}

	/** The entry has come back. */
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
