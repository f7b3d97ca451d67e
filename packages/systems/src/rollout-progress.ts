/**
 * Tracks how one endpoint gets to an ordered version: the events that change its state in a rollout of weights.
 */
import {failReplica, maxFailures, type WeightReplica} from '@wasabiusher/decisions';

/** Maximum time from the answer to a swap until a status shows its version, in milliseconds; the status is normally sent first. */
const statusTimeoutMs = 3000;

/** Number of failed fetches after which a swap is ordered without one, since the engine may not support prefetching. */
const maxFetchFailures = 2;

/** Progress of one endpoint towards a version. */
export type Progress = {
	replica: WeightReplica;
	fetchFailures: number;
	/** Detail of the last failure; empty if there was none. */
	detail: string;
	/** When a swap was answered as done that no status shows yet, on the monotonic clock. */
	swappedAt?: number;
};

/** Returns the progress of an endpoint that has received no order. */
export function createProgress(agent: string): Progress {
	return {replica: {id: agent, state: 'old', failures: 0}, fetchFailures: 0, detail: ''};
}

/**
 * Updates the progress from a report of the endpoint.
 *
 * @param reported - the version that the endpoint reports
 * @param wanted - the version of the rollout
 */
export function applyReport(known: Progress, reported: number, wanted: number): Progress {
	const {replica, swappedAt} = known;
	if (reported >= wanted) {
		return {...createProgress(replica.id), replica: {id: replica.id, state: 'current', failures: 0}};
	}

	// The version was reported before and is no longer, or was never reported after the swap: the engine was restarted.
	const isLost = replica.state === 'current' || (swappedAt !== undefined && performance.now() - swappedAt > statusTimeoutMs);
	return isLost ? createProgress(replica.id) : known;
}

/** Records a failed order; the endpoint is retried later, and a swap is ordered if it cannot prefetch. */
export function applyFailure(known: Progress, kind: 'prefetch' | 'load', detail: string): Progress {
	const replica = failReplica(known.replica, performance.now());
	const failedFetches = known.fetchFailures + (kind === 'prefetch' ? 1 : 0);
	const state = failedFetches >= maxFetchFailures ? 'fetched' : replica.state;
	return {replica: {...replica, state}, fetchFailures: failedFetches, detail};
}

/** Returns whether an endpoint stays at its version until there is a newer one, after too many failures. */
export function isStuck({state, failures}: WeightReplica): boolean {
	return state !== 'current' && failures >= maxFailures;
}
