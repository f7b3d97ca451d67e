/**
 * Finds the critical path of a step: the sample that the trainer waited for last, and the time of each phase of that sample.
 *
 * A trainer waits for a number of complete groups. The step is complete with the last sample of the last of these groups. The chain of that
 * sample's phases, from the request for the step until the trainer has read the result, adds up to the step's time.
 */
import {groupBy} from '@wasabiusher/shared';
import type {
	ListedHistory, PhaseTimes, StepHistory, GenerationHistory,
} from './step-history.js';

/** Links of the chain in order, each a time in milliseconds. `earlier` is the time with previous owners, whose texts were retained. */
export const chainLinks = ['owned', 'earlier', 'queued', 'waited', 'refused', 'begun', 'resumed', 'made', 'stalled', 'broken', 'scored', 'committed', 'read'] as const;

export type ChainLink = typeof chainLinks[number];

/** The sample that completed a step, and its times. */
export type StepChain = {
	sample: string;
	endpoint: string;
	events: number;
	kept: number;
	runs: number;
	/** Time from the request for the step until it was complete, in milliseconds. */
	wholeMs: number;
	links: Readonly<Record<ChainLink, number>>;
};

/** Minimum number of generated events from which the pace of an endpoint is measured. */
const minPaceEvents = 20;

/** Returns the pace of the fastest endpoint, in milliseconds per event, from texts generated in one run; undefined if there is no such text. */
export function findBestPace(steps: readonly StepHistory[]): number | undefined {
	const generations = steps.flatMap(step => [...step.generations.values()]).filter(({events, kept, runs}) => events - kept >= minPaceEvents && runs === 1);
	const paces = [...groupBy(generations, ({endpoint}) => endpoint).values()].map(ofEndpoint => {
		// A host with event-loop lag reads several events at once after each pause, so that the pace needs the time of both phases.
		const sorted = ofEndpoint.map(({events, kept, phases}) => (phases.made + phases.stalled) / (events - kept)).toSorted((a, b) => a - b);
		// Uses the median, since the times include pauses while weights are loaded.
		return sorted[Math.floor(sorted.length / 2)]!;
	});
	return paces.length === 0 ? undefined : Math.min(...paces);
}

type CompleteGroup = {completedAt: number; lastSample: string; maxEvents: number; isCarriedOver: boolean};

/** Returns the groups with results listed for all samples, in the order of their completion. */
function listCompleteGroups({listed, generations, total, groups}: StepHistory): CompleteGroup[] {
	const size = groups > 0 ? Math.round(total / groups) : 1;
	const members = new Map<string, Array<[string, ListedHistory]>>();
	for (const entry of listed) {
		const {group} = entry[1];
		members.set(group, [...(members.get(group) ?? []), entry]);
	}

	return [...members.values()].filter(entries => entries.length >= size).map(entries => {
		const last = entries.toSorted((a, b) => b[1].listedAt - a[1].listedAt)[0]!;
		return {
			completedAt: last[1].listedAt,
			lastSample: last[0],
			// Events retained from an earlier step show that the group was carried over; the trainer waits for it even if enough others are complete.
			isCarriedOver: entries.some(([sample]) => (generations.get(sample)?.kept ?? 0) > 0),
			maxEvents: Math.max(...entries.map(([sample, {events}]) => events - (generations.get(sample)?.kept ?? 0))),
		};
	}).toSorted((a, b) => a.completedAt - b.completedAt);
}

/**
 * Returns the groups that the trainer waits for: all that were carried over, then the first of the others up to the wanted number. Returns undefined
 * if fewer groups are complete or if the trainer waits for none.
 *
 * @param groups - complete groups in order of preference
 */
function selectAwaitedGroups(groups: readonly CompleteGroup[], wanted: number): CompleteGroup[] | undefined {
	const carriedOver = groups.filter(({isCarriedOver}) => isCarriedOver);
	const others = groups.filter(({isCarriedOver}) => !isCarriedOver);
	return wanted === 0 || groups.length < wanted ? undefined : [...carriedOver, ...others.slice(0, Math.max(0, wanted - carriedOver.length))];
}

/**
 * Returns a lower bound for the time of a step, in milliseconds: the time to generate the longest text of the shortest groups at the pace of the
 * fastest endpoint, without any waiting. Returns undefined if fewer groups are complete than the trainer waits for.
 */
export function findLowerBound(step: StepHistory, bestPaceMs: number): number | undefined {
	const shortest = listCompleteGroups(step).toSorted((a, b) => a.maxEvents - b.maxEvents);
	const awaited = selectAwaitedGroups(shortest, step.wanted);
	return awaited && Math.max(...awaited.map(({maxEvents}) => maxEvents)) * bestPaceMs;
}

/** Returns the chain of a step; undefined if fewer groups are complete than the trainer waits for. */
export function findChain(step: StepHistory): StepChain | undefined {
	const group = selectAwaitedGroups(listCompleteGroups(step), step.wanted)?.toSorted((a, b) => b.completedAt - a.completedAt)[0];
	if (!group) {
		return undefined;
	}

	const listed = step.listed.get(group.lastSample)!;
	const generation = step.generations.get(group.lastSample);
	return {
		sample: group.lastSample,
		endpoint: generation?.endpoint ?? '',
		events: listed.events,
		kept: generation?.kept ?? listed.events,
		runs: generation?.runs ?? 0,
		wholeMs: listed.listedAt - step.askedAt,
		links: measureLinks(step, listed, generation),
	};
}

function measureLinks(step: StepHistory, listed: ListedHistory, generation: GenerationHistory | undefined): Record<ChainLink, number> {
	const {scoredMs, committedMs, listedAt, position, share} = listed;
	const completedAt = generation?.completedAt ?? listedAt - committedMs - scoredMs;
	const {begunAt = step.askedAt, ownedAt = begunAt} = step.shares.get(share) ?? {};
	const owned = Math.max(0, begunAt - step.askedAt);
	const earlier = ownedAt - begunAt;
	const readAt = step.reads.find(read => read.endPosition > position && read.readAt >= listedAt)?.readAt;
	const phases: PhaseTimes = generation?.phases ?? {
		waited: 0, refused: 0, begun: 0, resumed: 0, made: 0, stalled: 0, broken: 0,
	};
	return {
		owned,
		earlier,
		queued: Math.max(0, completedAt - (generation?.tookMs ?? 0) - step.askedAt - owned - earlier),
		...phases,
		scored: scoredMs,
		committed: committedMs,
		read: readAt === undefined ? 0 : readAt - listedAt,
	};
}
