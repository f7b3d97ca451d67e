/**
 * Divides the free slots of one endpoint among hosts.
 *
 * Load pattern: the steps of several trainers begin within tenths of a second, and a dozen hosts want all slots of the same endpoints at once. The most
 * urgent work goes first, by class and then by the time left; but a host whose work is never the most urgent must not starve.
 */
import type {QueuedWork} from './slot-allocation.js';

/** Work of one host that waits for slots beyond the slots that it was allocated. */
export type SlotClaim = {
	host: string;
	/** Most urgent first. */
	wants: readonly QueuedWork[];
	/** Time since the host last got a slot or began to wait for one, in milliseconds. */
	waitedMs: number;
};

/** One of this many slots goes to the host that has waited longest, so that each host gets at least a quarter of the average. */
export const fairnessIntervalSlots = 4;

/** A claim and its progress: the index of the first want that is not fully served, the requests of that want that are served, and the index of the last slot granted to the host. */
type RemainingClaim = {claim: SlotClaim; wantIndex: number; served: number; lastGrantIndex: number};

/**
 * Divides slots, in time proportional to slots and hosts, independent of the amount of waiting work.
 *
 * @param dividedBefore - number of slots that were divided before; with it, one slot at a time gives the same result as many at once
 * @returns slots by host, without hosts that get none; never more than `free` in total, nor more than a host wants
 */
export function divideSlots(free: number, claims: readonly SlotClaim[], dividedBefore: number): Map<string, number> {
	const grants = new Map<string, number>();
	const remainingClaims: RemainingClaim[] = claims.map(claim => ({
		claim, wantIndex: 0, served: 0, lastGrantIndex: -1,
	}));
	for (let i = 0; i < free; i += 1) {
		const isFairnessSlot = (dividedBefore + i) % fairnessIntervalSlots === fairnessIntervalSlots - 1;
		const next = findBest(remainingClaims, isFairnessSlot ? hasWaitedLonger : isMoreUrgent);
		if (!next) {
			break;
		}

		const {host, wants} = next.claim;
		grants.set(host, (grants.get(host) ?? 0) + 1);
		next.served += 1;
		next.lastGrantIndex = i;
		if (next.served >= wants[next.wantIndex]!.count) {
			next.wantIndex += 1;
			next.served = 0;
		}
	}

	return grants;
}

/** Returns the first claim, in the given order, that wants more. */
function findBest(claims: readonly RemainingClaim[], isBefore: (a: RemainingClaim, b: RemainingClaim) => boolean): RemainingClaim | undefined {
	let best: RemainingClaim | undefined;
	for (const claim of claims) {
		if (claim.wantIndex < claim.claim.wants.length && (!best || isBefore(claim, best))) {
			best = claim;
		}
	}

	return best;
}

function isMoreUrgent(a: RemainingClaim, b: RemainingClaim): boolean {
	const first = a.claim.wants[a.wantIndex]!;
	const second = b.claim.wants[b.wantIndex]!;
	return first.urgency === second.urgency ? first.dueInMs < second.dueInMs : first.urgency < second.urgency;
}

/** Whether the host of `a` has waited longer than that of `b`. A host that gets a slot in this division counts as having waited less than hosts that get none. */
function hasWaitedLonger(a: RemainingClaim, b: RemainingClaim): boolean {
	return a.lastGrantIndex === b.lastGrantIndex ? a.claim.waitedMs > b.claim.waitedMs : a.lastGrantIndex < b.lastGrantIndex;
}
