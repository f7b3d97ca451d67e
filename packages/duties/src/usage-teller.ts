/**
 * Tells the store what this host has counted.
 *
 * Load pattern: a few requests a second on each of many hosts, of which some are killed at any moment. Counts are written soon after each change, so that
 * a host that is killed loses a fraction of a second of them; and once more when the window can't change any more, so that whoever reports
 * it waits for nobody else.
 */
import {describeError, RepeatedFailures, type Log} from '@wasabiusher/shared';
import {UsageCounts, type UsageMark} from './usage-counts.js';
import type {HostUsage, UsageStore} from './usage-store.js';

/** Least time from a change until it is written, in milliseconds. */
const leastDelayMs = 150;

/** Time for each host by which that delay grows, in milliseconds: all hosts together write some hundred rows a second at most. */
const delayMsPerHost = 1.5;

/** Time after a window's end from which its counts can't change any more, in milliseconds: an attempt that could not be sent is known to have failed. */
const settleMs = 500;

/** Pause after a failed write, in milliseconds. */
const retryMs = 200;

export type UsageTellerSettings = {
	store: UsageStore;
	host: string;
	/** Names this start of the process. */
	incarnation: string;
	/** Length of a window, in milliseconds. */
	windowMs: number;
	log: Log;
	/** True time, in milliseconds since the start of 1970. */
	readTrueMs(): number;
	/** Hosts of the deployment, as far as known. */
	countHosts(): number;
	/** A number in [0, 1). */
	chance(): number;
};

/** Counts requests and writes the counts. */
export class UsageTeller {
	readonly #settings: UsageTellerSettings;
	readonly #counts: UsageCounts;
	readonly #failures: RepeatedFailures;
	/** The last window that was told as final. */
	#finalWindow: number;
	/** Windows that were over and must be told as final. */
	readonly #over = new Set<number>();
	#writeTimer: NodeJS.Timeout | undefined;
	#endTimer: NodeJS.Timeout | undefined;
	#writing: Promise<void> | undefined;
	/** Raised after each write that may still be performed, so that it can't take the place of a later one. */
	#revision = 0;
	#isLeaving = false;
	#isStopped = false;

	constructor(settings: UsageTellerSettings) {
		this.#settings = settings;
		this.#failures = new RepeatedFailures({log: settings.log, event: 'usage_not_told', overEvent: 'usage_told_again'});
		this.#counts = new UsageCounts(settings.windowMs, settings.readTrueMs, () => {
			this.#planWrite();
		});
		this.#finalWindow = this.#findSettled();
	}

	/** Counts a request of a customer that is sent to an endpoint now. */
	begin(customer: string): UsageMark {
		return this.#counts.begin(customer);
	}

	start(): void {
		this.#planEnd();
	}

	/** Tells the last counts of a process that takes no more requests, so that nobody waits for it. Never rejects. */
	async leave(): Promise<void> {
		this.stop();
		const {windowMs, readTrueMs} = this.#settings;
		const current = Math.floor(readTrueMs() / windowMs);
		this.#finalWindow = current;
		this.#isLeaving = true;
		this.#over.add(current);
		await this.#writing;
		await this.#write();
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#writeTimer);
		clearTimeout(this.#endTimer);
	}

	/** The newest window that can't change any more. */
	#findSettled(): number {
		const {windowMs, readTrueMs} = this.#settings;
		return Math.floor((readTrueMs() - settleMs) / windowMs) - 1;
	}

	#planEnd(): void {
		const {windowMs, readTrueMs, chance} = this.#settings;
		const untilEndMs = windowMs - (readTrueMs() % windowMs);
		this.#endTimer = setTimeout(() => {
			this.#noteEnd();
			this.#planEnd();
		}, untilEndMs + settleMs + (chance() * this.#delayMs));
	}

	#noteEnd(): void {
		const settled = this.#findSettled();
		if (settled <= this.#finalWindow) {
			return;
		}

		// A process that stood still through several windows has nothing to tell of those in between but what it has counted.
		this.#over.add(settled);
		this.#finalWindow = settled;
		void this.#write();
	}

	get #delayMs(): number {
		return Math.max(leastDelayMs, delayMsPerHost * this.#settings.countHosts());
	}

	#planWrite(delayMs = this.#delayMs): void {
		if (this.#isStopped) {
			return;
		}

		this.#writeTimer ??= setTimeout(() => {
			this.#writeTimer = undefined;
			void this.#write();
		}, delayMs);
	}

	async #write(): Promise<void> {
		if (this.#writing) {
			this.#planWrite();
			return;
		}

		const windows = [...new Set([...this.#counts.listDirty(), ...this.#over])];
		if (windows.length === 0) {
			return;
		}

		this.#writing = this.#tell(windows);
		await this.#writing;
		this.#writing = undefined;
	}

	/** Tells the counts of some windows as they are now; never rejects. */
	async #tell(windows: readonly number[]): Promise<void> {
		const {store} = this.#settings;
		const usages = windows.map(window => this.#toUsage(window));
		for (const window of windows) {
			this.#counts.markTold(window);
		}

		try {
			await store.tell(usages);
			this.#failures.recover();
			for (const window of windows) {
				this.#over.delete(window);
			}
		} catch (error) {
			this.#revision += 1;
			for (const window of windows) {
				this.#counts.markUntold(window);
			}

			this.#failures.record({windows: windows.join(','), reason: describeError(error)});
			this.#planWrite(retryMs);
		}
	}

	#toUsage(window: number): HostUsage {
		const {host, incarnation} = this.#settings;
		return {
			window, host, incarnation, revision: this.#revision, isFinal: window <= this.#finalWindow, isLast: this.#isLeaving, counts: this.#counts.read(window),
		};
	}
}
