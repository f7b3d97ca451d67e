/**
 * In which order the samples of a batch are begun.
 *
 * Load pattern: a step of 80 samples over 48 slots, with lengths of which a few are five times the mean. The trainer waits for
 * a part of the groups only, and a group counts when it is whole. Begun in the order of submission, a long sample that comes
 * last holds up its group; so long groups go first, but those that the trainer will not wait for go last.
 * Groups that were carried over from an earlier step are waited for in any case, so they come before all others.
 */
import {groupBy} from '@wasabiusher/shared';

/** What is known of a sample beforehand. */
export type OrderedSample = {
	id: string;
	/** Samples without a group count alone. */
	group: string;
	/** Expected length, in tokens; 0 if nothing is known. */
	expectedTokens: number;
	/** Whether its group must be waited for. */
	isCarried: boolean;
};

type Group = {samples: OrderedSample[]; longest: number; isCarried: boolean};

/** Ids of the samples, in the order in which they are to be begun. */
export function planBatchOrder(samples: readonly OrderedSample[], wantedGroups: number): string[] {
	const groups = [...groupBy(samples, ({group}) => group).values()].map((members): Group => ({
		samples: members.toSorted((a, b) => b.expectedTokens - a.expectedTokens),
		longest: Math.max(...members.map(({expectedTokens}) => expectedTokens)),
		isCarried: members.some(({isCarried}) => isCarried),
	}));
	const carriedOver = groups.filter(({isCarried}) => isCarried);
	const others = groups.filter(({isCarried}) => !isCarried).toSorted((a, b) => b.longest - a.longest);
	const spare = Math.max(0, groups.length - wantedGroups);
	const ordered = [...carriedOver, ...others.slice(spare), ...others.slice(0, spare).toReversed()];
	return ordered.flatMap(({samples: members}) => members.map(({id}) => id));
}
