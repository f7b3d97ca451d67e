/**
 * Which results are written first when more wait than one transaction takes, and which list of them goes first.
 *
 * Load pattern: a store that was silent for seconds answers again while each host holds dozens of whole texts of several steps. A trainer goes on
 * when enough groups are whole, so a result whose group missing others is worth nothing yet, and one list's old results must not hold up
 * those that another step waits for.
 */

/** A result that waits to be written. */
export type WaitingResult = {
	id: string;
	group: string;
	/** Size of its row, in bytes. */
	bytes: number;
	/** When it began to wait, in milliseconds on any steady clock. */
	addedAt: number;
};

/** What one transaction takes. */
export type CommitLimits = {results: number; bytes: number};

/** What a list of results that wait would gain by its next transaction. */
export type CommitDemand = {
	/** Groups that become whole by it. */
	completes: number;
	/** Groups of the list that are not whole after it. */
	openGroups: number;
	/** Of the route; a lower one is more urgent. */
	priority: number;
	/** When its oldest result began to wait, in milliseconds. */
	addedAt: number;
};

/** One turn in so many goes to the list that has waited longest, so that no list waits for ever. */
const roundsPerOldest = 4;

/**
 * The results of the next transaction: those of groups that become whole by it first, then of groups that lack the fewest, then the oldest.
 * There is at least one if any waits, however great it is.
 *
 * @param waiting - the results of each group that wait, the oldest first
 * @param missing - samples of each group that have no written result
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

/** Groups that become whole by writing some results. */
export function countCompleted(written: readonly WaitingResult[], missing: ReadonlyMap<string, number>): number {
	const counts = new Map<string, number>();
	for (const {group} of written) {
		counts.set(group, (counts.get(group) ?? 0) + 1);
	}

	return [...counts].filter(([group, count]) => count >= (missing.get(group) ?? 0)).length;
}

/**
 * The list that writes next; undefined if there is none.
 *
 * @param round - counts up by one with each choice
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
