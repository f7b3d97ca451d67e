/**
 * Which hosts get the free slots of one endpoint.
 *
 * Load pattern: the steps of several trainers begin within tenths of a second, and a dozen hosts want all slots of the same endpoints at once. What is
 * most urgent goes first, by class and then by the time that is left; but a host whose work is never the most urgent must not wait for ever.
 */
import type {Want} from './ration.js';

/** What one host wants beyond what it was given. */
export type SlotClaim = {
	host: string;
	/** Most urgent first. */
	wants: readonly Want[];
	/** Time since the host last got a slot or began to want one, in milliseconds. */
	waitedMs: number;
};

/** Every so many slots one goes to whoever has waited longest: each gets at least a quarter as much as all on average. */
export const patientEvery = 4;

/** A claim with what is left of it: the place of its first want and how many of that are served. */
type Rest = {claim: SlotClaim; at: number; served: number; lastTurn: number};

/**
 * Divides slots, in a time that grows with the slots and hosts and not with what waits.
 *
 * @param turn - slots that were divided before; with it one slot at a time comes to the same as many at once
 * @returns slots by host, of hosts that get any; never more than `free` in all, nor more than a host wants
 */
export function divideSlots(free: number, claims: readonly SlotClaim[], turn: number): Map<string, number> {
	const gains = new Map<string, number>();
	const rests: Rest[] = claims.map(claim => ({
		claim, at: 0, served: 0, lastTurn: -1,
	}));
	for (let i = 0; i < free; i += 1) {
		const isPatientTurn = (turn + i) % patientEvery === patientEvery - 1;
		const next = findBest(rests, isPatientTurn ? hasWaitedLonger : isMoreUrgent);
		if (!next) {
			break;
		}

		const {host, wants} = next.claim;
		gains.set(host, (gains.get(host) ?? 0) + 1);
		next.served += 1;
		next.lastTurn = i;
		if (next.served >= wants[next.at]!.count) {
			next.at += 1;
			next.served = 0;
		}
	}

	return gains;
}

/** The first in an order of those that want anything more. */
function findBest(rests: readonly Rest[], isBefore: (a: Rest, b: Rest) => boolean): Rest | undefined {
	let best: Rest | undefined;
	for (const rest of rests) {
		if (rest.at < rest.claim.wants.length && (!best || isBefore(rest, best))) {
			best = rest;
		}
	}

	return best;
}

function isMoreUrgent(a: Rest, b: Rest): boolean {
	const first = a.claim.wants[a.at]!;
	const second = b.claim.wants[b.at]!;
	return first.urgency === second.urgency ? first.dueInMs < second.dueInMs : first.urgency < second.urgency;
}

/** Who has just got one has waited least. */
function hasWaitedLonger(a: Rest, b: Rest): boolean {
	return a.lastTurn === b.lastTurn ? a.claim.waitedMs > b.claim.waitedMs : a.lastTurn < b.lastTurn;
}
