/**
 * Which unfinished texts are written down first for a next owner.
 *
 * Load pattern: a host makes dozens of texts at a time, each some events longer every second, and may write a bounded number of bytes about them.
 * What is lost with a host is made anew; that of a long text holds its step up by its whole length, that of a short one is made while
 * others run on anyway.
 */

/** An unfinished text. */
export type UnfinishedGeneration = {
	id: string;
	/** Events made, and how many of them are written down. */
	events: number;
	writtenEvents: number;
	/** Samples of its group that have no written result, itself included. */
	lacking: number;
};

/** Events that a text must have grown by to be written again; fewer are made anew in a quarter of a second. */
const minNewEvents = 6;

/** Ids of the texts to write, the one first whose loss would hold its step up most: long, much of it unwritten, and few others lacking in its group. */
export function orderCheckpoint(texts: readonly UnfinishedGeneration[]): string[] {
	return texts
		.filter(({events, writtenEvents}) => events - writtenEvents >= minNewEvents)
		.map(text => ({id: text.id, worth: findWorth(text)}))
		.toSorted((a, b) => b.worth - a.worth)
		.map(({id}) => id);
}

function findWorth({events, writtenEvents, lacking}: UnfinishedGeneration): number {
	return (events - writtenEvents) * events / Math.max(1, lacking);
}
