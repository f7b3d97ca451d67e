/**
 * Where a step is run, and what is said when it is not to be had.
 */
import type {RecordedStep} from '@wasabiusher/record';
import {createProblem, type Problem, type ProblemKind} from '@wasabiusher/shared';
import {SampleSet} from './steps-cursor.js';
import type {Step} from './steps-step.js';

/** When a trainer should come back after a refusal, in milliseconds. */
const retryAfterMs = 1000;

/** Where a step is run. */
export type Placement
	= | {kind: 'here'; step: Step}
	/** `ip:port` of the entry that runs it. */
		| {kind: 'elsewhere'; address: string}
		| {kind: 'refused'; problem: Problem};

export type FindOptions = {
	/** The entry that holds the lease did not answer, or is this one asking on another's behalf: do not point to it. */
	isOwnerGone?: boolean;
};

/** Places that the trainer has for good; of a step that was closed all. */
export function listAcknowledged(step: Step, {isClosed, acknowledged}: RecordedStep): Iterable<number> {
	return isClosed ? Array.from({length: step.total}, (_, place) => place) : SampleSet.parse(acknowledged, step.total) ?? [];
}

/** Refuses for now; nothing was run. */
export function refuse(kind: ProblemKind, detail: string): Placement {
	return {kind: 'refused', problem: createProblem(kind, detail, 'no', retryAfterMs)};
}

export function refuseOther(id: string): Placement {
	return {kind: 'refused', problem: createProblem('conflict', `field id: step "${id}" was opened with other content`, 'no')};
}

export function refuseUnknown(id: string): Placement {
	return {kind: 'refused', problem: createProblem('not-found', `there is no step "${id}"`, 'no')};
}

export function refuseUnreadable(id: string): Placement {
	return refuse('unavailable', `the record of step "${id}" can not be read now; post the step again to go on without it`);
}
