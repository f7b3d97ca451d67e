/**
 * Time for a balancer to see that this process is leaving before it stops listening.
 *
 * Without it, connections that the balancer opens until its next check are refused.
 */

/** Length of the notice, in milliseconds: balancers usually check every second or two and act on the second failure. */
const noticeMs = 5000;

/** A last check within this time, in milliseconds, and checks over at least this time, are those of a balancer. */
const watchedMs = 30_000;
const regularMs = 5000;

/** Remembers the checks of `/readyz`. */
export class DrainNotice {
	#firstCheckAt: number | undefined;
	#lastCheckAt = Number.NEGATIVE_INFINITY;

	/** Someone has asked whether new work should come here. */
	recordCheck(): void {
		const now = performance.now();
		// Checks that stopped for long begin anew.
		this.#firstCheckAt = now - this.#lastCheckAt > watchedMs ? now : this.#firstCheckAt ?? now;
		this.#lastCheckAt = now;
	}

	/** Resolves when new connections may be refused: at once if nobody checks regularly. */
	async give(): Promise<void> {
		if (!this.#isWatched()) {
			return;
		}

		await new Promise<void>(resolve => {
			setTimeout(resolve, noticeMs);
		});
	}

	#isWatched(): boolean {
		return performance.now() - this.#lastCheckAt <= watchedMs
			&& this.#lastCheckAt - (this.#firstCheckAt ?? this.#lastCheckAt) >= regularMs;
	}
}
