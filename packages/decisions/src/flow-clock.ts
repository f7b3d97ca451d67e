/**
 * Virtual time of fair turns: who has had much work starts later.
 *
 * Load pattern: one caller sends twenty times its share, pauses and comes again. Without a memory of its last turn it would begin as a newcomer each
 * time, before all who waited. Start-time fair queueing (Goyal, Vin and Cheng, 1996).
 */

/**
 * Idle turns that are remembered. Beyond it all are forgotten, which gives
 * each at most one job too early; 10,000 turns take about 1 MB.
 */
const maxIdleFlows = 10_000;

/** The virtual time, and where each idle turn stands. */
export class TurnClock {
	readonly #idleFlows = new Map<string, number>();
	#now = 0;

	/** Where a turn starts that begins to wait. */
	enter(key: string): number {
		const start = Math.max(this.#now, this.#idleFlows.get(key) ?? 0);
		this.#idleFlows.delete(key);
		return start;
	}

	/** Moves on to the start of the turn that is served. */
	advance(start: number): void {
		this.#now = Math.max(this.#now, start);
	}

	/** Remembers a turn that no longer waits. */
	leave(key: string, start: number): void {
		if (this.#idleFlows.size >= maxIdleFlows) {
			this.#idleFlows.clear();
		}

		if (start > this.#now) {
			this.#idleFlows.set(key, start);
		}
	}
}
