/**
 * Assigns a subset of the endpoints of a data centre to each entry.
 *
 * Load pattern: 1,700 entries and 10,000 endpoints. Without subsetting each knows all others: links, load reports and memory grow with the product. Each
 * process computes the same assignment from the same membership list. Pairs are taken in the order of their hash while both sides have free capacity, as
 * in a greedy matching, so that a host that joins or leaves changes little besides its own pairs.
 */
import {rankCandidate} from '@wasabiusher/shared';

/** Number of endpoints per entry. 64 endpoints run about 6,400 requests, of which an entry starts about 100 a second. */
export const defaultDegree = 64;

/**
 * Ratio of the maximum number of entries of an endpoint to the even share, and of the even share to the minimum. Measured with 90 entries and 526
 * endpoints (one of 19 data centres of the design size; even share 11): at 1.1 an endpoint has 9–13 entries and one that leaves changes 2.9 times its
 * own pairs; at 1.25 it has 8–14 and 1.5 times; at 1.5 it has 7–17 and once. One assignment took 25 ms there, and is only computed when the membership
 * changes.
 */
export const defaultSlack = 1.25;

export type SubsetOptions = {degree?: number; slack?: number};

type Pair = {entry: string; endpoint: string; rank: number};

/** Returns the endpoints of each entry; the result does not depend on the order of the names. */
export function assignSubsets(entries: readonly string[], endpoints: readonly string[], options: SubsetOptions = {}): Map<string, string[]> {
	const degree = Math.min(options.degree ?? defaultDegree, endpoints.length);
	const mean = entries.length * degree / Math.max(1, endpoints.length);
	const slack = options.slack ?? defaultSlack;
	const subsets = new Map(entries.map(entry => [entry, [] as string[]]));
	const entryCounts = new Map(endpoints.map(endpoint => [endpoint, 0]));
	const pairs = listPairs(entries, endpoints);
	const left = assignPairs(pairs, {degree, capacity: mean / slack}, subsets, entryCounts);
	assignPairs(left, {degree, capacity: slack * mean}, subsets, entryCounts);
	return subsets;
}

/** Assigns the pairs in order while both sides have free capacity; returns the unassigned pairs. */
function assignPairs(pairs: readonly Pair[], {degree, capacity}: {degree: number; capacity: number}, subsets: Map<string, string[]>, entryCounts: Map<string, number>): Pair[] {
	return pairs.filter(({entry, endpoint}) => {
		const subset = subsets.get(entry)!;
		const count = entryCounts.get(endpoint)!;
		if (subset.length >= degree || count >= roundByName(capacity, endpoint)) {
			return true;
		}

		subset.push(endpoint);
		entryCounts.set(endpoint, count + 1);
		return false;
	});
}

/**
 * Rounds up or down depending on the name, in proportion to the fraction. If all endpoints were rounded alike, one additional host could change the
 * capacity of all of them, and reassign the pairs of a whole data centre.
 */
function roundByName(capacity: number, name: string): number {
	return Math.floor(capacity + (rankCandidate('room', name) / (2 ** 32)));
}

/** Returns the endpoints of one entry. */
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
