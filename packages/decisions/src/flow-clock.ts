/**
 * Virtual time of start-time fair queueing (Goyal, Vin and Cheng, 1996): flows that have received more work start later.
 *
 * Load pattern: one caller sends twenty times its share, pauses and returns. If its last virtual time were forgotten, it would return as a new flow each
 * time, ahead of all that are waiting.
 */

/** Maximum number of idle flows that are remembered. Beyond it all are forgotten, which serves each at most one job too early; 10,000 flows take about 1 MB. */
const maxIdleFlows = 10_000;

/** Tracks the virtual time and the start times of idle flows. */
export class FlowClock {
	readonly #idleFlows = new Map<string, number>();
	#now = 0;

	/** Returns the virtual start time of a flow that begins to wait. */
	enter(key: string): number {
		const start = Math.max(this.#now, this.#idleFlows.get(key) ?? 0);
		this.#idleFlows.delete(key);
		return start;
	}

	/** Advances the virtual time to the start time of the flow that is served. */
	advance(start: number): void {
		this.#now = Math.max(this.#now, start);
	}

	/** Remembers the start time of a flow that no longer waits. */
	leave(key: string, start: number): void {
		if (this.#idleFlows.size >= maxIdleFlows) {
			this.#idleFlows.clear();
		}

		if (start > this.#now) {
			this.#idleFlows.set(key, start);
		}
	}
}
