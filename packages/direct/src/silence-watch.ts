/**
 * Aborts a run at an endpoint that has stopped responding.
 *
 * Load pattern: an engine hangs or is cut off while it generates eight texts, and no connection reports it. Events arrive every 40 ms from a healthy engine
 * and every 400 ms from one that is ten times slower, so a second without any event, of this run or another at the same engine, is sufficient evidence.
 * A limit of four seconds delayed the groups of all eight texts by as much. Events of other runs don't excuse a silence for good, since one dead connection
 * among sound ones leaves a text at no endpoint.
 */
import {DeadlineError} from '@wasabiusher/backends';

/** Silence of a run and its endpoint after which the run is aborted, in milliseconds. */
const eventSilenceMs = 1000;

/** The same limit before the head of the answer, in milliseconds: a full endpoint queues the run. */
const headSilenceMs = 2000;

/**
 * Silence of a run after which it is aborted whatever else its endpoint sends, in milliseconds: its connection may be dead, or its endpoint may have dropped
 * it. Longer than a weight load, during which runs wait.
 */
export const maxSilenceMs = 4000;

/** Interval between checks, in milliseconds. */
const checkMs = 250;

/** Delay of a check beyond which this process itself counts as stalled, in milliseconds. */
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
	 * @param stop - aborted with a `DeadlineError` when the run is silent for too long
	 * @param findLastReceivedAt - returns when data last arrived from the endpoint, on the monotonic clock
	 */
	constructor(stop: AbortController, findLastReceivedAt: () => number) {
		this.#stop = stop;
		this.#findLastReceivedAt = findLastReceivedAt;
		this.#timer = setInterval(() => {
			this.#check();
		}, checkMs);
	}

	/** Records that data of the run has arrived; from then on the limit between events applies. */
	recordReceived(): void {
		this.#lastReceivedAt = performance.now();
		this.#limitMs = eventSilenceMs;
	}

	/** Stops watching. */
	end(): void {
		clearInterval(this.#timer);
	}

	#check(): void {
		const now = performance.now();
		const lateMs = now - this.#checkedAt - checkMs;
		if (lateMs > processStallMs) {
			// Data that arrived while this process was stalled has not been read yet.
			this.#lastReceivedAt = now;
		} else if (lateMs > 0) {
			// The lag of this process doesn't count as silence of the endpoint.
			this.#lastReceivedAt += lateMs;
		}

		this.#checkedAt = now;
		const runSilentMs = now - this.#lastReceivedAt;
		const endpointSilentMs = now - Math.max(this.#lastReceivedAt, this.#findLastReceivedAt());
		if (endpointSilentMs >= this.#limitMs || runSilentMs >= maxSilenceMs) {
			this.end();
			this.#stop.abort(new DeadlineError('deadline', `no data received for ${Math.round(runSilentMs)} ms, from the endpoint for ${Math.round(endpointSilentMs)} ms`));
		}
	}
}
