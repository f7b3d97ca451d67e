/**
 * Decides which unfinished generations are regenerated under newer weights, for a later batch.
 *
 * Load pattern: a trainer waits for nine tenths of the groups of a step and submits the rest again two steps later, where it must wait for them. Those
 * are the longest generations, of seven seconds, and by then the versions that began them are too old: begun again then, they delay that step by their
 * whole length. Once newer weights are published, free slots are used to regenerate each long generation; the regeneration is half complete when the
 * later step comes, and delays no other work.
 */

/** A generation in progress. */
export type RegenerationCandidate = {
	id: string;
	/** Number of events made so far. */
	events: number;
	/** Oldest version that made one of its events. */
	oldestVersion: number;
	/** Whether a regeneration of it has been started. */
	isRenewed: boolean;
};

/**
 * Number of events from which a generation is likely to be left out of its step: of about 2,800 generations two thirds were shorter than half of that
 * and one in seven was as long.
 */
const minEvents = 60;

/**
 * Returns the ids of the generations to regenerate, longest first.
 *
 * @param published - newest version of the weights
 */
export function chooseRegenerations(generations: readonly RegenerationCandidate[], published: number): string[] {
	return generations
		.filter(({events, oldestVersion, isRenewed}) => !isRenewed && events >= minEvents && oldestVersion < published)
		.toSorted((a, b) => b.events - a.events)
		.map(({id}) => id);
}
