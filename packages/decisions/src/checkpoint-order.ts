/**
 * Decides which unfinished generations are checkpointed first, so that a later owner can resume them.
 *
 * Load pattern: a host makes dozens of generations at the same time, each of which grows by some events every second, and may write a bounded number
 * of bytes for them. What is lost with a host is generated again: a long generation delays its step by its whole length, a short one is done while
 * others are still running.
 */

/** A generation in progress. */
export type UnfinishedGeneration = {
	id: string;
	/** Number of events made, and number of those that are in the checkpoint. */
	events: number;
	writtenEvents: number;
	/** Number of samples of its group without a committed result, including itself. */
	lacking: number;
};

/** Minimum number of new events for another checkpoint; fewer are generated again in a quarter of a second. */
const minNewEvents = 6;

/**
 * Returns the ids of the generations to checkpoint, first those whose loss would delay their step most: long, with many unwritten events, and few other
 * samples missing in their group.
 */
export function orderCheckpoint(generations: readonly UnfinishedGeneration[]): string[] {
	return generations
		.filter(({events, writtenEvents}) => events - writtenEvents >= minNewEvents)
		.map(generation => ({id: generation.id, worth: findWorth(generation)}))
		.toSorted((a, b) => b.worth - a.worth)
		.map(({id}) => id);
}

function findWorth({events, writtenEvents, lacking}: UnfinishedGeneration): number {
	return (events - writtenEvents) * events / Math.max(1, lacking);
}
