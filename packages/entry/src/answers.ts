/**
 * Writing of answers: problems and server-sent events.
 */
import type {ServerResponse} from 'node:http';
import {HttpError, type ErrorHandler} from '@wasabiusher/daemon';
import {createProblem, describeError, type Problem} from '@wasabiusher/shared';
import {ProblemError} from './errors.js';

/** Answers with a problem; `Retry-After` is in whole seconds, at least one. */
export function sendProblem(response: ServerResponse, problem: Problem): void {
	const headers: Record<string, string> = {'content-type': 'application/problem+json'};
	if (problem.retryAfterMs !== undefined) {
		headers['retry-after'] = String(Math.max(1, Math.ceil(problem.retryAfterMs / 1000)));
	}

	response.writeHead(problem.status, headers);
	response.end(`${JSON.stringify(problem)}\n`);
}

/** Answers what a route has thrown. */
export const answerError: ErrorHandler = (error, {response}) => {
	const problem = toProblem(error);
	if (response.headersSent) {
		response.destroy();
	} else {
		sendProblem(response, problem);
	}
};

function toProblem(error: unknown): Problem {
	if (error instanceof ProblemError) {
		return error.problem;
	}

	if (error instanceof HttpError) {
		return createProblem(error.code === 'too-large' ? 'too-large' : 'bad-request', error.message, 'no');
	}

	return createProblem('internal', describeError(error), 'unknown');
}

/** Begins a stream of server-sent events. */
export function startEvents(response: ServerResponse): void {
	response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
	response.flushHeaders();
}

/** Writes one server-sent event. */
export function sendEvent(response: ServerResponse, data: unknown, event?: string): void {
	const name = event === undefined ? '' : `event: ${event}\n`;
	response.write(`${name}data: ${typeof data === 'string' ? data : JSON.stringify(data)}\n\n`);
}
