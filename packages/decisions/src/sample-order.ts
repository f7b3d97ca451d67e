/**
 * Orders the samples of a batch.
 *
 * Load pattern: a step of 80 samples over 48 slots, with a few samples five times the mean length. The trainer waits for a part of the groups only, and
 * a group counts when it is complete. In submission order, a long sample that comes last delays its group; so long groups go first, but those that the
 * trainer will not wait for go last. Groups that were carried over from an earlier step must always be waited for, so they come before all others.
 */
import {groupBy} from '@wasabiusher/shared';

/** A sample to be ordered. */
export type OrderedSample = {
	id: string;
	/** Group of the sample; a sample without a group forms its own. */
	group: string;
	/** Expected length, in tokens; 0 if unknown. */
	expectedTokens: number;
	/** Whether its group was carried over and must be waited for. */
	isCarried: boolean;
};

type Group = {samples: OrderedSample[]; longest: number; isCarried: boolean};

/** Returns the ids of the samples, in the order in which to start them. */
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
