/** Hosts that count and report usage, over one store and one platform, under a paused clock. */
import {
	createSilentLog, Random,
} from '@wasabiusher/shared';
import {MemoryDuties, MemoryRowStore} from '@wasabiusher/standins';
import {
	UsageReporter, UsageStore, UsageTeller,
} from '../src/index.js';

export const windowMs = 5000;
export const dueMs = 10_000;

/** Who holds the duty; changed by tests. */
export type Duty = {holder: string; fence: number; /** Time that the right lasts, in milliseconds. */ leftMs: number};

export type Host = {
	store: MemoryRowStore;
	teller: UsageTeller;
	reporter: UsageReporter;
	/** Ends it as a kill would. */
	kill(): void;
};

export type World = {
	root: MemoryRowStore;
	duties: MemoryDuties;
	duty: Duty;
	/** Gives the duty to another host. */
	pass(holder: string): void;
	createHost(name: string): Host;
};

export function createWorld(): World {
	const root = new MemoryRowStore();
	const duties = new MemoryDuties();
	const duty: Duty = {holder: '', fence: 0, leftMs: 2700};
	const log = createSilentLog();
	const readTrueMs = () => Date.now();
	let hostCount = 0;
	return {
		root,
		duties,
		duty,
		pass(holder) {
			duty.holder = holder;
			duty.fence += 1;
		},
		createHost(name) {
			hostCount += 1;
			const rows = root.createView();
			const random = new Random(hostCount);
			const store = new UsageStore(rows);
			const teller = new UsageTeller({
				store, host: name, incarnation: `${name}-${hostCount}`, windowMs, readTrueMs, countHosts: () => hostCount, chance: () => random.next(), log,
			});
			const right = {
				holds: (roomMs = 0) => duty.holder === name && roomMs < duty.leftMs,
				get fence() {
					return duty.holder === name ? duty.fence : 0;
				},
			};
			const reporter = new UsageReporter({
				store, client: duties, right, holder: name, windowMs, dueMs, readTrueMs, log, sendRoomMs: 1500,
			});
			teller.start();
			reporter.start();
			return {
				store: rows,
				teller,
				reporter,
				kill() {
					rows.switches.isDown = true;
					teller.stop();
					reporter.stop();
				},
			};
		},
	};
}
