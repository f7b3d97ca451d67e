/**
 * Reports the usage of each window, on the host that holds the duty.
 *
 * Load pattern: the holder is killed, frozen or cut off at any moment, its calls are answered late or never and performed seconds later. What is
 * reported is fixed in the store before it is sent, and sent again until it is confirmed, so that each window is told once and
 * the same whoever tells it.
 */
import type {DutyClient} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';
import {shouldClose} from './closing.js';
import type {HostUsage, StoredReport, UsageStore} from './usage-store.js';

/** Time between looks at what is due, in milliseconds. */
const lookMs = 250;

/** Windows for which a host that tells nothing is waited for: it is cut off from the store for some seconds, or gone. */
const expectedWindows = 4;

/** Windows that are made up for after an outage; older ones are not reported any more. */
const maxOwedWindows = 24;

/** Windows whose rows are kept, so that a late successor finds what was reported; and windows between two removals of older ones. */
const keptWindows = 48;
const sweptWindows = 12;

/** Leave to act for all; to be asked right before each call. */
export type DutyHolding = {
	/** Goes up with each change of the holder. */
	readonly fence: number;
	holds(roomMs?: number): boolean;
};

export type UsageReporterSettings = {
	store: UsageStore;
	client: DutyClient;
	right: DutyHolding;
	/** Time for which the right must last beyond the send of a report, in milliseconds; 0 where the platform refuses an old fence itself. */
	sendRoomMs?: number;
	/** Name of the host. */
	holder: string;
	/** Length of a window, in milliseconds. */
	windowMs: number;
	/** Time after a window's end at which its report is due, in milliseconds. */
	dueMs: number;
	log: Log;
	/** True time, in milliseconds since the start of 1970. */
	readTrueMs(): number;
};

/** Reports windows while this host holds the duty. */
export class UsageReporter {
	readonly #settings: UsageReporterSettings;
	/** The fence under which what follows is known; what is known without the duty may be out of date. */
	#fence = 0;
	/** The highest fence that the platform has refused; nothing is sent under it again. */
	#refusedFence = 0;
	/** Reports that are fixed and not confirmed, by window. */
	readonly #unsent = new Map<number, StoredReport>();
	#nextWindow = 0;
	/** The last window that each host has told. */
	readonly #toldBy = new Map<string, number>();
	#actedAt = Number.NEGATIVE_INFINITY;
	#timer: NodeJS.Timeout | undefined;
	#isLooking = false;

	constructor(settings: UsageReporterSettings) {
		this.#settings = settings;
	}

	/** Time since the platform was last called, in milliseconds; infinite if it never was. */
	get sinceActMs(): number {
		return performance.now() - this.#actedAt;
	}

	start(): void {
		this.#timer = setInterval(() => {
			void this.look();
		}, lookMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Reports what is due, if this host holds the duty. Never rejects. */
	async look(): Promise<void> {
		if (this.#isLooking) {
			return;
		}

		this.#isLooking = true;
		try {
			if (this.#mayAct()) {
				await this.#learn();
				await this.#closeDue();
				await this.#sendAll();
			}
		} catch (error) {
			this.#settings.log.info('usage_not_reported', {window: this.#nextWindow, reason: describeError(error)});
		} finally {
			this.#isLooking = false;
		}
	}

	#mayAct(): boolean {
		const {right} = this.#settings;
		return right.holds() && right.fence > this.#refusedFence;
	}

	/** Learns what earlier holders have left, once for each fence. */
	async #learn(): Promise<void> {
		const {store, right, log} = this.#settings;
		const {fence} = right;
		if (this.#fence === fence) {
			return;
		}

		const current = this.#findWindow();
		const oldest = current - maxOwedWindows;
		const [reports, oldestTold] = await Promise.all([store.readReports(oldest), store.findOldestTold()]);
		this.#unsent.clear();
		for (const report of reports.filter(({isSent}) => !isSent)) {
			this.#unsent.set(report.window, report);
		}

		const last = reports.at(-1)?.window;
		this.#nextWindow = last === undefined ? Math.max(oldest, oldestTold ?? current) : last + 1;
		await this.#expectHosts();
		this.#fence = fence;
		log.info('usage_taken_over', {fence, window: this.#nextWindow, unsent: this.#unsent.size});
	}

	/** Finds which hosts have told the windows before the next one. */
	async #expectHosts(): Promise<void> {
		const windows = Array.from({length: expectedWindows}, (_, i) => this.#nextWindow - expectedWindows + i);
		const told = await Promise.all(windows.map(async window => this.#settings.store.readTold(window)));
		this.#toldBy.clear();
		for (const usages of told) {
			this.#noteTold(usages);
		}
	}

	#noteTold(usages: readonly HostUsage[]): void {
		for (const {host, window} of usages) {
			this.#toldBy.set(host, window);
		}

		for (const {host} of usages.filter(({isLast}) => isLast)) {
			this.#toldBy.delete(host);
		}
	}

	async #closeDue(): Promise<void> {
		const {windowMs, dueMs, readTrueMs, store} = this.#settings;
		while (this.#mayAct() && this.#nextWindow < this.#findWindow()) {
			const window = this.#nextWindow;
			// Windows are closed in their order.
			// eslint-disable-next-line no-await-in-loop
			const told = await store.readTold(window);
			const sinceEndMs = readTrueMs() - ((window + 1) * windowMs);
			const expected = [...this.#toldBy].filter(([, last]) => last >= window - expectedWindows).map(([host]) => host);
			if (!shouldClose({
				sinceEndMs, dueMs, told, expected,
			})) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			if (!await this.#fix(window, told, sinceEndMs)) {
				return;
			}
		}
	}

	/** Fixes what is reported of a window; false if the store has a report already, which is learnt first. */
	async #fix(window: number, told: readonly HostUsage[], sinceEndMs: number): Promise<boolean> {
		const {store, log} = this.#settings;
		const counts = sumCounts(told);
		const report = await store.fix({window, counts});
		if (!report) {
			// Another holder was first, or a write of this one whose answer was lost: what the store has is what counts.
			this.#fence = 0;
			return false;
		}

		this.#unsent.set(window, report);
		log.info('usage_closed', {
			window, hosts: told.length, missing: told.filter(({isFinal}) => !isFinal).length, customers: counts.size, sinceEndMs: Math.round(sinceEndMs),
		});
		this.#nextWindow = window + 1;
		this.#noteTold(told);
		if (window % sweptWindows === 0) {
			await store.forgetBefore(window - keptWindows);
		}

		return true;
	}

	async #sendAll(): Promise<void> {
		const {store} = this.#settings;
		for (const report of [...this.#unsent.values()].toSorted((a, b) => a.window - b.window)) {
			// One after the other: the platform limits the calls of all hosts together.
			// eslint-disable-next-line no-await-in-loop
			if (!this.#mayAct() || !await this.#send(report)) {
				return;
			}

			this.#unsent.delete(report.window);
			// A successor that does not find the note sends the same once more, which does no harm.
			// eslint-disable-next-line no-await-in-loop
			await store.markSent(report);
		}
	}

	/** Sends one report; false if it has to be sent again. */
	async #send(report: StoredReport): Promise<boolean> {
		const {client, right, holder, log, sendRoomMs} = this.#settings;
		const {fence} = right;
		if (fence === 0 || !right.holds(sendRoomMs)) {
			return false;
		}

		this.#actedAt = performance.now();
		const outcome = await client.reportUsage(report, {holder, fence});
		log.info('usage_reported', {window: report.window, fence, outcome});
		if (outcome === 'fenced') {
			this.#refusedFence = Math.max(this.#refusedFence, fence);
		}

		return outcome === 'accepted';
	}

	/** The window of now. */
	#findWindow(): number {
		const {windowMs, readTrueMs} = this.#settings;
		return Math.floor(readTrueMs() / windowMs);
	}
}

function sumCounts(told: readonly HostUsage[]): Map<string, number> {
	const sums = new Map<string, number>();
	for (const {counts} of told) {
		for (const [customer, count] of counts) {
			sums.set(customer, (sums.get(customer) ?? 0) + count);
		}
	}

	return sums;
}
