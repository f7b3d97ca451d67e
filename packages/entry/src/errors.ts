/**
 * Errors thrown by routes; the response is an `application/problem+json` document.
 */
import {
	createProblem, LayerError, type Problem, type ProblemKind,
} from '@wasabiusher/shared';
import type {z} from 'zod';

/** One validation error of a document and its path. */
export type ValidationIssue = {path: Array<string | number>; message: string};

/** Additional members of a problem document. */
export type ProblemDetails = {[member: string]: unknown; problems?: ValidationIssue[]};

/** Carries the problem that is sent as the response. */
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

/** Throws a `bad-request` problem; the request has not run. */
export function rejectRequest(detail: string): never {
	throw new ProblemError(createProblem('bad-request', detail, 'no'));
}

/** Lists all issues that a schema reported. */
export function listIssues(error: z.ZodError): ValidationIssue[] {
	return error.issues.map(({path, message}) => ({
		path: path.map(part => typeof part === 'symbol' ? String(part) : part), message,
	}));
}

/** Validates a body; throws a `ProblemError` that names each invalid field. */
export function parseBody<Schema extends z.ZodType>(schema: Schema, value: unknown): z.infer<Schema> {
	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return parsed.data;
	}

	const problems = listIssues(parsed.error);
	const detail = problems.map(({path, message}) => path.length === 0 ? message : `field ${path.join('.')}: ${message}`).join('; ');
	throw new ProblemError(createProblem('bad-request', detail, 'no'), {problems});
}
