/**
 * Chooses a faster endpoint for a generation that its current endpoint would finish too late.
 */
import {
	chooseDirect, gainsByMoving, isAtRisk, type MovableGeneration,
} from '@wasabiusher/decisions';
import type {EndpointState} from './endpoint-state.js';

/** Input of the decision to move a generation. */
export type MoveRequest = {
	text: MovableGeneration;
	current: EndpointState;
	/** Key of the prompt that it shares with other generations. */
	warmKey: string | undefined;
	dedicated: ReadonlySet<string> | undefined;
	/** A number in [0, 1). */
	chance: number;
	/** Eligible endpoints. Called only for a generation at risk, since the decision is made for each event of each generation. */
	listEligible(): EndpointState[];
};

/** Returns the endpoint at which the generation should continue; undefined if it stays. */
export function chooseMove({text, current, listEligible, warmKey, dedicated, chance}: MoveRequest): EndpointState | undefined {
	const {speed} = current;
	if (!isAtRisk(text, speed)) {
		return undefined;
	}

	const better = new Map(listEligible().flatMap(state => {
		const candidate = state.toCandidate(warmKey, dedicated);
		const hasHeadroom = state !== current && candidate.open + candidate.openElsewhere < candidate.slots;
		return hasHeadroom && gainsByMoving(text, speed, state.speed) ? [[candidate, state] as const] : [];
	}));
	const chosen = chooseDirect([...better.keys()], chance);
	return chosen && better.get(chosen);
}
