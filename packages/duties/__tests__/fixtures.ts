/** Hosts that count and report usage, with one store, one platform and a fake clock. */
import {
	createSilentLog, Random,
} from '@wasabiusher/shared';
import {MemoryDuties, MemoryRowStore} from '@wasabiusher/standins';
import {
	UsageReporter, UsageStore, UsageRecorder,
} from '../src/index.js';

export const windowMs = 5000;
export const dueMs = 10_000;

/** Holder of the duty; changed by tests. */
export type Duty = {holder: string; fence: number; /** Remaining time of the right, in milliseconds. */ remainingMs: number};

export type Host = {
	store: MemoryRowStore;
	recorder: UsageRecorder;
	reporter: UsageReporter;
	/** Stops the host as a kill would. */
	kill(): void;
};

export type World = {
	root: MemoryRowStore;
	duties: MemoryDuties;
	duty: Duty;
	/** Passes the duty to another host. */
	passDuty(holder: string): void;
	createHost(name: string): Host;
};

export function createWorld(): World {
	const root = new MemoryRowStore();
	const duties = new MemoryDuties();
	const duty: Duty = {holder: '', fence: 0, remainingMs: 2700};
	const log = createSilentLog();
	const readTrueMs = () => Date.now();
	let hostCount = 0;
	return {
		root,
		duties,
		duty,
		passDuty(holder) {
			duty.holder = holder;
			duty.fence += 1;
		},
		createHost(name) {
			hostCount += 1;
			const rows = root.createView();
			const random = new Random(hostCount);
			const store = new UsageStore(rows);
			const recorder = new UsageRecorder({
				store, host: name, incarnation: `${name}-${hostCount}`, windowMs, readReferenceMs: readTrueMs, countHosts: () => hostCount, chance: () => random.next(), log,
			});
			const right = {
				holds: (effectMs = 0) => duty.holder === name && effectMs < duty.remainingMs,
				get fence() {
					return duty.holder === name ? duty.fence : 0;
				},
			};
			const reporter = new UsageReporter({
				store, client: duties, lease: right, holder: name, windowMs, dueMs, readReferenceMs: readTrueMs, log, sendMarginMs: 1500,
			});
			recorder.start();
			reporter.start();
			return {
				store: rows,
				recorder,
				reporter,
				kill() {
					rows.switches.isDown = true;
					recorder.stop();
					reporter.stop();
				},
			};
		},
	};
}
