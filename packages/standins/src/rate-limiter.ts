/**
 * Token bucket on the runtime's monotonic clock. It holds at most the tokens of one second.
 */
export class RateLimiter {
	#tokens: number | undefined;
	#refilledAt = 0;

	/**
	 * Takes one token. Returns false when none is available.
	 *
	 * @param perSecond - tokens added per second
	 */
	tryTake(perSecond: number): boolean {
		const now = performance.now();
		const refill = (now - this.#refilledAt) / 1000 * perSecond;
		const tokens = Math.min(perSecond, (this.#tokens ?? perSecond) + refill);
		this.#refilledAt = now;
		this.#tokens = tokens < 1 ? tokens : tokens - 1;
		return tokens >= 1;
	}
}
