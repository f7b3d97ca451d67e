/**
 * Decides which endpoints fetch new weights and which swap to them now.
 *
 * Load pattern: new weights for all servers at the same time. Without waves all endpoints request them from a rate-limited store together and stop
 * serving together. Weights are fetched while the endpoint serves, by a few from the store and, if the engines allow it, by the rest from peers; only as
 * many endpoints swap at the same time as interactive callers can spare. A failed swap is retried from another source after the others, and never counts
 * as done.
 *
 * In the model of `weight-waves.spec.ts` 526 endpoints have the weights in 14.5 s with 2% of swaps failing.
 */
import {hashToNumber} from '@wasabiusher/shared';

/** An endpoint in transition to the ordered version. */
export type WeightReplica = {
	id: string;
	state: 'old' | 'fetching' | 'fetched' | 'swapping' | 'current';
	/** Number of failed fetches and swaps to this version. */
	failures: number;
	/** Source of the current or last fetch: `store` or the id of a peer. */
	source?: string;
	/** Time of the next attempt after a failure, on the clock of `now`. */
	retryAt?: number;
};

/** Limits of a rollout of weights. */
export type WaveLimits = {
	/** Number of concurrent fetches that the store serves at full speed. */
	storeStreams: number;
	/** Number of concurrent fetches that one peer serves; 0 if the engines don't serve peers. */
	peerStreams: number;
	/** Number of endpoints that interactive callers need at present; may be fractional. */
	interactiveEndpoints: number;
};

export type WavePlan = {
	fetches: Array<{id: string; source: string}>;
	swaps: string[];
};

/** Additional endpoints to keep serving, as a fraction of those that interactive callers need, to absorb a burst during the swap; the same as in placement. */
const interactiveSpareFraction = 0.25;

/** Maximum fraction of the endpoints that swap at the same time, even if interactive callers need none, so that trainers aren't all stopped together. */
const maxSwappingFraction = 0.5;

/** First delay after a failure, in milliseconds, doubled by each further one; after a third failure an endpoint can still finish within 17 s. */
const initialRetryMs = 500;

/** Number of failures after which an endpoint is left at its old version and reported, until the next version. */
export const maxFailures = 5;

/** Name of the store as the source of a fetch. */
export const storeSource = 'store';

/** Returns what to order now; to be called again whenever a fetch or swap has finished or failed. */
export function planWave(replicas: readonly WeightReplica[], limits: WaveLimits, now: number): WavePlan {
	return {fetches: planFetches(replicas, limits, now), swaps: planSwaps(replicas, limits, now)};
}

/** Returns the state of a replica after a failed fetch or swap: it is fetched again, from another source if one is free. */
export function failReplica(replica: WeightReplica, now: number): WeightReplica {
	const failures = replica.failures + 1;
	return {
		...replica, state: 'old', failures, retryAt: now + (initialRetryMs * (2 ** (failures - 1))),
	};
}

function isRetryDue({failures, retryAt}: WeightReplica, now: number): boolean {
	return failures < maxFailures && (retryAt ?? 0) <= now;
}

function planFetches(replicas: readonly WeightReplica[], limits: WaveLimits, now: number): WavePlan['fetches'] {
	const free = listSources(replicas, limits);
	const waiting = replicas
		.filter(replica => replica.state === 'old' && isRetryDue(replica, now))
		.toSorted((a, b) => a.failures - b.failures || compareByHash(a, b));
	const fetches: WavePlan['fetches'] = [];
	for (const {id, source: lastSource, failures} of waiting) {
		const source = takeSource(free, failures > 0 ? lastSource : undefined);
		if (source === undefined) {
			break;
		}

		fetches.push({id, source});
	}

	return fetches;
}

/** Returns the number of streams that each source can still serve; peers come before the store, which serves those that peers can't. */
function listSources(replicas: readonly WeightReplica[], {storeStreams, peerStreams}: WaveLimits): Map<string, number> {
	const free = new Map<string, number>();
	for (const {id, state} of replicas) {
		if (state === 'fetched' || state === 'current') {
			free.set(id, peerStreams);
		}
	}

	free.set(storeSource, storeStreams);
	for (const {state, source} of replicas) {
		if (state === 'fetching' && source !== undefined && free.has(source)) {
			free.set(source, free.get(source)! - 1);
		}
	}

	return free;
}

function takeSource(free: Map<string, number>, avoid: string | undefined): string | undefined {
	for (const [source, streams] of free) {
		if (streams <= 0) {
			free.delete(source);
		} else if (source !== avoid) {
			free.set(source, streams - 1);
			return source;
		}
	}

	// The failed source is better than none.
	const last = avoid === undefined ? 0 : free.get(avoid) ?? 0;
	if (last > 0) {
		free.set(avoid!, last - 1);
		return avoid;
	}

	return undefined;
}

function planSwaps(replicas: readonly WeightReplica[], {interactiveEndpoints}: WaveLimits, now: number): string[] {
	const needed = Math.ceil(interactiveEndpoints * (1 + interactiveSpareFraction));
	const maxSwapping = Math.max(1, Math.min(replicas.length - needed, Math.floor(maxSwappingFraction * replicas.length)));
	const swapping = replicas.filter(({state}) => state === 'swapping').length;
	return replicas
		.filter(replica => replica.state === 'fetched' && isRetryDue(replica, now))
		.toSorted((a, b) => a.failures - b.failures || compareByHash(a, b))
		.slice(0, Math.max(0, maxSwapping - swapping))
		.map(({id}) => id);
}

/** Orders replicas by hash, which spreads a wave over racks and data centres, as names usually follow them. */
function compareByHash(a: WeightReplica, b: WeightReplica): number {
	return hashToNumber(a.id) - hashToNumber(b.id) || a.id.localeCompare(b.id);
}
