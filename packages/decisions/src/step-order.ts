/**
 * Orders the samples of a step.
 *
 * Load pattern: 2,048 samples in groups of 8 with heavy-tailed lengths. Without an order, a long sample that starts last keeps the trainer waiting while
 * all other slots are idle. Longest first bounds the time to 4/3 of the optimum (Graham, 1969). A group's samples follow one another, so that its prompt
 * is computed once and the group is complete early; while a group's length is unknown, one of its samples goes ahead.
 */

/** A sample that has not been started. */
export type PendingSample = {
	group: number;
	index: number;
	/** Expected number of tokens, from `LengthPrediction`. */
	predictedTokens: number;
	/** Replaces a sample that was lost or became stale; the rest of its group waits for it. */
	isRedrawn?: boolean;
	/** No sample of its prompt has finished yet, so the prediction says nothing about this prompt. */
	isUnknown?: boolean;
};

/** Returns the samples in start order: redrawn samples, then one sample of each group of unknown length, then whole groups, those with the longest sample first. */
export function orderSamples(samples: readonly PendingSample[]): PendingSample[] {
	const longest = new Map<number, number>();
	const probes = new Map<number, number>();
	for (const {group, index, predictedTokens, isUnknown} of samples) {
		longest.set(group, Math.max(predictedTokens, longest.get(group) ?? 0));
		if (isUnknown && index === 0) {
			probes.set(group, index);
		}
	}

	const rank = ({group, index, isRedrawn}: PendingSample): number => {
		if (isRedrawn) {
			return 0;
		}

		return probes.get(group) === index ? 1 : 2;
	};

	return samples.toSorted((a, b) =>
		rank(a) - rank(b)
		|| longest.get(b.group)! - longest.get(a.group)!
		|| a.group - b.group
		|| a.index - b.index);
}

/** Factor by which a sample can exceed its prediction, which is a mean. */
const lengthMargin = 1.5;

/**
 * Chooses the next sample for an endpoint: the longest that is likely to finish before the step would be complete, or else the shortest. If a slow
 * endpoint takes one of the longest samples, the whole step waits for it.
 *
 * @param ordered - samples in the order of `orderSamples`
 * @param speed - tokens per millisecond of a sample at the endpoint
 * @param timeLeftMs - predicted remaining tokens of the step over the tokens per millisecond of all endpoints
 */
export function chooseSample(ordered: readonly PendingSample[], speed: number, timeLeftMs: number): PendingSample | undefined {
	const fitting = ordered.find(({predictedTokens}) => lengthMargin * predictedTokens / speed <= timeLeftMs);
	if (fitting) {
		return fitting;
	}

	let shortest = ordered[0];
	for (const sample of ordered) {
		if (sample.predictedTokens < shortest!.predictedTokens) {
			shortest = sample;
		}
	}

	return shortest;
}
