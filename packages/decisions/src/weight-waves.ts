/**
 * Which endpoints fetch new weights and which swap to them now.
 *
 * Load pattern: new weights for all servers at once. Without waves all endpoints ask a rate-limited store together and stop
 * serving together. Weights are fetched beside the serving, from the store by a few and from peers by the rest if the
 * engines allow; endpoints swap as many at a time as interactive callers can spare. A swap that fails is tried
 * again from another source after the others, and is never counted as done.
 *
 * In the model of `weight-waves.spec.ts` 526 endpoints have the weights in 14.5 s with 2% of swaps failing.
 */
import {hashToNumber} from '@wasabiusher/shared';

/** An endpoint on its way to the ordered version. */
export type Replica = {
	id: string;
	state: 'old' | 'fetching' | 'fetched' | 'swapping' | 'current';
	/** Failed fetches and swaps to this version. */
	failures: number;
	/** Source of the fetch under way or last made: `store` or a peer. */
	source?: string;
	/** Not before this time, on the clock of `now`, after a failure. */
	retryAt?: number;
};

/** What a rollout of weights has to respect. */
export type WaveLimits = {
	/** Fetches that the store serves at once at full speed. */
	storeStreams: number;
	/** Fetches that one peer serves at once; 0 if the engines don't serve peers. */
	peerStreams: number;
	/** Endpoints that interactive callers need at present, a fraction included. */
	interactiveEndpoints: number;
};

export type WavePlan = {
	fetches: Array<{id: string; source: string}>;
	swaps: string[];
};

/** Endpoints kept besides those that interactive callers need, as a part of them: a burst during the swap; as placement keeps. */
const interactiveSpareFraction = 0.25;

/** Most of the endpoints that swap at once even if interactive callers need none, so that trainers aren't all stopped together. */
const maxSwappingFraction = 0.5;

/** First wait after a failure, in milliseconds, doubled by each further one; a third failure leaves it within 17 s still. */
const initialRetryMs = 500;

/** Failures after which an endpoint is left at its old version and reported, until the next version. */
export const maxFailures = 5;

/** The source `store` of a fetch. */
export const storeSource = 'store';

/** What to order now; to be asked again whenever something has finished or failed. */
export function planWave(replicas: readonly Replica[], limits: WaveLimits, now: number): WavePlan {
	return {fetches: planFetches(replicas, limits, now), swaps: planSwaps(replicas, limits, now)};
}

/** State of a replica after a failed fetch or swap: fetched again, from another source if one is free. */
export function failReplica(replica: Replica, now: number): Replica {
	const failures = replica.failures + 1;
	return {
		...replica, state: 'old', failures, retryAt: now + (initialRetryMs * (2 ** (failures - 1))),
	};
}

function isRetryDue({failures, retryAt}: Replica, now: number): boolean {
	return failures < maxFailures && (retryAt ?? 0) <= now;
}

function planFetches(replicas: readonly Replica[], limits: WaveLimits, now: number): WavePlan['fetches'] {
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

/** Streams that sources can still serve; peers before the store, which serves those that peers can't. */
function listSources(replicas: readonly Replica[], {storeStreams, peerStreams}: WaveLimits): Map<string, number> {
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

	// The source that failed is better than none.
	const last = avoid === undefined ? 0 : free.get(avoid) ?? 0;
	if (last > 0) {
		free.set(avoid!, last - 1);
		return avoid;
	}

	return undefined;
}

function planSwaps(replicas: readonly Replica[], {interactiveEndpoints}: WaveLimits, now: number): string[] {
	const needed = Math.ceil(interactiveEndpoints * (1 + interactiveSpareFraction));
	const maxSwapping = Math.max(1, Math.min(replicas.length - needed, Math.floor(maxSwappingFraction * replicas.length)));
	const swapping = replicas.filter(({state}) => state === 'swapping').length;
	return replicas
		.filter(replica => replica.state === 'fetched' && isRetryDue(replica, now))
		.toSorted((a, b) => a.failures - b.failures || compareByHash(a, b))
		.slice(0, Math.max(0, maxSwapping - swapping))
		.map(({id}) => id);
}

/** An order that spreads a wave over racks and data centres, which names usually follow. */
function compareByHash(a: Replica, b: Replica): number {
	return hashToNumber(a.id) - hashToNumber(b.id) || a.id.localeCompare(b.id);
}
