/**
 * Decides which requests a process takes while it stops.
 *
 * Load pattern: after the termination signal the load balancer still sends requests for some seconds, and clients use their open connections until they are
 * closed. A request that may take longer than the rest of the grace period would be cut at its end without an answer, though it may have run. So once the
 * balancer has stopped sending, only requests are taken that end in time by their own deadline; others are refused at once, while another host can serve them.
 */

/** Times of a shutdown, in milliseconds from its start. */
export type DrainTimes = {
	/** Time in which every request is taken: the load balancer may have assigned it before it knew. */
	announcementMs: number;
	/** Time after which all requests must have been answered. */
	endMs: number;
};

/** The requests that a process takes, by the time; it takes all until the shutdown begins. */
export class DrainWindow {
	/** On the monotonic clock. */
	#announcedUntil = Number.POSITIVE_INFINITY;
	#endsAt = Number.POSITIVE_INFINITY;

	/** Begins the shutdown. */
	begin({announcementMs, endMs}: DrainTimes): void {
		const now = performance.now();
		this.#announcedUntil = now + announcementMs;
		this.#endsAt = now + endMs;
	}

	/** Time until all requests must have been answered, in milliseconds; not negative. */
	get remainingMs(): number {
		return Math.max(0, this.#endsAt - performance.now());
	}

	/**
	 * Whether a request is taken now.
	 *
	 * @param deadlineAt - when it ends at the latest, on the monotonic clock
	 */
	takes(deadlineAt: number): boolean {
		const now = performance.now();
		return now < this.#endsAt && (now < this.#announcedUntil || deadlineAt <= this.#endsAt);
	}

	/** The deadline of a request that is taken, on the monotonic clock: no later than the end of the shutdown. */
	limit(deadlineAt: number): number {
		return Math.min(deadlineAt, this.#endsAt);
	}
}
