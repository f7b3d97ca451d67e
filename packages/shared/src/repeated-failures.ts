/**
 * Log lines of a failure that repeats.
 *
 * Load pattern: while a store is silent each host fails several times a second at each thing it wants written, for as long as that lasts. The
 * first failure is logged at once, then how many there were in each second, and once that it is over.
 */
import type {Log, LogValue} from './log.js';

/** Time between lines about the same failure, in milliseconds. */
const lineMs = 1000;

export type RepeatedFailureSettings = {
	log: Log;
	/** Event of the lines about the failure. */
	event: string;
	/** Event of the line that tells that it is over. */
	overEvent: string;
};

/** Counts one kind of failure and logs it now and then. */
export class RepeatedFailures {
	readonly #settings: RepeatedFailureSettings;
	#total = 0;
	#unlogged = 0;
	#firstAt = 0;
	#loggedAt = Number.NEGATIVE_INFINITY;

	constructor(settings: RepeatedFailureSettings) {
		this.#settings = settings;
	}

	/** Notes a failure; `times` of its line counts those since the last line. */
	record(values: Readonly<Record<string, LogValue>>): void {
		const now = performance.now();
		if (this.#total === 0) {
			this.#firstAt = now;
		}

		this.#total += 1;
		this.#unlogged += 1;
		if (now - this.#loggedAt < lineMs && this.#total > 1) {
			return;
		}

		const {log, event} = this.#settings;
		log.warn(event, {...values, times: this.#unlogged});
		this.#unlogged = 0;
		this.#loggedAt = now;
	}

	/** Notes a success; tells how often it has failed before, and for how long, if more than once. */
	recover(): void {
		if (this.#total > 1) {
			const {log, overEvent} = this.#settings;
			log.info(overEvent, {failures: this.#total, forMs: Math.round(performance.now() - this.#firstAt)});
		}

		this.#total = 0;
		this.#unlogged = 0;
	}
}
