/**
 * Where a request is sent.
 *
 * Load pattern: endpoints differ in speed and in what waits at them. Without this,
 * work piles up at the slowest while others stand idle.
 */
import type {Random} from '@wasabiusher/shared';

/** An endpoint as routing sees it. */
export type Candidate = {
	id: string;
	/** Requests in flight that this entry sent there, and what the endpoint reported besides. */
	load: number;
	/** Requests that it runs at once. */
	limit: number;
};

/** Picks the least loaded candidate for its limit; ties by chance. Undefined when there is none. */
export function chooseEndpoint(candidates: readonly Candidate[], random: Random): Candidate | undefined {
	let best: Candidate | undefined;
	let bestRatio = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const ratio = (candidate.load + random.next()) / Math.max(1, candidate.limit);
		if (ratio < bestRatio) {
			best = candidate;
			bestRatio = ratio;
		}
	}

	return best;
}
