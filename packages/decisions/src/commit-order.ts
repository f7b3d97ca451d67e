/**
 * Decides which results are committed first when more are waiting than fit into one transaction, and which result list commits next.
 *
 * Load pattern: a store that did not answer for seconds responds again while each host holds dozens of finished generations of several steps. A trainer
 * continues when enough groups are complete, so a result of a group that is still incomplete is worth nothing yet, and old results of one list must not
 * delay those that another step waits for.
 */

/** A result that waits to be committed. */
export type WaitingResult = {
	id: string;
	group: string;
	/** Size of its row, in bytes. */
	bytes: number;
	/** Start of its wait, in milliseconds on any monotonic clock. */
	addedAt: number;
};

/** Limits of one transaction. */
export type CommitLimits = {results: number; bytes: number};

/** What a result list would gain from its next transaction. */
export type CommitDemand = {
	/** Number of groups that it completes. */
	completes: number;
	/** Number of groups of the list that are still incomplete afterwards. */
	openGroups: number;
	/** Priority of the route; a lower value is more urgent. */
	priority: number;
	/** Start of the wait of its oldest result, in milliseconds. */
	addedAt: number;
};

/** Every such round goes to the list that has waited longest, so that no list waits forever. */
const roundsPerOldest = 4;

/**
 * Returns the results of the next transaction: first those of groups that it completes, then of groups with the fewest missing results, then the oldest.
 * Returns at least one if any is waiting, whatever its size.
 *
 * @param waiting - waiting results by group, oldest first
 * @param missing - number of samples without a committed result, by group
 */
export function planCommit<Result extends WaitingResult>(waiting: ReadonlyMap<string, readonly Result[]>, missing: ReadonlyMap<string, number>, limits: CommitLimits): Result[] {
	const taken: Result[] = [];
	let bytes = 0;
	for (const {results} of orderGroups(waiting, missing)) {
		for (const result of results) {
			bytes += result.bytes;
			if (taken.length > 0 && (taken.length >= limits.results || bytes > limits.bytes)) {
				return taken;
			}

			taken.push(result);
		}
	}

	return taken;
}

/** Returns the number of groups that are completed by writing these results. */
export function countCompleted(written: readonly WaitingResult[], missing: ReadonlyMap<string, number>): number {
	const counts = new Map<string, number>();
	for (const {group} of written) {
		counts.set(group, (counts.get(group) ?? 0) + 1);
	}

	return [...counts].filter(([group, count]) => count >= (missing.get(group) ?? 0)).length;
}

/**
 * Returns the list that commits next; undefined if there is none.
 *
 * @param round - incremented by one with each choice
 */
export function chooseCommit<List extends {demand: CommitDemand}>(lists: readonly List[], round: number): List | undefined {
	const compare = round % roundsPerOldest === roundsPerOldest - 1 ? compareByAge : compareByDemand;
	let best: List | undefined;
	for (const list of lists) {
		if (!best || compare(list.demand, best.demand) < 0) {
			best = list;
		}
	}

	return best;
}

type WaitingGroup<Result> = {results: readonly Result[]; missing: number; addedAt: number};

function orderGroups<Result extends WaitingResult>(waiting: ReadonlyMap<string, readonly Result[]>, missing: ReadonlyMap<string, number>): Array<WaitingGroup<Result>> {
	return [...waiting]
		.map(([group, results]) => ({results, missing: Math.max(0, (missing.get(group) ?? 0) - results.length), addedAt: results[0]?.addedAt ?? 0}))
		.toSorted((a, b) => a.missing - b.missing || a.addedAt - b.addedAt);
}

function compareByAge(a: CommitDemand, b: CommitDemand): number {
	return a.addedAt - b.addedAt;
}

function compareByDemand(a: CommitDemand, b: CommitDemand): number {
	return Number(b.completes > 0) - Number(a.completes > 0)
		|| a.priority - b.priority
		|| a.openGroups - b.openGroups
		|| compareByAge(a, b);
}
