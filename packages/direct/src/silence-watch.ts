/**
 * Ends a run at an endpoint that has gone dark.
 *
 * Load pattern: an engine goes dark, or is cut off, in the middle of eight texts; no connection tells. Events come every 40 ms from
 * a sound engine and every 400 ms from one that is ten times slower, so that a second without any, from
 * this run or another at the same engine, tells enough. A wait of four seconds held up each of the eight steps' groups by that.
 */
import {DeadlineError} from '@wasabiusher/backends';

/** Silence of a run and its endpoint after which it is given up, in milliseconds. */
const eventSilenceMs = 1000;

/** The same before the head of the answer: a full endpoint lets a run wait for its turn. */
const headSilenceMs = 2000;

/** Time between looks, in milliseconds. */
const checkMs = 250;

/** Delay of a look that shows that this process itself stood still, in milliseconds. */
const processStallMs = 500;

/** Watches one run. */
export class SilenceWatch {
	readonly #stop: AbortController;
	readonly #findLastReceivedAt: () => number;
	readonly #timer: NodeJS.Timeout;
	#lastReceivedAt = performance.now();
	#checkedAt = performance.now();
	#limitMs = headSilenceMs;

	/**
	 * @param stop - aborted with a `DeadlineError` when the run is given up
	 * @param findHeardAt - when anything was last heard from the endpoint, on the monotonic clock
	 */
	constructor(stop: AbortController, findHeardAt: () => number) {
		this.#stop = stop;
		this.#findLastReceivedAt = findHeardAt;
		this.#timer = setInterval(() => {
			this.#check();
		}, checkMs);
	}

	/** Notes that something of the run has come; from then on events are expected. */
	recordReceived(): void {
		this.#lastReceivedAt = performance.now();
		this.#limitMs = eventSilenceMs;
	}

	/** Watches no more. */
	end(): void {
		clearInterval(this.#timer);
	}

	#check(): void {
		const now = performance.now();
		const lateMs = now - this.#checkedAt - checkMs;
		if (lateMs > processStallMs) {
			// What came while this process stood still has not been read yet.
			this.#lastReceivedAt = now;
		} else if (lateMs > 0) {
			// The time by which this process is late is not the endpoint's.
			this.#lastReceivedAt += lateMs;
		}

		this.#checkedAt = now;
		const silentMs = now - Math.max(this.#lastReceivedAt, this.#findLastReceivedAt());
		if (silentMs >= this.#limitMs) {
			this.end();
			this.#stop.abort(new DeadlineError('deadline', `nothing has come for ${Math.round(silentMs)} ms`));
		}
	}
}
