/**
 * Measures the event-loop lag of a process, to separate its own delays from those of the endpoints that it waits for.
 *
 * Load pattern: a host with a quarter of a core reads 270 generations. It processes each of them late and then finds several events at once, so that
 * every endpoint seems to be stalled and fast by turns: runs were moved 750 times in half a minute, each to an endpoint that was no faster, and each
 * move cost more of the scarce CPU time. The lag of a timer detects this, as endpoints have no influence on it.
 */

/** Number of remembered ticks; with one every 50 ms they cover three seconds. */
const windowTicks = 60;

/** Number of ticks that represent the present: 0.3 s, some events of a generation. */
const recentTicks = 6;

/** Quantile of the lag that is reported to others: a single garbage-collection pause says nothing about the load. */
const reportedQuantile = 0.9;

/** Lag from which the times between events reflect this process rather than an endpoint, in milliseconds: a quarter of the usual time between two events. */
const highLagMs = 10;

/** Event-loop lag of one process, measured with a periodic timer. */
export class EventLoopLag {
	readonly #ticks: number[] = [];

	/** Records the lag of a tick, in milliseconds. */
	record(tickLagMs: number): void {
		this.#ticks.push(Math.max(0, tickLagMs));
		if (this.#ticks.length > windowTicks) {
			this.#ticks.shift();
		}
	}

	/** Whether the lag is currently too high to judge endpoints by when their data was read. */
	get isLate(): boolean {
		return this.#ticks.slice(-recentTicks).some(tick => tick >= highLagMs);
	}

	/** The 90th percentile of the lag over the last three seconds, in milliseconds; 0 before the first tick. */
	get usualMs(): number {
		const sorted = this.#ticks.toSorted((a, b) => a - b);
		return sorted[Math.ceil(sorted.length * reportedQuantile) - 1] ?? 0;
	}
}
