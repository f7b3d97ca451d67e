/**
 * Which unfinished texts are begun a second time under newer weights, for a later batch.
 *
 * Load pattern: a trainer waits for nine tenths of the groups of a step and hands the rest in again two steps later, where it must
 * wait for them. Those are the longest texts, of seven seconds, and by then the versions that began them are too old: begun
 * anew they hold up that step by their whole length. Once newer weights are published, slots that are free are given to a
 * second text of each long one; it is half made when the later step comes, and costs nothing that anybody waits for.
 */

/** What is known of a text that is being made. */
export type RegenerationCandidate = {
	id: string;
	/** Events made so far. */
	events: number;
	/** Oldest version that made one of them. */
	oldestVersion: number;
	/** Whether a second text of it has been begun. */
	isRenewed: boolean;
};

/**
 * Events from which a text is taken for one that its step may end without: of some 2,800 texts two thirds were shorter than half of
 * that and one in seven was as long.
 */
const minEvents = 60;

/**
 * Ids of the texts to begin a second time, the longest first.
 *
 * @param published - newest version of the weights
 */
export function chooseRenewals(texts: readonly RegenerationCandidate[], published: number): string[] {
	return texts
		.filter(({events, oldestVersion, isRenewed}) => !isRenewed && events >= minEvents && oldestVersion < published)
		.toSorted((a, b) => b.events - a.events)
		.map(({id}) => id);
}
