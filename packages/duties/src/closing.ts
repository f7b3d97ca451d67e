/**
 * When the counts of a window are whole enough to be reported.
 *
 * Load pattern: hosts tell their counts some tenths of a second after a window's end, unless they are cut off from the store, frozen or killed. Closed at
 * once, a window lacks what a slow host has counted; closed only when everyone has told, a dead host holds it until the report is due.
 */
import {groupBy} from '@wasabiusher/shared';

/** Part of the time until a report is due after which the hosts that are still missing are not waited for. */
const latestRatio = 0.7;

/** What one start of a host's process has told of a window. */
export type ToldUsage = {
	host: string;
	/** Names the start. */
	incarnation: string;
	/** Whether its counts can't change any more. */
	isFinal: boolean;
	/** Whether the process leaves, so that it tells nothing of later windows. */
	isLast: boolean;
};

export type ClosingSituation = {
	/** Time since the window's end, in milliseconds. */
	sinceEndMs: number;
	/** Time after its end at which the report is due, in milliseconds. */
	dueMs: number;
	told: readonly ToldUsage[];
	/** Hosts that have told other windows of late. */
	expected: Iterable<string>;
};

/** Whether a window is reported as it is now. */
export function shouldClose({sinceEndMs, dueMs, told, expected}: ClosingSituation): boolean {
	if (sinceEndMs < 0) {
		return false;
	}

	if (sinceEndMs >= latestRatio * dueMs) {
		return true;
	}

	const byHost = groupBy(told, ({host}) => host);
	const hosts = [...new Set([...byHost.keys(), ...expected])];
	return hosts.length > 0 && hosts.every(host => isComplete(byHost.get(host) ?? []));
}

/** Whether nothing more is to be heard of one host. */
function isComplete(told: readonly ToldUsage[]): boolean {
	// Of a process that was killed the next start of its host tells that it is gone.
	return told.some(({isFinal, isLast}) => isFinal && !isLast) || (told.length > 0 && told.every(({isFinal}) => isFinal));
}
