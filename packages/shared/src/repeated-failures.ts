/**
 * Rate-limited logging of a failure that repeats.
 *
 * Load pattern: while a store does not answer, each host fails several times a second at each of its writes, for the whole outage. The first
 * failure is logged at once, then the count once a second, and finally the recovery.
 */
import type {Log, LogValue} from './log.js';

/** Minimum time between two lines about the same failure, in milliseconds. */
const logIntervalMs = 1000;

export type RepeatedFailureSettings = {
	log: Log;
	/** Log event of a failure. */
	event: string;
	/** Log event of the recovery. */
	overEvent: string;
};

/** Counts failures of one kind and logs them at most once per interval. */
export class RepeatedFailures {
	readonly #settings: RepeatedFailureSettings;
	#total = 0;
	#unlogged = 0;
	#firstAt = 0;
	#loggedAt = Number.NEGATIVE_INFINITY;

	constructor(settings: RepeatedFailureSettings) {
		this.#settings = settings;
	}

	/** Records a failure; `times` in the log line is the number of failures since the previous line. */
	record(values: Readonly<Record<string, LogValue>>): void {
		const now = performance.now();
		if (this.#total === 0) {
			this.#firstAt = now;
		}

		this.#total += 1;
		this.#unlogged += 1;
		if (now - this.#loggedAt < logIntervalMs && this.#total > 1) {
			return;
		}

		const {log, event} = this.#settings;
		log.warn(event, {...values, times: this.#unlogged});
		this.#unlogged = 0;
		this.#loggedAt = now;
	}

	/** Records a success; logs the number of failures before it and their duration if there was more than one. */
	recover(): void {
		if (this.#total > 1) {
			const {log, overEvent} = this.#settings;
			log.info(overEvent, {failures: this.#total, forMs: Math.round(performance.now() - this.#firstAt)});
		}

		this.#total = 0;
		this.#unlogged = 0;
	}
}
