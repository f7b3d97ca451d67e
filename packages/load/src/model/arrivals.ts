/**
 * Generates the simulated calls as seeded Poisson arrivals.
 */
import type {PriorityClass, Random} from '@wasabiusher/shared';
import type {Call} from './call.js';

/** A stream of calls with the same class, callers and distribution of work. */
export type Traffic = {
	class: PriorityClass;
	/** Callers that send the calls, in equal proportions. */
	callers: readonly string[];
	/** Mean work of a call, in milliseconds on a slot; the policies' estimate for each call. */
	expectedMs: number;
	deadlineMs: number;
	/** Returns the calls per second at a time in milliseconds. */
	rate(now: number): number;
	/** Draws the work of a call, in milliseconds on a slot. */
	drawWork(random: Random): number;
};

/** Returns a generator of work distributed uniformly between 0.5 and 1.5 times the mean. */
export function drawEvenly(meanMs: number): (random: Random) => number {
	return random => meanMs * (0.5 + random.next());
}

/** Generates all calls of the traffic until a time in milliseconds, sorted by time. */
export function createArrivals(traffic: readonly Traffic[], untilMs: number, random: Random): Call[] {
	return traffic
		.flatMap((kind, index) => createCalls(kind, `${index}`, untilMs, random))
		.toSorted((a, b) => a.at - b.at);
}

function createCalls(kind: Traffic, prefix: string, untilMs: number, random: Random): Call[] {
	const calls: Call[] = [];
	let now = 0;
	while (now < untilMs) {
		const rate = kind.rate(now);
		// While the rate is zero, checks it again every 10 ms.
		now += rate > 0 ? random.exponential(1000 / rate) : 10;
		if (rate > 0 && now < untilMs) {
			calls.push(createCall(kind, `${prefix}-${calls.length}`, now, random));
		}
	}

	return calls;
}

export function createCall({class: name, callers, drawWork, expectedMs, deadlineMs}: Omit<Traffic, 'rate'>, id: string, at: number, random: Random): Call {
	return {
		id, caller: random.pick(callers), class: name, at, deadlineAt: at + deadlineMs, workMs: drawWork(random), expectedMs,
	};
}
