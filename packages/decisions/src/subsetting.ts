/**
 * Which endpoints of a data centre each entry talks to.
 *
 * Load pattern: 1,700 entries and 10,000 endpoints. Without this each knows all others: links, load reports
 * and memory grow with the product. Each process computes the same assignment from the same
 * membership list. Pairs are taken in the order of their hash while both sides have room, as in a
 * greedy matching, so that a host that comes or goes moves little besides its own pairs.
 */
import {rankCandidate} from '@wasabiusher/shared';

/** Endpoints that an entry talks to. 64 hold about 6,400 requests, of which an entry has some 100 a second to place. */
export const defaultDegree = 64;

/**
 * Room at an endpoint over the even share of entries; more room moves fewer pairs when hosts change, but
 * spreads them less evenly.
 */
export const defaultSlack = 1.1;

export type SubsetOptions = {degree?: number; slack?: number};

type Pair = {entry: string; endpoint: string; rank: number};

/** The endpoints of each entry; the same for the same sets of names in any order. */
export function assignSubsets(entries: readonly string[], endpoints: readonly string[], options: SubsetOptions = {}): Map<string, string[]> {
	const degree = Math.min(options.degree ?? defaultDegree, endpoints.length);
	const room = Math.ceil((options.slack ?? defaultSlack) * entries.length * degree / Math.max(1, endpoints.length));
	const subsets = new Map(entries.map(entry => [entry, [] as string[]]));
	const used = new Map(endpoints.map(endpoint => [endpoint, 0]));
	for (const {entry, endpoint} of listPairs(entries, endpoints)) {
		const subset = subsets.get(entry)!;
		const count = used.get(endpoint)!;
		if (subset.length < degree && count < room) {
			subset.push(endpoint);
			used.set(endpoint, count + 1);
		}
	}

	return subsets;
}

/** The endpoints of one entry. */
export function findSubset(entry: string, entries: readonly string[], endpoints: readonly string[], options: SubsetOptions = {}): string[] {
	return assignSubsets(entries, endpoints, options).get(entry) ?? [];
}

function listPairs(entries: readonly string[], endpoints: readonly string[]): Pair[] {
	const pairs = entries.flatMap(entry => endpoints.map(endpoint => ({entry, endpoint, rank: rankCandidate(entry, endpoint)})));
	return pairs.toSorted((a, b) => b.rank - a.rank || compareNames(a, b));
}

function compareNames(a: Pair, b: Pair): number {
	return a.entry.localeCompare(b.entry) || a.endpoint.localeCompare(b.endpoint);
}
