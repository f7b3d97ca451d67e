/**
 * Chooses the endpoint for the next attempt where entries call endpoints directly, without an agent.
 *
 * Load pattern: one of six endpoints runs three times slower for some seconds, while several entries send to all of them. Judged by open requests alone,
 * the slow one gets as many as the others and every batch waits for it. Each endpoint is weighed by its expected completion time: its open requests over
 * its slots, times its pace relative to the median pace.
 */
import {findLowerMedian} from '@wasabiusher/shared';

/** An endpoint that could take an attempt. */
export type DirectCandidate = {
	id: string;
	slots: number;
	/** Open requests of this process at the endpoint. */
	open: number;
	/** Open requests of other processes at the endpoint, as last reported; it lags. */
	openElsewhere: number;
	/** Recent time per unit of work, in milliseconds; undefined until measured. */
	paceMs: number | undefined;
	/** Current slowdown factor of its machine, used where its pace is unknown; normally 1. */
	transientFactor?: number;
	/** Whether it caches part of the prompt from an earlier request. */
	hasCachedPrefix: boolean;
	/** Whether it is dedicated to this process for this kind of work. */
	isDedicated: boolean;
	/** Whether this process probably has an idle connection to it. */
	isConnected: boolean;
};

/** Fraction of a request's time saved by a cached prompt, which need not be processed again. Prompts are short compared with generated texts. */
const cachedPrefixAllowance = 0.03;

/**
 * Fraction of a request's time saved by an open connection. It breaks ties between equal endpoints: with calls spread randomly over all endpoints,
 * connections go idle between two calls and each call opens a new one.
 */
const connectedAllowance = 0.02;

/**
 * Fraction of a request's time by which a dedicated endpoint is preferred: more than the slowdown of an endpoint with all slots taken, so that others
 * are used only when no dedicated one is free, and less than the slowdown of a slow endpoint.
 */
const dedicatedAllowance = 0.2;

/** Minimum pace factor credited to a fast endpoint; measured paces of healthy endpoints differ by less. */
const minPaceFactor = 0.6;

/**
 * Slowdown of a request on an endpoint whose slots are all taken, as a fraction of its time on an idle one. An engine that batches loses a twentieth; a
 * slightly larger value spreads the load over equal endpoints.
 */
const crowdingFactor = 0.15;

/** Weights of the preferences among endpoints. */
export type ChoiceWeights = {
	/** Minimum pace factor credited to a fast endpoint. */
	minPaceFactor: number;
	/** Fraction of a request's time by which a dedicated endpoint is preferred. */
	dedicatedAllowance: number;
};

const defaultWeights: ChoiceWeights = {minPaceFactor, dedicatedAllowance};

/** Minimum pace factor where persistent speeds are known; they can differ by any factor. */
const plannedMinPaceFactor = 0.1;

/** Preference for a dedicated endpoint over a faster one, for generations that finish in time on any endpoint. */
const shortGenerationDedicatedAllowance = 0.6;

/** Fraction of the time until a generation is due; a generation that takes longer at a typical endpoint may determine when its step is complete. */
const decidingFraction = 0.5;

/**
 * Returns the weights for a generation: one that may determine when its step is complete goes to the fastest endpoints, even to those filled by other
 * processes; a short one stays on the dedicated endpoints of its host.
 *
 * @param units - expected number of events
 * @param dueInMs - time until the generation is due, in milliseconds; undefined if unknown
 */
export function findGenerationWeights(units: number, dueInMs: number | undefined, medianPaceMs: number | undefined): ChoiceWeights {
	const isDeciding = dueInMs === undefined || medianPaceMs === undefined || units * medianPaceMs > decidingFraction * dueInMs;
	return {minPaceFactor: plannedMinPaceFactor, dedicatedAllowance: isDeciding ? dedicatedAllowance : shortGenerationDedicatedAllowance};
}

/** Returns the expected time until a new attempt is done at the endpoint, in units of a typical request; lower is better. */
export function estimateCost(candidate: DirectCandidate, medianPaceMs: number | undefined, weights = defaultWeights): number {
	const {slots, open, openElsewhere, paceMs, transientFactor = 1, hasCachedPrefix, isDedicated, isConnected} = candidate;
	const occupied = (open + openElsewhere) / Math.max(1, slots);
	const factor = paceMs === undefined || !medianPaceMs ? transientFactor : Math.max(weights.minPaceFactor, paceMs / medianPaceMs);
	const crowding = crowdingFactor * Math.min(1, occupied);
	// Requests beyond the slots wait for the duration of a request.
	const waiting = Math.max(0, occupied - 1);
	const saved = (hasCachedPrefix ? cachedPrefixAllowance : 0) + (isDedicated ? weights.dedicatedAllowance : 0) + (isConnected ? connectedAllowance : 0);
	return (1 + crowding + waiting) * factor * (1 - saved);
}

/**
 * Factor over another endpoint's pace above which runs move away in progress: more than the difference between healthy endpoints of one service (some
 * are a third slower), less than the factor of three or more of a faulty one.
 */
const moveFactor = 1.8;

/**
 * The same for a run that is already long. Lengths are heavy-tailed, so that it will probably continue for as long again, and the longest generations
 * determine when a step is complete.
 */
const longRunMoveFactor = 1.2;

/** Number of events from which a run counts as long, and between two moves of a run; about the mean length of all runs. */
export const longRunEvents = 30;

/**
 * Returns the endpoints to which a run should move: much faster than its present one, and with free capacity.
 *
 * Load pattern: an endpoint becomes three times slower for some seconds while it carries a sixth of a step. A move does not lose generated text;
 * processing it again takes some milliseconds.
 *
 * @param isLong - whether the run has made many events already, and since its last move
 */
export function listFasterEndpoints(current: DirectCandidate, others: readonly DirectCandidate[], isLong: boolean): DirectCandidate[] {
	const {paceMs: currentMs} = current;
	const factor = isLong ? longRunMoveFactor : moveFactor;
	return currentMs === undefined
		? []
		: others.filter(({open, openElsewhere, slots, paceMs}) => open + openElsewhere < slots && paceMs !== undefined && paceMs * factor < currentMs);
}

/** Returns the median of the measured paces, in milliseconds per unit of work; undefined if there are none. */
export function findMedianPaceMs(candidates: readonly DirectCandidate[]): number | undefined {
	return findLowerMedian(candidates.flatMap(({paceMs}) => paceMs === undefined ? [] : [paceMs]));
}

/**
 * Chooses an endpoint.
 *
 * @param chance - a number in [0, 1) that decides between equal endpoints, so that processes don't all choose the same one
 * @param generation - what is expected of a generation; undefined for other work
 * @returns undefined if there are no candidates
 */
export function chooseDirect(candidates: readonly DirectCandidate[], chance: number, generation?: {units: number; dueInMs: number | undefined}): DirectCandidate | undefined {
	const medianPaceMs = findMedianPaceMs(candidates);
	const weights = generation ? findGenerationWeights(generation.units, generation.dueInMs, medianPaceMs) : defaultWeights;
	let best: DirectCandidate[] = [];
	let minCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const cost = estimateCost(candidate, medianPaceMs, weights);
		if (cost < minCost - 1e-9) {
			best = [candidate];
			minCost = cost;
		} else if (cost < minCost + 1e-9) {
			best.push(candidate);
		}
	}

	return best[Math.floor(chance * best.length)];
}
