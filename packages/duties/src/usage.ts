/**
 * Usage on one host: counts its own requests, and reports the usage of all hosts while it holds the duty.
 */
import type {CountedRequest} from './usage-counts.js';
import {UsageReporter, type UsageReporterSettings} from './usage-reporter.js';
import {UsageRecorder, type UsageRecorderSettings} from './usage-recorder.js';

export type UsageSettings = Omit<UsageReporterSettings, 'holder'> & Omit<UsageRecorderSettings, 'host'> & {
	/** Name of the host. */
	host: string;
};

/** Counts requests, writes the counts to the store, and reports windows. */
export class Usage {
	readonly #recorder: UsageRecorder;
	readonly #reporter: UsageReporter;

	constructor(settings: UsageSettings) {
		this.#recorder = new UsageRecorder(settings);
		this.#reporter = new UsageReporter({...settings, holder: settings.host});
	}

	/** Time since this host last sent a report, in milliseconds; infinite before the first. */
	get sinceActMs(): number {
		return this.#reporter.sinceActMs;
	}

	/** Counts a request of a customer that is being sent to an endpoint. */
	begin(customer: string): CountedRequest {
		return this.#recorder.begin(customer);
	}

	start(): void {
		this.#recorder.start();
		this.#reporter.start();
	}

	/** Stops reporting; this host's own requests are still counted. */
	resign(): void {
		this.#reporter.stop();
	}

	/** Writes the last counts of a process that accepts no more requests. Never rejects. */
	async leave(): Promise<void> {
		await this.#recorder.leave();
	}

	stop(): void {
		this.#recorder.stop();
		this.#reporter.stop();
	}
}
