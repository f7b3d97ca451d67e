/**
 * Estimates whether an endpoint has capacity for one more request.
 *
 * Load pattern: calls of 25 ms go to endpoints that report their load with each answer, some hundred ms apart, while other hosts send requests to them
 * as well. A report is valid for the duration of a few requests. If it is trusted for a second, calls avoid slots that are free; if it is ignored, a
 * burst goes to endpoints that are full.
 */
import {findLowerMedian} from '@wasabiusher/shared';
import {defaultWorkMs} from './retry-after-plan.js';

/** Known occupancy of an endpoint. */
export type EndpointOccupancy = {
	slots: number;
	/** Open requests of this process at the endpoint. */
	open: number;
	/** Open requests of other processes at the endpoint, as last reported, and the age of that report in milliseconds. */
	openElsewhere: number;
	ageMs: number;
	/** Time that a request takes at the endpoint, in milliseconds; undefined until measured. */
	workMs: number | undefined;
};

/** Requests that may queue at the endpoint, so that no slot is idle while an answer and the next request are in transit. */
const queuedAhead = 1;

/** Factor over the median pace above which an endpoint counts as slow: more than the difference between healthy endpoints of one service. */
const slowPaceFactor = 1.8;

/** Returns the pace above which an endpoint of a service counts as slow, in milliseconds; undefined until some were measured. */
export function findSlowPaceMs(pacesMs: ReadonlyArray<number | undefined>): number | undefined {
	const medianMs = findLowerMedian(pacesMs.filter(paceMs => paceMs !== undefined));
	return medianMs === undefined ? undefined : slowPaceFactor * medianMs;
}

/** Returns whether the endpoint probably has capacity now: by its last report, minus the requests that have ended since then at its pace. */
export function hasExpectedHeadroom({
	slots, open, openElsewhere, ageMs, workMs = defaultWorkMs,
}: EndpointOccupancy): boolean {
	const excess = open + openElsewhere + 1 - slots - queuedAhead;
	return excess <= 0 || (open < slots + queuedAhead && ageMs >= excess * workMs / Math.max(1, slots));
}
