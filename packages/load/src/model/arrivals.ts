/**
 * What callers send in the model: Poisson arrivals, seeded.
 */
import type {PriorityClass, Random} from '@wasabiusher/shared';
import type {Call} from './call.js';

/** Calls of one kind. */
export type Traffic = {
	class: PriorityClass;
	/** Callers that send it, in equal parts. */
	callers: readonly string[];
	/** Mean work of a call, which is what is known beforehand, in milliseconds on a slot. */
	expectedMs: number;
	deadlineMs: number;
	/** Calls a second at a time in milliseconds. */
	rate(now: number): number;
	/** Work of a call in milliseconds on a slot. */
	drawWork(random: Random): number;
};

/** Draws work evenly from half to one and a half of the mean. */
export function drawEvenly(meanMs: number): (random: Random) => number {
	return random => meanMs * (0.5 + random.next());
}

/** All calls of some traffic until a time, in order. Slots of time are a millisecond. */
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
		// While nothing is sent, look again soon.
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
