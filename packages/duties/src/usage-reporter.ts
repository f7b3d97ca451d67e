/**
 * Reports the usage of each window to the platform, on the host that holds the duty.
 *
 * Load pattern: the holder is killed, frozen or cut off at any time; its calls are answered late or never, and performed seconds later. Each
 * report is fixed in the store before it is sent, and sent again until it is confirmed, so that each window is reported once and
 * with the same counts by every holder.
 */
import type {DutyClient} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';
import {shouldClose} from './window-closing.js';
import type {HostUsage, StoredReport, UsageStore} from './usage-store.js';

/** Interval between checks for due reports, in milliseconds. */
const checkIntervalMs = 250;

/** Windows for which a host without counts is waited for: it is cut off from the store for some seconds, or has ended. */
const missingHostWindows = 4;

/** Limit of windows that are reported late after an outage; older ones are not reported. */
const maxBacklogWindows = 24;

/** Windows whose rows are kept, so that a late successor finds the reports; and windows between two deletions of older rows. */
const retainedWindows = 48;
const sweepIntervalWindows = 12;

/** Lease that gives one host the exclusive right to report; to be checked immediately before each call. */
export type DutyLease = {
	/** Fencing token; increases with each change of the holder. */
	readonly fence: number;
	/** Whether this host holds the duty, and for another `effectMs` milliseconds. */
	holds(effectMs?: number): boolean;
};

export type UsageReporterSettings = {
	store: UsageStore;
	client: DutyClient;
	lease: DutyLease;
	/** Time for which the lease must still be held when a report is sent, in milliseconds; 0 if the platform rejects old fences itself. */
	sendMarginMs?: number;
	/** Name of the host. */
	holder: string;
	/** Length of a window, in milliseconds. */
	windowMs: number;
	/** Time from a window's end until its report is due, in milliseconds. */
	dueMs: number;
	log: Log;
	/** Reads the reference time, in milliseconds since the epoch. */
	readReferenceMs(): number;
};

/** Reports windows while this host holds the duty. To be started on every host. */
export class UsageReporter {
	readonly #settings: UsageReporterSettings;
	/** Fence for which the state below was loaded; state of an earlier fence may be out of date. */
	#fence = 0;
	/** Highest fence that the platform has rejected; nothing is sent with it again. */
	#refusedFence = 0;
	/** Reports that are fixed but not confirmed, by window. */
	readonly #unsent = new Map<number, StoredReport>();
	#nextWindow = 0;
	/** Last window of which each host has written counts. */
	readonly #lastWindowByHost = new Map<string, number>();
	#lastCallAt = Number.NEGATIVE_INFINITY;
	#timer: NodeJS.Timeout | undefined;
	#isChecking = false;

	constructor(settings: UsageReporterSettings) {
		this.#settings = settings;
	}

	/** Time since the last call to the platform, in milliseconds; infinite before the first. */
	get sinceActMs(): number {
		return performance.now() - this.#lastCallAt;
	}

	start(): void {
		this.#timer = setInterval(() => {
			void this.check();
		}, checkIntervalMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Sends due reports if this host holds the duty. Never rejects. */
	async check(): Promise<void> {
		if (this.#isChecking) {
			return;
		}

		this.#isChecking = true;
		try {
			if (this.#canAct()) {
				await this.#loadState();
				await this.#closeDue();
				await this.#sendAll();
			}
		} catch (error) {
			this.#settings.log.info('usage_not_reported', {window: this.#nextWindow, reason: describeError(error)});
		} finally {
			this.#isChecking = false;
		}
	}

	#canAct(): boolean {
		const {lease} = this.#settings;
		return lease.holds() && lease.fence > this.#refusedFence;
	}

	/** Loads the state that earlier holders have left, once per fence. */
	async #loadState(): Promise<void> {
		const {store, lease, log} = this.#settings;
		const {fence} = lease;
		if (this.#fence === fence) {
			return;
		}

		const current = this.#getCurrentWindow();
		const oldest = current - maxBacklogWindows;
		const [reports, oldestWindow] = await Promise.all([store.readReports(oldest), store.findOldestWindow()]);
		this.#unsent.clear();
		for (const report of reports.filter(({isSent}) => !isSent)) {
			this.#unsent.set(report.window, report);
		}

		const last = reports.at(-1)?.window;
		this.#nextWindow = last === undefined ? Math.max(oldest, oldestWindow ?? current) : last + 1;
		await this.#loadHosts();
		this.#fence = fence;
		log.info('usage_taken_over', {fence, window: this.#nextWindow, unsent: this.#unsent.size});
	}

	/** Loads which hosts have written counts of the windows before the next one. */
	async #loadHosts(): Promise<void> {
		const windows = Array.from({length: missingHostWindows}, (_, i) => this.#nextWindow - missingHostWindows + i);
		const usagesByWindow = await Promise.all(windows.map(async window => this.#settings.store.readCounts(window)));
		this.#lastWindowByHost.clear();
		for (const usages of usagesByWindow) {
			this.#recordHosts(usages);
		}
	}

	#recordHosts(usages: readonly HostUsage[]): void {
		for (const {host, window} of usages) {
			this.#lastWindowByHost.set(host, window);
		}

		for (const {host} of usages.filter(({isLast}) => isLast)) {
			this.#lastWindowByHost.delete(host);
		}
	}

	async #closeDue(): Promise<void> {
		const {windowMs, dueMs, readReferenceMs, store} = this.#settings;
		while (this.#canAct() && this.#nextWindow < this.#getCurrentWindow()) {
			const window = this.#nextWindow;
			// Windows are closed in ascending order.
			// eslint-disable-next-line no-await-in-loop
			const recorded = await store.readCounts(window);
			const sinceEndMs = readReferenceMs() - ((window + 1) * windowMs);
			const expectedHosts = [...this.#lastWindowByHost].filter(([, last]) => last >= window - missingHostWindows).map(([host]) => host);
			if (!shouldClose({
				sinceEndMs, dueMs, recorded, expectedHosts,
			})) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			if (!await this.#fixReport(window, recorded, sinceEndMs)) {
				return;
			}
		}
	}

	/** Fixes the report of a window; returns false if the store has one already, which has to be loaded first. */
	async #fixReport(window: number, usages: readonly HostUsage[], sinceEndMs: number): Promise<boolean> {
		const {store, log} = this.#settings;
		const counts = sumCounts(usages);
		const report = await store.fixReport({window, counts});
		if (!report) {
			// Another holder was first, or a write of this one whose answer was lost: the stored report is valid.
			this.#fence = 0;
			return false;
		}

		this.#unsent.set(window, report);
		log.info('usage_closed', {
			window, hosts: usages.length, missing: usages.filter(({isFinal}) => !isFinal).length, customers: counts.size, sinceEndMs: Math.round(sinceEndMs),
		});
		this.#nextWindow = window + 1;
		this.#recordHosts(usages);
		if (window % sweepIntervalWindows === 0) {
			await store.deleteBefore(window - retainedWindows);
		}

		return true;
	}

	async #sendAll(): Promise<void> {
		const {store} = this.#settings;
		for (const report of [...this.#unsent.values()].toSorted((a, b) => a.window - b.window)) {
			// Sequential, since the platform limits the concurrent calls of all hosts together.
			// eslint-disable-next-line no-await-in-loop
			if (!this.#canAct() || !await this.#send(report)) {
				return;
			}

			this.#unsent.delete(report.window);
			// A successor that does not find the mark sends the same report again, which is harmless.
			// eslint-disable-next-line no-await-in-loop
			await store.markSent(report);
		}
	}

	/** Sends one report; returns false if it has to be sent again. */
	async #send(report: StoredReport): Promise<boolean> {
		const {client, lease, holder, log, sendMarginMs} = this.#settings;
		const {fence} = lease;
		if (fence === 0 || !lease.holds(sendMarginMs)) {
			return false;
		}

		this.#lastCallAt = performance.now();
		const outcome = await client.reportUsage(report, {holder, fence});
		log.info('usage_reported', {window: report.window, fence, outcome});
		if (outcome === 'fenced') {
			this.#refusedFence = Math.max(this.#refusedFence, fence);
		}

		return outcome === 'accepted';
	}

	/** Returns the current window. */
	#getCurrentWindow(): number {
		const {windowMs, readReferenceMs} = this.#settings;
		return Math.floor(readReferenceMs() / windowMs);
	}
}

function sumCounts(usages: readonly HostUsage[]): Map<string, number> {
	const sums = new Map<string, number>();
	for (const {counts} of usages) {
		for (const [customer, count] of counts) {
			sums.set(customer, (sums.get(customer) ?? 0) + count);
		}
	}

	return sums;
}
