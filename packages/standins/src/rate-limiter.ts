/**
 * Token bucket by the runtime's clock; it holds at most one second's worth.
 */
export class RateLimiter {
	#tokens: number | undefined;
	#filledAt = 0;

	/**
	 * Takes one token; false when there is none.
	 *
	 * @param perSecond - tokens that come in a second
	 */
	tryTake(perSecond: number): boolean {
		const now = performance.now();
		const earned = (now - this.#filledAt) / 1000 * perSecond;
		const tokens = Math.min(perSecond, (this.#tokens ?? perSecond) + earned);
		this.#filledAt = now;
		this.#tokens = tokens < 1 ? tokens : tokens - 1;
		return tokens >= 1;
	}
}
