/**
 * Decides which host may try a request again after its quarantine.
 *
 * Load pattern: a quarantine ends on all hosts at the same moment, while callers still send the request. Without turns each host lets it through, and
 * each copy crashes an endpoint before any host knows of the first crash.
 */

/** Time for one trial, in milliseconds: by its end all hosts know whether an endpoint has crashed. A trial may begin in the first half. */
export const trialMs = 6000;

export type TrialTurn = {
	/** Rank of this host among all hosts for this request, from 0. */
	rank: number;
	hostCount: number;
	/** Time since the end of the quarantine, in milliseconds. */
	sinceTermMs: number;
};

/** Time until the turn of this host to try the request, in milliseconds; 0 during its turn. */
export function findTrialDelayMs({rank, hostCount, sinceTermMs}: TrialTurn): number {
	const roundMs = Math.max(1, hostCount) * trialMs;
	const intoTurnMs = sinceTermMs - (rank * trialMs);
	if (intoTurnMs < 0) {
		return -intoTurnMs;
	}

	const intoRoundMs = intoTurnMs % roundMs;
	return intoRoundMs < trialMs / 2 ? 0 : roundMs - intoRoundMs;
}
