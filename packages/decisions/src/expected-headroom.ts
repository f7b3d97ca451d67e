/**
 * Whether an endpoint has probably room for one more request.
 *
 * Load pattern: calls of 25 ms go to endpoints that tell their load with each answer, some hundred ms apart, while other hosts send there as well.
 * What was told is true for the time of a few requests; believed for a second it keeps calls away from slots that are free, and not believed at all
 * it sends a burst to endpoints that are full.
 */
import {findMiddle} from '@wasabiusher/shared';
import {defaultWorkMs} from './retry-after-plan.js';

/** What is known of an endpoint's room. */
export type EndpointOccupancy = {
	slots: number;
	/** Requests of this process that are open there. */
	open: number;
	/** Requests of other processes there, as last told, and the age of that in milliseconds. */
	others: number;
	ageMs: number;
	/** Time that a request takes there, in milliseconds; undefined until measured. */
	workMs: number | undefined;
};

/** Requests that wait at the endpoint itself, so that a slot is not idle while the answer and the next request are on their way. */
const queuedAhead = 1;

/** Pace over the typical one from which an endpoint is slow: more than sound endpoints of one service differ by. */
const slowPaceFactor = 1.8;

/** Pace above which an endpoint of a service is slow, in milliseconds; undefined until some were measured. */
export function findSlowPace(pacesMs: ReadonlyArray<number | undefined>): number | undefined {
	const medianMs = findMiddle(pacesMs.filter(paceMs => paceMs !== undefined));
	return medianMs === undefined ? undefined : slowPaceFactor * medianMs;
}

/** Whether it has probably room now: by what was told, less what has ended since then at its pace. */
export function isRoomExpected({
	slots, open, others: openElsewhere, ageMs, workMs = defaultWorkMs,
}: EndpointOccupancy): boolean {
	const excess = open + openElsewhere + 1 - slots - queuedAhead;
	return excess <= 0 || (open < slots + queuedAhead && ageMs >= excess * workMs / Math.max(1, slots));
}
