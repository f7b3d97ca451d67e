/**
 * Problems thrown by routes, answered as `application/problem+json`.
 */
import {
	createProblem, LayerError, type Problem, type ProblemKind,
} from '@wasabiusher/shared';
import type {z} from 'zod';

/** One thing wrong with a document, and where. */
export type Finding = {path: Array<string | number>; message: string};

/** Members of an answer beside those that every problem has. */
export type ProblemDetails = {[member: string]: unknown; problems?: Finding[]};

/** Carries the problem to be answered. */
export class ProblemError extends LayerError<ProblemKind> {
	override readonly name = 'ProblemError';
	readonly problem: Problem;
	readonly details: ProblemDetails;

	constructor(problem: Problem, details: ProblemDetails = {}) {
		super(problem.kind, problem.detail);
		this.problem = problem;
		this.details = details;
	}
}

/** Refuses a request that is not valid; nothing has run. */
export function refuseRequest(detail: string): never {
	throw new ProblemError(createProblem('bad-request', detail, 'no'));
}

/** Lists all that a schema has found. */
export function listFindings(error: z.ZodError): Finding[] {
	return error.issues.map(({path, message}) => ({
		path: path.map(part => typeof part === 'symbol' ? String(part) : part), message,
	}));
}

/** Checks a body; throws `ProblemError` that names each bad field. */
export function parseBody<Schema extends z.ZodType>(schema: Schema, value: unknown): z.infer<Schema> {
	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return parsed.data;
	}

	const problems = listFindings(parsed.error);
	const detail = problems.map(({path, message}) => path.length === 0 ? message : `field ${path.join('.')}: ${message}`).join('; ');
	throw new ProblemError(createProblem('bad-request', detail, 'no'), {problems});
}
