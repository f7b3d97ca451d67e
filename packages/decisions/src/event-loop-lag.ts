/**
 * How late a process is with its own work, kept apart from what it waits for.
 *
 * Load pattern: a host of a quarter of a core reads 270 texts. It comes to each of them late and then finds several events at once, so
 * every endpoint seems to stall and to race by turns: runs were moved 750 times in half a minute, each to an endpoint that was no faster,
 * and each move cost more of the time that was lacking. The lateness of a timer tells this apart, since no endpoint has a part in it.
 */

/** Ticks that are remembered; with one each 50 ms they reach back over three seconds. */
const windowTicks = 60;

/** Ticks that tell of the present: 0.3 s, some events of a text. */
const recentTicks = 6;

/** Part of the ticks that are no later than what is told to others: a single pause of the collector says nothing of the load. */
const reportedQuantile = 0.9;

/** Lateness from which the times between events say more of this process than of an endpoint, in milliseconds: a quarter of the usual time between two. */
const highLagMs = 10;

/** Lateness of one process, from a timer that is due at regular times. */
export class Lateness {
	readonly #ticks: number[] = [];

	/** Takes in how late a tick was, in milliseconds. */
	record(tickLagMs: number): void {
		this.#ticks.push(Math.max(0, tickLagMs));
		if (this.#ticks.length > windowTicks) {
			this.#ticks.shift();
		}
	}

	/** Whether this process is too late at present to judge others by when something of theirs was read. */
	get isLate(): boolean {
		return this.#ticks.slice(-recentTicks).some(tick => tick >= highLagMs);
	}

	/** How late nine of ten ticks of the last three seconds were at most, in milliseconds; 0 before the first. */
	get usualMs(): number {
		const sorted = this.#ticks.toSorted((a, b) => a - b);
		return sorted[Math.ceil(sorted.length * reportedQuantile) - 1] ?? 0;
	}
}
