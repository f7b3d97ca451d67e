/**
 * Where a step is run, and the problems returned when it cannot be provided.
 */
import type {RecordedStep} from '@wasabiusher/record';
import {createProblem, type Problem, type ProblemKind} from '@wasabiusher/shared';
import {SampleSet} from './steps-cursor.js';
import type {Step} from './steps-step.js';

/** Delay after which a trainer should retry a refused request, in milliseconds. */
const retryAfterMs = 1000;

/** Where a step is run. */
export type Placement
	= | {kind: 'here'; step: Step}
	/** `address` is the `ip:port` of the entry that runs the step. */
		| {kind: 'elsewhere'; address: string}
		| {kind: 'refused'; problem: Problem};

export type FindOptions = {
	/** The entry that holds the lease did not answer, or is this entry acting for another one: do not return the holder's address. */
	isOwnerGone?: boolean;
};

/** Returns the positions of the acknowledged samples; all positions of a closed step. */
export function listAcknowledged(step: Step, {isClosed, acknowledged}: RecordedStep): Iterable<number> {
	return isClosed ? Array.from({length: step.total}, (_, position) => position) : SampleSet.parse(acknowledged, step.total) ?? [];
}

/** Refuses a request temporarily; nothing was run. */
export function refuse(kind: ProblemKind, detail: string): Placement {
	return {kind: 'refused', problem: createProblem(kind, detail, 'no', retryAfterMs)};
}

export function refuseConflict(id: string): Placement {
	return {kind: 'refused', problem: createProblem('conflict', `field id: step "${id}" was opened with other content`, 'no')};
}

export function refuseUnknown(id: string): Placement {
	return {kind: 'refused', problem: createProblem('not-found', `there is no step "${id}"`, 'no')};
}

export function refuseUnreadable(id: string): Placement {
	return refuse('unavailable', `the record of step "${id}" cannot be read now; post the step again to continue without the record`);
}
