/**
 * What belongs to one share of a batch.
 */
import {divideGroups, planBatchOrder, type OrderedSample} from '@wasabiusher/decisions';
import {groupBy} from '@wasabiusher/shared';
import type {Sample, Submission} from './batch.js';

/** Names a share among all shares. */
export function nameShare(batch: string, share: number): string {
	return `${batch}/${share}`;
}

/** Groups of a submission: the samples that share a prompt; one without a group counts alone. */
export function listGroups({samples}: {samples: readonly Sample[]}): Map<string, Sample[]> {
	return groupBy(samples, ({id, group}) => group ?? id);
}

/** Samples of one of `count` shares, in the order of the submission. */
export function listShareSamples(submission: Submission, share: number, count: number): Sample[] {
	if (count === 1) {
		return submission.samples;
	}

	const groups = [...listGroups(submission)].map(([id, samples]) => ({id, longest: Math.max(...samples.map(({expectedTokens}) => expectedTokens ?? 0))}));
	const ids = new Set(divideGroups(groups, count)[share]);
	return submission.samples.filter(({id, group}) => ids.has(group ?? id));
}

/** Puts the samples of a batch in the form in which their order is planned. */
export function toOrdered(samples: readonly Sample[], isCarried: (id: string) => boolean): OrderedSample[] {
	return samples.map(({id, group, expectedTokens}) => ({
		id, group: group ?? id, expectedTokens: expectedTokens ?? 0, isCarried: isCarried(id),
	}));
}

/** Ways to order the samples of a batch, by the policy. */
export const sampleOrders = {
	'longest-first': planBatchOrder,
	'as-submitted': (samples: readonly OrderedSample[]) => samples.map(({id}) => id),
} as const;
