/**
 * How one endpoint gets to an ordered version: what changes its place in a rollout of weights.
 */
import {failReplica, maxFailures, type Replica} from '@wasabiusher/decisions';

/** Longest time from the answer to a swap until its version shows in a status, in milliseconds; the status goes first. */
const statusTimeoutMs = 3000;

/** Failed fetches after which an endpoint is told to swap all the same: its engine may not know how to fetch ahead. */
const maxFetchFailures = 2;

/** One endpoint on its way to a version. */
export type Progress = {
	replica: Replica;
	fetchFailures: number;
	/** What the last failure was. */
	detail: string;
	/** When a swap was said to be done that no status shows, on the monotonic clock. */
	swappedAt?: number;
};

/** An endpoint that has not been ordered anything. */
export function createProgress(agent: string): Progress {
	return {replica: {id: agent, state: 'old', failures: 0}, fetchFailures: 0, detail: ''};
}

/**
 * Takes over what the endpoint reports.
 *
 * @param reported - its version
 * @param wanted - the version of the rollout
 */
export function applyReport(known: Progress, reported: number, wanted: number): Progress {
	const {replica, swappedAt} = known;
	if (reported >= wanted) {
		return {...createProgress(replica.id), replica: {id: replica.id, state: 'current', failures: 0}};
	}

	// It was there and is no longer, or never showed: the engine was started anew.
	const isLost = replica.state === 'current' || (swappedAt !== undefined && performance.now() - swappedAt > statusTimeoutMs);
	return isLost ? createProgress(replica.id) : known;
}

/** An order has failed; the endpoint is tried again later, and told to swap if it can not fetch ahead. */
export function applyFailure(known: Progress, kind: 'prefetch' | 'load', detail: string): Progress {
	const replica = failReplica(known.replica, performance.now());
	const failedFetches = known.fetchFailures + (kind === 'prefetch' ? 1 : 0);
	const state = failedFetches >= maxFetchFailures ? 'fetched' : replica.state;
	return {replica: {...replica, state}, fetchFailures: failedFetches, detail};
}

/** Whether it is left at its version until there is a newer one. */
export function isStuck({state, failures}: Replica): boolean {
	return state !== 'current' && failures >= maxFailures;
}
