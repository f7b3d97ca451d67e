/**
 * Which endpoint gets the next attempt where entries call endpoints without an agent between.
 *
 * Load pattern: one of six endpoints runs three times slower for some seconds, while several entries send to all of
 * them. By the number of open requests alone the slow one draws as many as the others and every batch waits for it.
 * Each endpoint is weighed by the time until it would be done: what is open there, over its slots, times its pace against
 * the typical one.
 */
import {findMiddle} from '@wasabiusher/shared';

/** What is known of an endpoint that could take an attempt. */
export type DirectCandidate = {
	id: string;
	slots: number;
	/** Requests of this process that are open there. */
	open: number;
	/** Requests of other processes there, as last told; it lags. */
	others: number;
	/** Time for a unit of work of late, in milliseconds; undefined until measured. */
	paceMs: number | undefined;
	/** Factor by which it is slower at this moment, where its pace is not known; 1 as usual. */
	moment?: number;
	/** Whether it holds a part of the prompt, from a request before. */
	isWarm: boolean;
	/** Whether nobody else fills it with work of this kind. */
	isHome: boolean;
	/** Whether this process has probably an idle connection to it. */
	isConnected: boolean;
};

/** Part of a request's time that a shared prompt saves, which need not be read again. Prompts are short against texts. */
const cachedPrefixAllowance = 0.03;

/**
 * Part of a request's time that an open connection saves. It decides between equals: with calls spread over all endpoints by
 * chance, connections go idle between two calls and each call opens a new one.
 */
const connectedAllowance = 0.02;

/**
 * Part of a request's time by which an endpoint that is this process's own is preferred: more than it takes longer when all its slots are
 * taken, so that others are asked only when it has none, and less than a slow endpoint takes longer.
 */
const dedicatedAllowance = 0.2;

/** Least factor by which a fast endpoint is preferred; measured paces of healthy endpoints differ by less. */
const minPaceFactor = 0.6;

/**
 * How much longer a request takes on an endpoint whose slots are all taken, as a part of its time on an idle one. An engine that
 * batches loses a twentieth; a little more spreads the load over equals.
 */
const crowdingFactor = 0.15;

/** By how much endpoints are preferred. */
export type ChoiceWeights = {
	/** Least factor by which a fast endpoint is preferred. */
	minPaceFactor: number;
	/** Part of a request's time by which an endpoint that is this process's own is preferred. */
	dedicatedAllowance: number;
};

const defaultWeights: ChoiceWeights = {minPaceFactor, dedicatedAllowance};

/** Least factor where lasting speeds are known, which may differ by any factor. */
const plannedMinPaceFactor = 0.1;

/** Preference of an own endpoint over a faster one by texts that are done in time at any. */
const shortGenerationDedicatedAllowance = 0.6;

/** Part of the time in which a text should be whole; one that takes longer at a usual endpoint may decide when its step is whole. */
const decidingFraction = 0.5;

/**
 * How a text weighs endpoints: one that may decide when its step is whole goes to the fastest, also to one that others fill; a short one stays at
 * the own endpoints of its host.
 *
 * @param units - events that it is expected to need
 * @param dueInMs - time until it should be whole, in milliseconds; undefined if nobody told
 */
export function findGenerationWeights(units: number, dueInMs: number | undefined, medianPaceMs: number | undefined): ChoiceWeights {
	const isDeciding = dueInMs === undefined || medianPaceMs === undefined || units * medianPaceMs > decidingFraction * dueInMs;
	return {minPaceFactor: plannedMinPaceFactor, dedicatedAllowance: isDeciding ? dedicatedAllowance : shortGenerationDedicatedAllowance};
}

/** Expected time until a new attempt is done there, in typical requests; the least is the best. */
export function estimateCost(candidate: DirectCandidate, medianPaceMs: number | undefined, weights = defaultWeights): number {
	const {slots, open, others: openElsewhere, paceMs, moment: transientFactor = 1, isWarm: hasCachedPrefix, isHome: isDedicated, isConnected} = candidate;
	const occupied = (open + openElsewhere) / Math.max(1, slots);
	const factor = paceMs === undefined || !medianPaceMs ? transientFactor : Math.max(weights.minPaceFactor, paceMs / medianPaceMs);
	const crowding = crowdingFactor * Math.min(1, occupied);
	// What is beyond the slots waits for as long as a request takes.
	const waiting = Math.max(0, occupied - 1);
	const saved = (hasCachedPrefix ? cachedPrefixAllowance : 0) + (isDedicated ? weights.dedicatedAllowance : 0) + (isConnected ? connectedAllowance : 0);
	return (1 + crowding + waiting) * factor * (1 - saved);
}

/**
 * Pace over the typical one from which runs leave an endpoint in their middle: more than endpoints of one service differ by
 * when sound (some are a third slower), less than the factor of three or more of a faulty one.
 */
const moveFactor = 1.8;

/**
 * The same for a run that is long already. Lengths are heavy-tailed, so that it will mostly go on for as long again, and the
 * longest texts decide when a step is whole.
 */
const longRunMoveFactor = 1.2;

/** Events of a run from which it counts as long, and between two moves of one; the mean of all is about as many. */
export const longRunEvents = 30;

/**
 * Endpoints at which a run had better go on: much faster than its own, and with room.
 *
 * Load pattern: an endpoint turns three times slower for some seconds while it carries a sixth of a step. What has been made
 * is not lost by moving, and reading it again takes some milliseconds.
 *
 * @param isLong - whether the run has made many events already, and since it was last moved
 */
export function listBetter(current: DirectCandidate, others: readonly DirectCandidate[], isLong: boolean): DirectCandidate[] {
	const {paceMs: currentMs} = current;
	const factor = isLong ? longRunMoveFactor : moveFactor;
	return currentMs === undefined
		? []
		: others.filter(({open, others: elsewhere, slots, paceMs}) => open + elsewhere < slots && paceMs !== undefined && paceMs * factor < currentMs);
}

/** Middle of the measured paces; undefined if there are none. */
export function findMedianPaceMs(candidates: readonly DirectCandidate[]): number | undefined {
	return findMiddle(candidates.flatMap(({paceMs}) => paceMs === undefined ? [] : [paceMs]));
}

/**
 * Chooses an endpoint.
 *
 * @param chance - a number in [0, 1) that decides between equals, so that processes don't all choose the same one
 * @param generation - what is expected of a text; undefined for other work
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
