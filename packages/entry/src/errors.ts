/**
 * Problems thrown by routes, answered as `application/problem+json`.
 */
import {LayerError, type Problem, type ProblemKind} from '@wasabiusher/shared';

/** Carries the problem to be answered. */
export class ProblemError extends LayerError<ProblemKind> {
	override readonly name = 'ProblemError';
	readonly problem: Problem;

	constructor(problem: Problem) {
		super(problem.kind, problem.detail);
		this.problem = problem;
	}
}
