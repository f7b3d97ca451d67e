/**
 * Which endpoint gets the next attempt where entries call endpoints without an agent between.
 *
 * Load pattern: one of six endpoints runs three times slower for some seconds, while several entries send to all of
 * them. By the number of open requests alone the slow one draws as many as the others and every batch waits for it.
 * Each endpoint is weighed by the time until it would be done: what is open there, over its slots, times its pace against
 * the typical one.
 */

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
	/** Whether it holds a part of the prompt, from a request before. */
	isWarm: boolean;
};

/**
 * Load, as a part of the slots, that a warm endpoint may be ahead by and still be chosen. A shared prompt saves its reading,
 * which takes less than the time of one queued request.
 */
const warmAllowance = 0.25;

/** Least factor by which a fast endpoint is preferred; measured paces of healthy endpoints differ by less. */
const fastestFactor = 0.8;

/** Expected time until a new attempt is done there, in typical requests; the least is the best. */
export function weighCandidate(candidate: DirectCandidate, typicalPaceMs: number | undefined): number {
	const {slots, open, others, paceMs, isWarm} = candidate;
	const occupied = (open + others) / Math.max(1, slots);
	const factor = paceMs === undefined || !typicalPaceMs ? 1 : Math.max(fastestFactor, paceMs / typicalPaceMs);
	// An idle endpoint still takes the time of the attempt itself.
	return ((1 + Math.max(0, occupied - (isWarm ? warmAllowance : 0))) * factor) - (isWarm ? warmAllowance : 0);
}

/** Middle of the measured paces; undefined if there are none. */
export function findTypicalPace(candidates: readonly DirectCandidate[]): number | undefined {
	const paces = candidates.flatMap(({paceMs}) => paceMs === undefined ? [] : [paceMs]).toSorted((a, b) => a - b);
	return paces[Math.floor((paces.length - 1) / 2)];
}

/**
 * Chooses an endpoint.
 *
 * @param chance - a number in [0, 1) that decides between equals, so that processes don't all choose the same one
 * @returns undefined if there are no candidates
 */
export function chooseDirect(candidates: readonly DirectCandidate[], chance: number): DirectCandidate | undefined {
	const typical = findTypicalPace(candidates);
	let best: DirectCandidate[] = [];
	let bestWeight = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const weight = weighCandidate(candidate, typical);
		if (weight < bestWeight - 1e-9) {
			best = [candidate];
			bestWeight = weight;
		} else if (weight < bestWeight + 1e-9) {
			best.push(candidate);
		}
	}

	return best[Math.floor(chance * best.length)];
}
