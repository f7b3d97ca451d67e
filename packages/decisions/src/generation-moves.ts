/**
 * Decides whether a generation moves to another endpoint while it is in progress.
 *
 * Load pattern: of a step's 64 to 112 generations few have over 60 events, and those decide when the step is complete. On endpoints that differ by a
 * factor of two nearly every generation finds a faster one with a free slot a second after the step has begun; if all moved, each would close a
 * connection and few of the moves would end the step earlier.
 */
import type {EndpointSpeed} from './endpoint-speed.js';

/** A generation in progress. */
export type MovableGeneration = {
	/** Number of events made at its present endpoint. */
	unitsMadeHere: number;
	/** Expected number of remaining events. */
	unitsLeft: number;
	/** Time until it is due, in milliseconds; undefined if unknown. */
	dueInMs: number | undefined;
};

/** Minimum number of events at an endpoint before a generation leaves it, unless the endpoint has become slow. */
const minEventsBeforeMove = 5;

/** Episodic slowdown from which an endpoint counts as slow; fast ones take up to twice as long when all of their slots are taken. */
const slowEpisodicFactor = 2.4;

/** Cost of a move, in milliseconds: the prompt and the generated text are processed again. */
const moveMs = 50;

/** Minimum time that a move must save, in milliseconds: smaller gains are within the error of the expected length. */
const minGainMs = 500;

/** Minimum factor by which the other endpoint must be faster. */
const minSpeedup = 1.3;

/**
 * Returns the expected time per unit over the next seconds, in milliseconds. Transient slowness is ignored, as it ends before the generation does. So is
 * slowness of an endpoint that is merely full: it becomes faster as other generations end, so that a generation that left it for an idle one of the same
 * speed would gain nothing.
 */
function estimateUnitMs({persistentMs, episodicFactor}: EndpointSpeed): number | undefined {
	return persistentMs === undefined ? undefined : persistentMs * (episodicFactor < slowEpisodicFactor ? 1 : episodicFactor);
}

/** Returns whether a generation could benefit from another endpoint, without knowledge of the others. */
export function isAtRisk({unitsMadeHere, unitsLeft, dueInMs}: MovableGeneration, here: EndpointSpeed): boolean {
	const unitMs = estimateUnitMs(here);
	if (unitMs === undefined || (unitsMadeHere < minEventsBeforeMove && here.episodicFactor < slowEpisodicFactor)) {
		return false;
	}

	const finishMs = unitsLeft * unitMs;
	return finishMs >= minGainMs && finishMs > (dueInMs ?? 0);
}

/** Returns whether a generation at risk gains enough by continuing at the other endpoint. */
export function gainsByMoving({unitsLeft}: MovableGeneration, here: EndpointSpeed, there: EndpointSpeed): boolean {
	const hereMs = estimateUnitMs(here);
	const thereMs = estimateUnitMs(there);
	return hereMs !== undefined && thereMs !== undefined && thereMs * minSpeedup < hereMs && (unitsLeft * (hereMs - thereMs)) - moveMs >= minGainMs;
}
