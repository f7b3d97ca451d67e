/**
 * Divides the engines' slots among trainers.
 *
 * Load pattern: several trainers run steps at the same time, of different sizes and begun at different times. Without division the one that requests
 * first or most occupies the engines, and another misses its deadline by waiting. Each trainer gets the rate that its step still needs to be complete by
 * its deadline; the rest is divided by the operators' shares, first among steps and then among work for the next steps, which fills the tail of a step.
 */

/** Remaining demand of a trainer's current step. */
export type TrainerDemand = {
	trainer: string;
	/** Weight of its profile. */
	share: number;
	/** Predicted tokens of its unfinished samples. */
	remainingTokens: number;
	/** Time at which the step should be complete, on the clock of `now`. */
	deadlineAt: number;
	/** Number of slots that its unfinished samples can use. */
	usableSlots: number;
	/** Number of slots that work for its next step can use; 0 unless staleness allows it. */
	nextStepSlots: number;
};

/** Time in which a step should be complete, in milliseconds: 3 minutes, the design target. */
export const stepDeadlineMs = 180_000;

/** Minimum remaining time that a demand is computed with, in milliseconds, so that a late step does not take everything. */
const minRemainingMs = 10_000;

type Claim = {trainer: string; wanted: number; weight: number};

/**
 * Returns the slots of each trainer, in total at most `slots`.
 *
 * @param slotSpeed - tokens per millisecond of one slot
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

/** Divides slots by weight, giving no claim more than it wants (water-filling); returns the remaining slots. */
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
