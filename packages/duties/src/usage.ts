/**
 * Usage on one host: what it counts itself, and what it reports for all while it holds the duty.
 */
import type {UsageMark} from './usage-counts.js';
import {UsageReporter, type UsageReporterSettings} from './usage-reporter.js';
import {UsageTeller, type UsageTellerSettings} from './usage-teller.js';

export type UsageSettings = Omit<UsageReporterSettings, 'holder'> & Omit<UsageTellerSettings, 'host'> & {
	/** Name of the host. */
	host: string;
};

/** Counts requests, tells them, and reports windows. */
export class Usage {
	readonly #teller: UsageTeller;
	readonly #reporter: UsageReporter;

	constructor(settings: UsageSettings) {
		this.#teller = new UsageTeller(settings);
		this.#reporter = new UsageReporter({...settings, holder: settings.host});
	}

	/** Time since this host last acted for all, in milliseconds; infinite if it never did. */
	get sinceActMs(): number {
		return this.#reporter.sinceActMs;
	}

	/** Counts a request of a customer that is sent to an endpoint now. */
	begin(customer: string): UsageMark {
		return this.#teller.begin(customer);
	}

	start(): void {
		this.#teller.start();
		this.#reporter.start();
	}

	/** Acts for all no more; this host's own requests are counted on. */
	resign(): void {
		this.#reporter.stop();
	}

	/** Tells the last counts of a process that takes no more requests. Never rejects. */
	async leave(): Promise<void> {
		await this.#teller.leave();
	}

	stop(): void {
		this.#teller.stop();
		this.#reporter.stop();
	}
}
