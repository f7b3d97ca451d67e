/**
 * Determines the name, groups and samples of the shares of a batch.
 */
import {divideGroups, planBatchOrder, type OrderedSample} from '@wasabiusher/decisions';
import {groupBy} from '@wasabiusher/shared';
import type {Sample, Submission} from './batch.js';

/** Returns the name of a share, unique among all batches. */
export function nameShare(batch: string, share: number): string {
	return `${batch}/${share}`;
}

/** Groups samples that share a prompt; a sample without a group forms its own. */
export function listGroups({samples}: {samples: readonly Sample[]}): Map<string, Sample[]> {
	return groupBy(samples, ({id, group}) => group ?? id);
}

/** Returns the samples of one of `count` shares, in the order of the submission. */
export function listShareSamples(submission: Submission, share: number, count: number): Sample[] {
	if (count === 1) {
		return submission.samples;
	}

	const groups = [...listGroups(submission)].map(([id, samples]) => ({id, longest: Math.max(...samples.map(({expectedTokens}) => expectedTokens ?? 0))}));
	const ids = new Set(divideGroups(groups, count)[share]);
	return submission.samples.filter(({id, group}) => ids.has(group ?? id));
}

/** Converts samples to the form for planning their order. */
export function toOrderedSamples(samples: readonly Sample[], isCarried: (id: string) => boolean): OrderedSample[] {
	return samples.map(({id, group, expectedTokens}) => ({
		id, group: group ?? id, expectedTokens: expectedTokens ?? 0, isCarried: isCarried(id),
	}));
}

/** Functions that order the samples of a batch, by policy value. */
export const sampleOrders = {
	'longest-first': planBatchOrder,
	'as-submitted': (samples: readonly OrderedSample[]) => samples.map(({id}) => id),
} as const;
