/**
 * Decides when the counts of a window are complete enough to be reported.
 *
 * Load pattern: hosts write their counts some tenths of a second after a window's end, unless they are cut off from the store, frozen or killed. A window
 * that is closed at once misses the counts of slow hosts; one that is closed only when all hosts have written is delayed by a dead host until the report is due.
 */
import {groupBy} from '@wasabiusher/shared';

/** Fraction of the time until a report is due after which missing hosts are not waited for. */
const maxWaitRatio = 0.7;

/** Counts of one window as one start of a host's process has written them. */
export type RecordedUsage = {
	host: string;
	/** Unique for each start of the process. */
	incarnation: string;
	/** Whether its counts of the window can't change any more. */
	isFinal: boolean;
	/** Whether the process is shutting down, so that it writes no counts of later windows. */
	isLast: boolean;
};

/** What is known of a window when its closing is decided. */
export type WindowState = {
	/** Time since the window's end, in milliseconds. */
	sinceEndMs: number;
	/** Time after its end at which the report is due, in milliseconds. */
	dueMs: number;
	recorded: readonly RecordedUsage[];
	/** Hosts that have written counts of recent windows. */
	expectedHosts: Iterable<string>;
};

/** Whether a window is reported with its current counts. */
export function shouldClose({sinceEndMs, dueMs, recorded, expectedHosts}: WindowState): boolean {
	if (sinceEndMs < 0) {
		return false;
	}

	if (sinceEndMs >= maxWaitRatio * dueMs) {
		return true;
	}

	const byHost = groupBy(recorded, ({host}) => host);
	const hosts = [...new Set([...byHost.keys(), ...expectedHosts])];
	return hosts.length > 0 && hosts.every(host => isComplete(byHost.get(host) ?? []));
}

/** Whether one host will write no more counts of the window. */
function isComplete(usages: readonly RecordedUsage[]): boolean {
	// Final counts of a host's next start prove that a killed process has ended.
	return usages.some(({isFinal, isLast}) => isFinal && !isLast) || (usages.length > 0 && usages.every(({isFinal}) => isFinal));
}
