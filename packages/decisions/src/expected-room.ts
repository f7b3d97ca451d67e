/**
 * Whether an endpoint has probably room for one more request.
 *
 * Load pattern: calls of 25 ms go to endpoints that tell their load with each answer, some hundred ms apart, while other hosts send there as well.
 * What was told is true for the time of a few requests; believed for a second it keeps calls away from slots that are free, and not believed at all
 * it sends a burst to endpoints that are full.
 */
import {findMiddle} from '@wasabiusher/shared';
import {usualWorkMs} from './return-plan.js';

/** What is known of an endpoint's room. */
export type KnownRoom = {
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
const ahead = 1;

/** Pace over the typical one from which an endpoint is slow: more than sound endpoints of one service differ by. */
const slowFactor = 1.8;

/** Pace above which an endpoint of a service is slow, in milliseconds; undefined until some were measured. */
export function findSlowPace(pacesMs: ReadonlyArray<number | undefined>): number | undefined {
	const typical = findMiddle(pacesMs.filter(paceMs => paceMs !== undefined));
	return typical === undefined ? undefined : slowFactor * typical;
}

/** Whether it has probably room now: by what was told, less what has ended since then at its pace. */
export function isRoomExpected({
	slots, open, others, ageMs, workMs = usualWorkMs,
}: KnownRoom): boolean {
	const excess = open + others + 1 - slots - ahead;
	return excess <= 0 || (open < slots + ahead && ageMs >= excess * workMs / Math.max(1, slots));
}
