/**
 * In-memory stand-in for the platform calls that one host at a time performs as its duty, with injectable failures.
 */
import {
	PlatformError, type DutyClient, type DutyOutcome, type DutyRight, type UsageReport,
} from '@wasabiusher/backends';

/** Fault-injection switches. They can be set at any time and apply to calls that begin afterwards. */
export type DutySwitches = {
	/** Calls have no effect and fail without an answer. */
	isDown: boolean;
	/** Refuses calls with a fence lower than the highest received. */
	checksFences: boolean;
	/** Number of the next calls that are performed and whose answer is lost. */
	answersToLose: number;
	/** Number of the next calls whose answer is lost and that are performed only after `lateMs`. */
	callsToDelay: number;
	/** Delay of delayed calls, in milliseconds. */
	lateMs: number;
	/** Number of the next calls that are refused by the rate limit. */
	callsToLimit: number;
};

/** A call that the platform has received. `at` is in milliseconds since the epoch. */
export type ReceivedReport = DutyRight & {window: number; counts: Record<string, number>; at: number};

/** Accepts usage reports, and records violations of the rules for duties. */
export class MemoryDuties implements DutyClient {
	readonly switches: DutySwitches = {
		isDown: false, checksFences: true, answersToLose: 0, callsToDelay: 0, lateMs: 2000, callsToLimit: 0,
	};

	/** Accepted calls, in order of arrival. */
	readonly performed: ReceivedReport[] = [];
	/** Calls that were refused because of an older fence. */
	readonly fenced: ReceivedReport[] = [];
	/** Violations: different reports for one window, or different holders with the same fence. */
	readonly violations: string[] = [];
	#highestFence = 0;

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

	/** Returns the counts of the first accepted report of each window. */
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
		if (this.switches.checksFences && fence < this.#highestFence) {
			this.fenced.push(call);
			return 'fenced';
		}

		this.#highestFence = Math.max(this.#highestFence, fence);
		this.#checkInvariants(call);
		this.performed.push(call);
		return 'accepted';
	}

	#checkInvariants(call: ReceivedReport): void {
		for (const other of this.performed) {
			if (other.window === call.window && JSON.stringify(other.counts) !== JSON.stringify(call.counts)) {
				this.violations.push(`window ${call.window} was reported again with different counts`);
			}

			if (other.fence === call.fence && other.holder !== call.holder) {
				this.violations.push(`${call.holder} and ${other.holder} both acted under the fence ${call.fence}`);
			}
		}
	}
}
