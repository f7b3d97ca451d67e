/**
 * What decided when a step was whole: the sample that the trainer waited for last, and where its time went.
 *
 * A trainer waits for a number of whole groups. The step is whole with the last sample of the last of these; the chain of
 * that sample's times, from the moment at which the step was asked until the trainer had read it, adds up to the step's time.
 */
import {groupBy} from '@wasabiusher/shared';
import type {
	ListedHistory, PhaseTimes, StepHistory, TextHistory,
} from './step-history.js';

/** Links of the chain in their order, each a time in milliseconds; `earlier` is the time with owners before the last one, whose texts were kept. */
export const chainLinks = ['owned', 'earlier', 'queued', 'waited', 'refused', 'begun', 'resumed', 'made', 'stalled', 'broken', 'scored', 'committed', 'read'] as const;

export type ChainLink = typeof chainLinks[number];

/** The sample that a step was whole with. */
export type StepChain = {
	sample: string;
	endpoint: string;
	events: number;
	kept: number;
	runs: number;
	/** From asked to whole. */
	wholeMs: number;
	links: Readonly<Record<ChainLink, number>>;
};

/** Fewest events that tell the pace of a text's endpoint. */
const minPaceEvents = 20;

/** Pace of the fastest endpoint with nothing lost, in milliseconds for an event; undefined if no text tells. */
export function findBestPace(steps: readonly StepHistory[]): number | undefined {
	const texts = steps.flatMap(step => [...step.texts.values()]).filter(({events, kept, runs}) => events - kept >= minPaceEvents && runs === 1);
	const paces = [...groupBy(texts, ({endpoint}) => endpoint).values()].map(own => {
		// A host that is late reads several events at once after each pause; both together tell how fast they were made.
		const sorted = own.map(({events, kept, phases}) => (phases.made + phases.stalled) / (events - kept)).toSorted((a, b) => a - b);
		// The middle one, since pauses while weights are loaded count in.
		return sorted[Math.floor(sorted.length / 2)]!;
	});
	return paces.length === 0 ? undefined : Math.min(...paces);
}

type ListedGroup = {wholeAt: number; last: string; longestEvents: number; isCarried: boolean};

/** Groups of which every sample is listed, in the order in which they became whole. */
function listWholeGroups({listed, texts, total, groups}: StepHistory): ListedGroup[] {
	const size = groups > 0 ? Math.round(total / groups) : 1;
	const members = new Map<string, Array<[string, ListedHistory]>>();
	for (const entry of listed) {
		const {group} = entry[1];
		members.set(group, [...(members.get(group) ?? []), entry]);
	}

	return [...members.values()].filter(entries => entries.length >= size).map(entries => {
		const last = entries.toSorted((a, b) => b[1].listedAt - a[1].listedAt)[0]!;
		return {
			wholeAt: last[1].listedAt,
			last: last[0],
			// What an earlier step has left of a group shows that the trainer waits for it whatever else is whole.
			isCarried: entries.some(([sample]) => (texts.get(sample)?.kept ?? 0) > 0),
			longestEvents: Math.max(...entries.map(([sample, {events}]) => events - (texts.get(sample)?.kept ?? 0))),
		};
	}).toSorted((a, b) => a.wholeAt - b.wholeAt);
}

/** Groups that the trainer waits for: those carried over, and the first others by an order, up to as many as are wanted; undefined if there are fewer, or none is waited for. */
function listWanted(groups: readonly ListedGroup[], wanted: number): ListedGroup[] | undefined {
	const carried = groups.filter(({isCarried}) => isCarried);
	const others = groups.filter(({isCarried}) => !isCarried);
	return wanted === 0 || groups.length < wanted ? undefined : [...carried, ...others.slice(0, Math.max(0, wanted - carried.length))];
}

/**
 * Least time in which the step could have been whole, in milliseconds: the longest text of the groups that are quickest to make, on the
 * fastest endpoint, with nothing lost. Undefined if fewer groups are whole than the trainer waits for.
 */
export function findLowerBound(step: StepHistory, bestPaceMs: number): number | undefined {
	const quickest = listWholeGroups(step).toSorted((a, b) => a.longestEvents - b.longestEvents);
	const waited = listWanted(quickest, step.wanted);
	return waited && Math.max(...waited.map(({longestEvents}) => longestEvents)) * bestPaceMs;
}

/** The chain of a step; undefined if fewer groups are whole than the trainer waits for. */
export function findChain(step: StepHistory): StepChain | undefined {
	const group = listWanted(listWholeGroups(step), step.wanted)?.toSorted((a, b) => b.wholeAt - a.wholeAt)[0];
	if (!group) {
		return undefined;
	}

	const listed = step.listed.get(group.last)!;
	const text = step.texts.get(group.last);
	return {
		sample: group.last,
		endpoint: text?.endpoint ?? '',
		events: listed.events,
		kept: text?.kept ?? listed.events,
		runs: text?.runs ?? 0,
		wholeMs: listed.listedAt - step.askedAt,
		links: measureLinks(step, listed, text),
	};
}

function measureLinks(step: StepHistory, listed: ListedHistory, text: TextHistory | undefined): Record<ChainLink, number> {
	const {scoredMs, committedMs, listedAt, position, share} = listed;
	const wholeAt = text?.wholeAt ?? listedAt - committedMs - scoredMs;
	const {begunAt = step.askedAt, ownedAt = begunAt} = step.shares.get(share) ?? {};
	const owned = Math.max(0, begunAt - step.askedAt);
	const earlier = ownedAt - begunAt;
	const readAt = step.reads.find(read => read.beyond > position && read.readAt >= listedAt)?.readAt;
	const phases: PhaseTimes = text?.phases ?? {
		waited: 0, refused: 0, begun: 0, resumed: 0, made: 0, stalled: 0, broken: 0,
	};
	return {
		owned,
		earlier,
		queued: Math.max(0, wholeAt - (text?.tookMs ?? 0) - step.askedAt - owned - earlier),
		...phases,
		scored: scoredMs,
		committed: committedMs,
		read: readAt === undefined ? 0 : readAt - listedAt,
	};
}
