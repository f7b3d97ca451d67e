/**
 * Problem details (RFC 9457) returned to callers, trainers and operators, extended by `ran`: whether the request may have had an effect.
 */
import {z} from 'zod';

/** `no` is only reported if it is certain that no byte of the request reached an endpoint. */
export const ranSchema = z.enum(['no', 'yes', 'unknown']);

export type Ran = z.infer<typeof ranSchema>;

const problemKindSchema = z.enum([
	'bad-request',
	'unauthorized',
	'not-found',
	'conflict',
	'too-large',
	'quarantined',
	'overloaded',
	'internal',
	'endpoint-failed',
	'unavailable',
	'deadline-exceeded',
]);

export type ProblemKind = z.infer<typeof problemKindSchema>;

/** HTTP status and title of each kind of problem. */
export const problems: Readonly<Record<ProblemKind, {status: number; title: string}>> = {
	'bad-request': {status: 400, title: 'The request is not valid'},
	unauthorized: {status: 401, title: 'A valid token is required'},
	'not-found': {status: 404, title: 'There is nothing at this address'},
	conflict: {status: 409, title: 'The request conflicts with the current state'},
	'too-large': {status: 413, title: 'The request body is too large'},
	quarantined: {status: 422, title: 'This request has crashed endpoints and is quarantined'},
	overloaded: {status: 429, title: 'The service is at capacity'},
	internal: {status: 500, title: 'The service failed'},
	'endpoint-failed': {status: 502, title: 'The endpoint failed while the request ran'},
	unavailable: {status: 503, title: 'No endpoint can take the request now'},
	'deadline-exceeded': {status: 504, title: 'The deadline passed'},
};

/** The body of an `application/problem+json` response. */
export const problemSchema = z.object({
	type: z.string(),
	kind: problemKindSchema,
	title: z.string(),
	status: z.int(),
	detail: z.string(),
	ran: ranSchema,
	retryAfterMs: z.number().nonnegative().optional(),
});

export type Problem = z.infer<typeof problemSchema>;

/**
 * Builds a problem of a known kind.
 *
 * @param retryAfterMs - time after which the caller should retry, in milliseconds
 */
export function createProblem(kind: ProblemKind, detail: string, ran: Ran, retryAfterMs?: number): Problem {
	const {status, title} = problems[kind];
	return {
		type: `urn:wasabiusher:problem:${kind}`, kind, title, status, detail, ran, ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
	};
}
