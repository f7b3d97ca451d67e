/**
 * Whether a text leaves its endpoint in its middle.
 *
 * Load pattern: of a step's 64 to 112 texts few have over 60 events, and those decide when it is whole. On endpoints that differ by a factor of two
 * nearly every text finds a faster one with a free slot a second after the step has begun; if all moved, each would close a connection and few of the moves
 * would end the step earlier.
 */
import type {EndpointSpeed} from './endpoint-speed.js';

/** A text that is being made. */
export type MovableText = {
	/** Events that it has made at its present endpoint. */
	madeHere: number;
	/** Events that it is expected to need still. */
	unitsLeft: number;
	/** Time until it should be whole, in milliseconds; undefined if nobody told. */
	dueInMs: number | undefined;
};

/** Events at an endpoint before a text leaves it, unless the endpoint has turned slow. */
const minEventsBeforeMove = 5;

/** Factor of a spell from which an endpoint has turned slow; fast ones take up to twice as long when all of their slots are taken. */
const slowEpisodicFactor = 2.4;

/** Time that a move takes, in milliseconds: the prompt and what was made are read again. */
const moveMs = 50;

/** Least time that a move must save, in milliseconds: less is within what lengths are off by. */
const minGainMs = 500;

/** How much faster the other endpoint must be, as a factor. */
const minSpeedup = 1.3;

/**
 * Expected time for a unit over the next seconds, in milliseconds. A moment is over before a text is; and an endpoint that is merely full becomes
 * faster as other texts end, so that a text that left it for an idle one of the same class would have gained nothing.
 */
function estimateUnitMs({classMs: persistentMs, spell: episodicFactor}: EndpointSpeed): number | undefined {
	return persistentMs === undefined ? undefined : persistentMs * (episodicFactor < slowEpisodicFactor ? 1 : episodicFactor);
}

/** Whether a text may be saved by another endpoint; nothing needs to be known of others for that. */
export function isAtRisk({madeHere, unitsLeft, dueInMs}: MovableText, here: EndpointSpeed): boolean {
	const unitMs = estimateUnitMs(here);
	if (unitMs === undefined || (madeHere < minEventsBeforeMove && here.spell < slowEpisodicFactor)) {
		return false;
	}

	const finishMs = unitsLeft * unitMs;
	return finishMs >= minGainMs && finishMs > (dueInMs ?? 0);
}

/** Whether a text at risk gains enough by going on elsewhere. */
export function gainsBy({unitsLeft}: MovableText, here: EndpointSpeed, there: EndpointSpeed): boolean {
	const hereMs = estimateUnitMs(here);
	const thereMs = estimateUnitMs(there);
	return hereMs !== undefined && thereMs !== undefined && thereMs * minSpeedup < hereMs && (unitsLeft * (hereMs - thereMs)) - moveMs >= minGainMs;
}
