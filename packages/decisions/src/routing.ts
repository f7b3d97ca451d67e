/**
 * Chooses the endpoint for a request.
 *
 * Load pattern: endpoints differ in speed and in queue length. Without balancing by estimated time, work piles up at the slowest endpoint while others
 * are idle. Each decision compares the estimated time of a few randomly drawn candidates: if many entries all took the best of the same lagging reports,
 * they would overload that endpoint together (herd behaviour: Mitzenmacher, 2001). An endpoint that caches the prompt's prefix joins the comparison as
 * long as its load stays within a bound of the mean (bounded loads: Mirrokni, Thorup and Zadimoghaddam, 2018).
 */
import type {Random} from '@wasabiusher/shared';

/** State of an endpoint that routing considers. */
export type Candidate = {
	id: string;
	/** Requests at the endpoint, corrected for the lag of its report. */
	load: number;
	/** Maximum number of concurrent requests. */
	limit: number;
	dataCentre?: string;
	/** Measured time of a similar request at the endpoint, in milliseconds; 1 if unknown. */
	serviceMs?: number;
	/** Fraction of the request's work that the endpoint's cache saves, from 0 to 1. */
	cached?: number;
	/** Refuses new work; excluded immediately, whatever the membership list says. */
	isLeaving?: boolean;
	/** Ejected because of its observed failures or slowness. */
	isEjected?: boolean;
};

/** Options of a routing decision. */
export type RoutingOptions = {
	/** Data centre of this entry; without it all candidates count as local. */
	dataCentre?: string;
	/** Cost of routing to another data centre, in milliseconds. */
	spilloverMs?: number;
	/** Number of randomly drawn candidates to compare, in addition to those that cache the prompt's prefix. */
	choices?: number;
};

/**
 * Number of candidates to compare. In `npm run experiment -- --sweep` (8 entries, 64 endpoints, 85% load, reports 500 ms late, calls of 200 ms) p99 is
 * 516 ms with one candidate, 437 with two, 426 with four and 437 with all 64. With uncorrected reports it is 1,940 ms with two and 5,420 with all, so
 * the number is kept small in case the estimates are worse than assumed.
 */
export const defaultChoices = 4;

/**
 * Cost of routing to another data centre, in milliseconds: the round trip at 1.5 ms one way in both deployments, and a margin so that small differences,
 * which lagging reports can't show, don't move work across data centres.
 */
export const defaultSpilloverMs = 25;

/**
 * Maximum utilization, relative to the mean, at which an endpoint is preferred for its cache. In the same sweep the fraction of shared prompts that is
 * computed again is 0.68 at 1, 0.46 at 1.25 and 0.44 at 1.5 and 2; p99 is 447, 426, 424 and 429 ms.
 */
const maxAffinityRatio = 1.25;

/** Returns the candidate with the shortest estimated time, with ties broken at random; undefined if no candidate is usable. */
export function chooseEndpoint(candidates: readonly Candidate[], random: Random, options: RoutingOptions = {}): Candidate | undefined {
	const usable = candidates.filter(({isLeaving, isEjected}) => !isLeaving && !isEjected);
	const local = usable.filter(candidate => isLocal(candidate, options));
	const remote = local.length === usable.length ? [] : usable.filter(candidate => !isLocal(candidate, options));
	const choices = options.choices ?? defaultChoices;
	const cached = listPrefixHolders(usable);
	const sampled = [...drawRandomly(preferFreeSlots(local), choices, random), ...drawRandomly(preferFreeSlots(remote), choices, random)];
	return findFastest([...sampled, ...cached], new Set(cached), options);
}

function isLocal({dataCentre}: Candidate, options: RoutingOptions): boolean {
	return options.dataCentre === undefined || dataCentre === undefined || dataCentre === options.dataCentre;
}

/** Returns the candidates with a free slot, or all candidates if none has one; a draw of a few from all could miss the last free slots. */
function preferFreeSlots(candidates: readonly Candidate[]): readonly Candidate[] {
	const open = candidates.filter(({load, limit}) => load < limit);
	return open.length > 0 ? open : candidates;
}

/** Draws `count` candidates in random order by a partial Fisher–Yates shuffle. */
function drawRandomly(items: readonly Candidate[], count: number, random: Random): Candidate[] {
	const pool = [...items];
	const drawn = Math.min(count, pool.length);
	for (let i = 0; i < drawn; i++) {
		const j = random.integer(i, pool.length - 1);
		[pool[i], pool[j]] = [pool[j]!, pool[i]!];
	}

	return pool.slice(0, drawn);
}

/** Returns the candidates that cache part of the prompt and whose load is within the bound. */
function listPrefixHolders(candidates: readonly Candidate[]): Candidate[] {
	if (!candidates.some(({cached}) => cached !== undefined && cached > 0)) {
		return [];
	}

	const total = candidates.reduce((sum, candidate) => sum + estimateUtilization(candidate), 0);
	const maxUtilization = maxAffinityRatio * total / candidates.length;
	// An idle endpoint is within any bound.
	return candidates.filter(candidate => (candidate.cached ?? 0) > 0 && estimateUtilization(candidate) <= Math.max(maxUtilization, 1 / candidate.limit));
}

/** Returns the candidate with the shortest estimated time, including the cost of another data centre and the time that the cache saves. */
function findFastest(candidates: readonly Candidate[], cached: ReadonlySet<Candidate>, options: RoutingOptions): Candidate | undefined {
	let best: Candidate | undefined;
	let bestMs = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const distanceMs = isLocal(candidate, options) ? 0 : options.spilloverMs ?? defaultSpilloverMs;
		const savedMs = cached.has(candidate) ? (candidate.serviceMs ?? 1) * candidate.cached! : 0;
		const timeMs = estimateTimeMs(candidate) + distanceMs - savedMs;
		if (timeMs < bestMs) {
			best = candidate;
			bestMs = timeMs;
		}
	}

	return best;
}

/** Utilization of an endpoint after the request has been added: load over limit. */
function estimateUtilization({load, limit}: Candidate): number {
	return (load + 1) / Math.max(1, limit);
}

/** Estimated time of the request at an endpoint, in milliseconds: batching slows all running requests, and requests beyond the limit wait. */
export function estimateTimeMs(candidate: Candidate): number {
	const utilization = estimateUtilization(candidate);
	return (candidate.serviceMs ?? 1) * (utilization + Math.max(0, utilization - 1));
}
