/**
 * The platform's calls that are one host's duty at a time, held in memory, with what goes wrong there.
 */
import {
	PlatformError, type DutyClient, type DutyOutcome, type DutyRight, type UsageReport,
} from '@wasabiusher/backends';

/** Set at any time; they hold for calls that begin afterwards. */
export type DutySwitches = {
	/** Performs nothing and answers nothing. */
	isDown: boolean;
	/** Refuses calls with a lower fence than the highest seen. */
	checksFences: boolean;
	/** How many of the next calls are performed and lose their answer. */
	answersToLose: number;
	/** How many of the next calls lose their answer and are performed only after `lateMs`. */
	callsToDelay: number;
	lateMs: number;
	/** How many of the next calls are refused as too many. */
	callsToLimit: number;
};

/** A call that the platform has performed. */
export type PerformedReport = DutyRight & {window: number; counts: Record<string, number>; at: number};

/** Accepts reports, and notes what must never happen. */
export class MemoryDuties implements DutyClient {
	readonly switches: DutySwitches = {
		isDown: false, checksFences: true, answersToLose: 0, callsToDelay: 0, lateMs: 2000, callsToLimit: 0,
	};

	/** Calls that were accepted, in their order. */
	readonly performed: PerformedReport[] = [];
	/** Calls that were refused for their fence. */
	readonly fenced: PerformedReport[] = [];
	/** What the platform would complain of: two reports of a window, two holders with one fence. */
	readonly breaches: string[] = [];
	#highest = 0;

	async reportUsage(report: UsageReport, right: DutyRight): Promise<DutyOutcome> {
		const {switches} = this;
		if (switches.isDown) {
			throw new PlatformError('unknown', 'no answer');
		}

		if (switches.callsToLimit > 0) {
			switches.callsToLimit -= 1;
			return 'limited';
		}

		if (switches.callsToDelay > 0) {
			switches.callsToDelay -= 1;
			setTimeout(() => {
				this.#perform(report, right);
			}, switches.lateMs);
			throw new PlatformError('unknown', 'no answer');
		}

		const outcome = this.#perform(report, right);
		if (switches.answersToLose > 0) {
			switches.answersToLose -= 1;
			throw new PlatformError('unknown', 'the answer was lost');
		}

		return outcome;
	}

	/** The counts that were accepted first of each window. */
	readAccepted(): Map<number, Record<string, number>> {
		const accepted = new Map<number, Record<string, number>>();
		for (const {window, counts} of this.performed) {
			accepted.set(window, accepted.get(window) ?? counts);
		}

		return accepted;
	}

	#perform({window, counts}: UsageReport, {holder, fence}: DutyRight): DutyOutcome {
		const call = {
			holder, fence, window, counts: Object.fromEntries([...counts].toSorted(([a], [b]) => a < b ? -1 : 1)), at: Date.now(),
		};
		if (this.switches.checksFences && fence < this.#highest) {
			this.fenced.push(call);
			return 'fenced';
		}

		this.#highest = Math.max(this.#highest, fence);
		this.#check(call);
		this.performed.push(call);
		return 'accepted';
	}

	#check(call: PerformedReport): void {
		for (const other of this.performed) {
			if (other.window === call.window && JSON.stringify(other.counts) !== JSON.stringify(call.counts)) {
				this.breaches.push(`window ${call.window} was reported with other counts`);
			}

			if (other.fence === call.fence && other.holder !== call.holder) {
				this.breaches.push(`${call.holder} and ${other.holder} have acted under the fence ${call.fence}`);
			}
		}
	}
}
