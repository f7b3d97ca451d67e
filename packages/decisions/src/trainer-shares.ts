/**
 * How trainers divide the engines.
 *
 * Load pattern: several trainers draw steps at once, of different sizes and begun at different times. Without
 * this the one that asks first or for the most holds the engines, and another misses its deadline by waiting.
 * Each gets the rate that its step still needs to be whole by its deadline; what is left goes by the operators'
 * shares, to steps first and then to the next step's work, which so fills a step's tail.
 */

/** What a trainer's current step still lacks. */
export type TrainerDemand = {
	trainer: string;
	/** Weight of its profile. */
	share: number;
	/** Predicted tokens of what is not finished. */
	remainingTokens: number;
	/** When the step should be whole, on the clock of `now`. */
	deadlineAt: number;
	/** Slots that its unfinished samples can use. */
	usableSlots: number;
	/** Slots that work for its next step could use; 0 unless staleness allows it. */
	nextStepSlots: number;
};

/** A step whole within 3 minutes, in milliseconds: the size to design for. */
export const stepDeadlineMs = 180_000;

/** Least time left that a need is worked out from, in milliseconds, so that a late step does not take everything. */
const minRemainingMs = 10_000;

type Claim = {trainer: string; wanted: number; weight: number};

/**
 * Slots of each trainer; they add up to at most `slots`.
 *
 * @param slotSpeed - tokens a millisecond that one slot makes
 */
export function divideSlots(demands: readonly TrainerDemand[], slots: number, slotSpeed: number, now: number): Map<string, number> {
	const given = new Map(demands.map(({trainer}) => [trainer, 0]));
	const deadlineClaims = demands.map(need => ({
		trainer: need.trainer, wanted: Math.min(need.usableSlots, countSlotsForDeadline(need, slotSpeed, now)), weight: countSlotsForDeadline(need, slotSpeed, now),
	}));
	let left = fillClaims(deadlineClaims, slots, given);
	left = fillClaims(demands.map(({trainer, usableSlots, share}) => ({trainer, wanted: usableSlots - given.get(trainer)!, weight: share})), left, given);
	fillClaims(demands.map(({trainer, nextStepSlots: nextSlots, share}) => ({trainer, wanted: nextSlots, weight: share})), left, given);
	return given;
}

function countSlotsForDeadline({remainingTokens, deadlineAt}: TrainerDemand, slotSpeed: number, now: number): number {
	return remainingTokens / slotSpeed / Math.max(minRemainingMs, deadlineAt - now);
}

/** Divides slots by weight, none more than it wants (water-filling); returns what is left. */
function fillClaims(claims: readonly Claim[], slots: number, given: Map<string, number>): number {
	let left = slots;
	let open = claims.filter(({wanted, weight}) => wanted > 0 && weight > 0);
	while (open.length > 0 && left > 0) {
		const level = left / open.reduce((sum, {weight}) => sum + weight, 0);
		const full = open.filter(({wanted, weight}) => wanted <= weight * level);
		const settled = full.length > 0 ? full : open;
		for (const {trainer, wanted, weight} of settled) {
			const amount = Math.min(wanted, weight * level);
			given.set(trainer, given.get(trainer)! + amount);
			left -= amount;
		}

		open = open.filter(claim => !settled.includes(claim));
	}

	return left;
}
