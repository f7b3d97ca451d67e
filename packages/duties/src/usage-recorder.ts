/**
 * Writes the counts of this host to the store.
 *
 * Load pattern: a few requests a second on each of many hosts, some of which are killed at any time. Counts are written soon after each change, so that
 * a killed host loses a fraction of a second of them; and again as final when the window can't change any more, so that the reporting host
 * need not wait longer.
 */
import {describeError, RepeatedFailures, type Log} from '@wasabiusher/shared';
import {UsageCounts, type CountedRequest} from './usage-counts.js';
import type {HostUsage, UsageStore} from './usage-store.js';

/** Minimum delay from a change until it is written, in milliseconds. */
const minWriteDelayMs = 150;

/** Delay per host of the deployment if that is longer, in milliseconds: all hosts together write some hundred rows a second at most. */
const writeDelayMsPerHost = 1.5;

/** Time after a window's end from which its counts can't change any more, in milliseconds: attempts that could not be sent have failed by then. */
const settlingMs = 500;

/** Delay before a failed write is retried, in milliseconds. */
const retryDelayMs = 200;

export type UsageRecorderSettings = {
	store: UsageStore;
	host: string;
	/** Unique for each start of the process. */
	incarnation: string;
	/** Length of a window, in milliseconds. */
	windowMs: number;
	log: Log;
	/** Reads the reference time, in milliseconds since the epoch. */
	readReferenceMs(): number;
	/** Returns the number of known hosts of the deployment. */
	countHosts(): number;
	/** Returns a random number in [0, 1). */
	chance(): number;
};

/** Counts requests and writes the counts. */
export class UsageRecorder {
	readonly #settings: UsageRecorderSettings;
	readonly #counts: UsageCounts;
	readonly #failures: RepeatedFailures;
	/** Newest window whose counts are final. */
	#finalWindow: number;
	/** Ended windows whose final counts are not written yet. */
	readonly #endedWindows = new Set<number>();
	#writeTimer: NodeJS.Timeout | undefined;
	#endTimer: NodeJS.Timeout | undefined;
	#pendingWrite: Promise<void> | undefined;
	/** Increased after each failed write, which may still be performed, so that it can't replace a later one. */
	#revision = 0;
	#isLeaving = false;
	#isStopped = false;

	constructor(settings: UsageRecorderSettings) {
		this.#settings = settings;
		this.#failures = new RepeatedFailures({log: settings.log, event: 'usage_not_told', overEvent: 'usage_told_again'});
		this.#counts = new UsageCounts(settings.windowMs, settings.readReferenceMs, () => {
			this.#scheduleWrite();
		});
		this.#finalWindow = this.#getNewestFinalWindow();
	}

	/** Counts a request of a customer that is being sent to an endpoint. */
	begin(customer: string): CountedRequest {
		return this.#counts.begin(customer);
	}

	start(): void {
		this.#scheduleWindowEnd();
	}

	/** Writes the last counts of a process that accepts no more requests, so that no host waits for it. Never rejects. */
	async leave(): Promise<void> {
		this.stop();
		const {windowMs, readReferenceMs} = this.#settings;
		const current = Math.floor(readReferenceMs() / windowMs);
		this.#finalWindow = current;
		this.#isLeaving = true;
		this.#endedWindows.add(current);
		await this.#pendingWrite;
		await this.#write();
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#writeTimer);
		clearTimeout(this.#endTimer);
	}

	/** Returns the newest window that can't change any more. */
	#getNewestFinalWindow(): number {
		const {windowMs, readReferenceMs} = this.#settings;
		return Math.floor((readReferenceMs() - settlingMs) / windowMs) - 1;
	}

	#scheduleWindowEnd(): void {
		const {windowMs, readReferenceMs, chance} = this.#settings;
		const untilEndMs = windowMs - (readReferenceMs() % windowMs);
		this.#endTimer = setTimeout(() => {
			this.#handleWindowEnd();
			this.#scheduleWindowEnd();
		}, untilEndMs + settlingMs + (chance() * this.#writeDelayMs));
	}

	#handleWindowEnd(): void {
		const newestFinal = this.#getNewestFinalWindow();
		if (newestFinal <= this.#finalWindow) {
			return;
		}

		// After a freeze over several windows only the newest is written as final; changed counts of the others are written anyway.
		this.#endedWindows.add(newestFinal);
		this.#finalWindow = newestFinal;
		void this.#write();
	}

	get #writeDelayMs(): number {
		return Math.max(minWriteDelayMs, writeDelayMsPerHost * this.#settings.countHosts());
	}

	#scheduleWrite(delayMs = this.#writeDelayMs): void {
		if (this.#isStopped) {
			return;
		}

		this.#writeTimer ??= setTimeout(() => {
			this.#writeTimer = undefined;
			void this.#write();
		}, delayMs);
	}

	async #write(): Promise<void> {
		if (this.#pendingWrite) {
			this.#scheduleWrite();
			return;
		}

		const windows = [...new Set([...this.#counts.listDirty(), ...this.#endedWindows])];
		if (windows.length === 0) {
			return;
		}

		this.#pendingWrite = this.#writeWindows(windows);
		await this.#pendingWrite;
		this.#pendingWrite = undefined;
	}

	/** Writes the current counts of windows; never rejects. */
	async #writeWindows(windows: readonly number[]): Promise<void> {
		const {store} = this.#settings;
		const usages = windows.map(window => this.#toUsage(window));
		for (const window of windows) {
			this.#counts.markWritten(window);
		}

		try {
			await store.writeCounts(usages);
			this.#failures.recover();
			for (const window of windows) {
				this.#endedWindows.delete(window);
			}
		} catch (error) {
			this.#revision += 1;
			for (const window of windows) {
				this.#counts.markUnwritten(window);
			}

			this.#failures.record({windows: windows.join(','), reason: describeError(error)});
			this.#scheduleWrite(retryDelayMs);
		}
	}

	#toUsage(window: number): HostUsage {
		const {host, incarnation} = this.#settings;
		return {
			window, host, incarnation, revision: this.#revision, isFinal: window <= this.#finalWindow, isLast: this.#isLeaving, counts: this.#counts.read(window),
		};
	}
}
