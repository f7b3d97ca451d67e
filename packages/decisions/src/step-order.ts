/**
 * In which order the samples of a step are started.
 *
 * Load pattern: 2,048 samples in groups of 8 with heavy-tailed lengths. Without an order a long one that
 * starts last keeps the trainer waiting while all other slots are idle. Longest first bounds the time to 4/3
 * of the best (Graham, 1969). A group's samples follow one another, so that its prompt is computed
 * once and the group is whole early; one of each group goes ahead while its length is not known.
 */

/** A sample that has not been started. */
export type PendingSample = {
	group: number;
	index: number;
	/** Expected tokens, as `LengthPrediction` gives them. */
	predictedTokens: number;
	/** Another attempt at a sample of which one was lost or became stale; the rest of its group waits for it. */
	isRedrawn?: boolean;
	/** No sample of its prompt has finished yet, so that the prediction says nothing of this prompt. */
	isUnknown?: boolean;
};

/** Orders samples: redrawn ones, one of each unknown group, then whole groups, those with the longest sample first. */
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

/** A prediction is a mean; a sample may well take this many times as long. */
const lengthMargin = 1.5;

/**
 * Chooses the next sample for an endpoint: the longest that it likely finishes before the step would be whole,
 * else the shortest. A slow endpoint that takes one of the longest makes the whole step wait for it.
 *
 * @param ordered - as `orderSamples` gives them
 * @param speed - tokens a millisecond that a sample gets there
 * @param timeLeftMs - predicted tokens left of the step over what all endpoints make in a millisecond
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
