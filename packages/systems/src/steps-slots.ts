/**
 * The slots of a step: the state of each sample and its attempts.
 */
import type {Problem, Sample} from '@wasabiusher/shared';
import type {SampleAttempt} from './steps-attempt.js';

/**
 * - `idle`: no attempt is running
 * - `drawing`: at least one attempt is running
 * - `scoring`: the first attempt to finish waits for its score
 * - `ready`: can be delivered once its group is whole
 * - `failed`: cannot be made, which is reported to the trainer
 * - `done`: the trainer has acknowledged it, and it is no longer held
 */
export type SlotState = 'idle' | 'drawing' | 'scoring' | 'ready' | 'failed' | 'done';

/** The slot of one sample. */
export type Slot = {
	position: number;
	group: number;
	state: SlotState;
	/** Number of attempts started so far. */
	startedAttempts: number;
	attempts: Map<number, SampleAttempt>;
	/** When the oldest running attempt was dispatched, on the monotonic clock. */
	startedAt: number;
	/** Earliest time of the next attempt, on the monotonic clock. */
	notBefore: number;
	/** Present in the states `scoring` and `ready`. */
	sample?: Sample;
	/** Present in the state `failed`. */
	problem?: Problem;
	/** The sample has been written to a trainer's stream, which may have been lost. */
	isHandedOver: boolean;
};

/** State of a slot, as the decisions about a step use it. */
export type SlotFacts = Readonly<Pick<Slot, 'position' | 'group' | 'state' | 'startedAttempts' | 'startedAt'>> & {
	runningAttempts: number;
	/** Number of tokens of the most advanced attempt. */
	tokens: number;
	/** Endpoint where the first attempt runs; empty if it waits. */
	endpoint: string;
};

export function createSlots(total: number, groupSize: number): Slot[] {
	return Array.from({length: total}, (_, position) => ({
		position, group: Math.floor(position / groupSize), state: 'idle', startedAttempts: 0, attempts: new Map(), startedAt: 0, notBefore: 0, isHandedOver: false,
	}));
}

export function describeSlot({position, group, state, startedAttempts, startedAt, attempts}: Slot): SlotFacts {
	return {
		position,
		group,
		state,
		startedAttempts,
		startedAt,
		runningAttempts: attempts.size,
		tokens: Math.max(0, ...[...attempts.values()].map(({draft}) => draft.tokens)),
		endpoint: [...attempts.values()].flatMap(({endpoints}) => endpoints)[0] ?? '',
	};
}

/** Cancels all attempts of a slot. */
export function cancelAttempts(slot: Slot): void {
	for (const attempt of slot.attempts.values()) {
		attempt.cancel();
	}

	slot.attempts.clear();
}
