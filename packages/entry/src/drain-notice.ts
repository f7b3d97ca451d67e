/**
 * Delays the shutdown until load balancers have noticed that this process is leaving.
 *
 * Without the delay, connections that a load balancer opens before its next health check are refused.
 */

/** Length of the delay, in milliseconds: load balancers usually check every 1 to 2 s and act on the second failure. */
const noticeMs = 5000;

/** Checks count as a load balancer's if the last one is at most this old and the first and last are at least `minCheckSpanMs` apart; both in milliseconds. */
const recentCheckWindowMs = 30_000;
const minCheckSpanMs = 5000;

/** Tracks the health checks of `/readyz`. */
export class DrainNotice {
	#firstCheckAt: number | undefined;
	#lastCheckAt = Number.NEGATIVE_INFINITY;

	/** Records a readiness check. */
	recordCheck(): void {
		const now = performance.now();
		// A long pause between checks starts a new series.
		this.#firstCheckAt = now - this.#lastCheckAt > recentCheckWindowMs ? now : this.#firstCheckAt ?? now;
		this.#lastCheckAt = now;
	}

	/** Resolves when new connections may be refused: immediately if there are no regular checks. */
	async waitForBalancer(): Promise<void> {
		if (!this.#isCheckedRegularly()) {
			return;
		}

		await new Promise<void>(resolve => {
			setTimeout(resolve, noticeMs);
		});
	}

	#isCheckedRegularly(): boolean {
		return performance.now() - this.#lastCheckAt <= recentCheckWindowMs
			&& this.#lastCheckAt - (this.#firstCheckAt ?? this.#lastCheckAt) >= minCheckSpanMs;
	}
}
