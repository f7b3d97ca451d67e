/**
 * Which texts of a step go to which endpoints.
 */

/** A text that is to be made, or to be finished. */
export type PlannedText = {
	id: string;
	/** Events that it is expected to need still. */
	eventsLeft: number;
	/** Whether the step can't be whole without it, as far as known. */
	isNeeded: boolean;
};

/** An endpoint that could make it. */
export type PlannedEndpoint = {
	id: string;
	/** Slots that are free, and that this host may fill. */
	free: number;
	/** Expected time for an event there, in milliseconds. */
	paceMs: number;
};

/** The endpoint of each text that is to begin now; others wait. */
export type TextPlan = ReadonlyMap<string, string>;
