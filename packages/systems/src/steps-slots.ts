/**
 * The places of a step and what is being made for each.
 */
import type {Problem, Sample} from '@wasabiusher/shared';
import type {Drawing} from './steps-drawing.js';

/**
 * - `idle`: no attempt is under way
 * - `drawing`: one attempt or more are
 * - `scoring`: the first attempt to finish waits for its score
 * - `ready`: can be handed over once its group is whole
 * - `failed`: can not be made, and the trainer is told so
 * - `done`: the trainer has acknowledged it, and it is no longer held
 */
export type SlotState = 'idle' | 'drawing' | 'scoring' | 'ready' | 'failed' | 'done';

/** One sample's place. */
export type Slot = {
	place: number;
	group: number;
	state: SlotState;
	/** Attempts so far. */
	draws: number;
	drawings: Map<number, Drawing>;
	/** When the oldest attempt under way was dispatched, on the monotonic clock. */
	startedAt: number;
	/** Not drawn before this, on the monotonic clock. */
	notBefore: number;
	/** While `scoring`, `ready`. */
	sample?: Sample;
	/** While `failed`. */
	problem?: Problem;
	/** Has been written to a trainer's stream, which may have been lost. */
	isHandedOver: boolean;
};

/** What decisions about a step's order are made from. */
export type SlotFacts = Readonly<Pick<Slot, 'place' | 'group' | 'state' | 'draws' | 'startedAt'>> & {
	attempts: number;
	/** Tokens that the furthest attempt has made. */
	tokens: number;
	/** Where the first attempt runs; empty if it waits. */
	endpoint: string;
};

export function createSlots(total: number, groupSize: number): Slot[] {
	return Array.from({length: total}, (_, place) => ({
		place, group: Math.floor(place / groupSize), state: 'idle', draws: 0, drawings: new Map(), startedAt: 0, notBefore: 0, isHandedOver: false,
	}));
}

export function describeSlot({place, group, state, draws, startedAt, drawings}: Slot): SlotFacts {
	return {
		place,
		group,
		state,
		draws,
		startedAt,
		attempts: drawings.size,
		tokens: Math.max(0, ...[...drawings.values()].map(({draft}) => draft.tokens)),
		endpoint: [...drawings.values()].flatMap(({endpoints}) => endpoints)[0] ?? '',
	};
}

/** Stops all attempts at a place. */
export function cancelDrawings(slot: Slot): void {
	for (const drawing of slot.drawings.values()) {
		drawing.cancel();
	}

	slot.drawings.clear();
}
