/**
 * Where a text goes on that its present endpoint would finish too late.
 */
import {
	chooseDirect, gainsBy, isAtRisk, type MovableText,
} from '@wasabiusher/decisions';
import type {EndpointStanding} from './endpoint-state.js';

/** What moves are decided by. */
export type MoveRequest = {
	text: MovableText;
	current: EndpointStanding;
	/** Names what it shares with other texts. */
	warmKey: string | undefined;
	dedicated: ReadonlySet<string> | undefined;
	/** A number in [0, 1). */
	chance: number;
	/** Endpoints that could take it now; asked for only if the text is at risk, since each event of each text comes here. */
	listEligible(): EndpointStanding[];
};

/** The endpoint at which a text had better go on; undefined if it stays. */
export function chooseMove({text, current, listEligible, warmKey, dedicated, chance}: MoveRequest): EndpointStanding | undefined {
	const {speed} = current;
	if (!isAtRisk(text, speed)) {
		return undefined;
	}

	const better = new Map(listEligible().flatMap(state => {
		const candidate = state.toCandidate(warmKey, dedicated);
		const hasRoom = state !== current && candidate.open + candidate.others < candidate.slots;
		return hasRoom && gainsBy(text, speed, state.speed) ? [[candidate, state] as const] : [];
	}));
	const chosen = chooseDirect([...better.keys()], chance);
	return chosen && better.get(chosen);
}
