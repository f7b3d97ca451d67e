/**
 * Writes responses: problem documents and server-sent events.
 */
import type {ServerResponse} from 'node:http';
import {HttpError, type ErrorHandler, type HttpErrorCode} from '@wasabiusher/daemon';
import {
	createProblem, describeError, type Problem, type ProblemKind,
} from '@wasabiusher/shared';
import type {Run} from '@wasabiusher/systems';
import {ProblemError, type ProblemDetails} from './errors.js';

/** Responds with a problem document. `Retry-After` is in whole seconds, at least 1. */
export function sendProblem(response: ServerResponse, problem: Problem, details: ProblemDetails = {}): void {
	const headers: Record<string, string> = {'content-type': 'application/problem+json'};
	if (problem.retryAfterMs !== undefined) {
		headers['retry-after'] = String(Math.max(1, Math.ceil(problem.retryAfterMs / 1000)));
	}

	if (problem.kind === 'unauthorized') {
		headers['www-authenticate'] = 'Bearer';
	}

	// The rest of the request body is not read, so the connection cannot be reused for another request.
	if (problem.kind === 'too-large') {
		headers.connection = 'close';
	}

	response.writeHead(problem.status, headers);
	response.end(`${JSON.stringify({...problem, ...details})}\n`);
}

/** Responds to an error thrown by a route; closes the connection if the headers have been sent already. */
export const answerError: ErrorHandler = (error, {response}) => {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	const {problem, details} = toProblemError(error);
	sendProblem(response, problem, details);
};

const httpKinds: Readonly<Record<HttpErrorCode, ProblemKind>> = {
	'too-large': 'too-large', malformed: 'bad-request', 'cut-off': 'bad-request', 'no-room': 'overloaded',
};

function toProblemError(error: unknown): ProblemError {
	if (error instanceof ProblemError) {
		return error;
	}

	return new ProblemError(error instanceof HttpError
		? createProblem(httpKinds[error.code], error.message, 'no', error.retryAfterMs)
		: createProblem('internal', describeError(error), 'unknown'));
}

/** Sends the headers of a stream of server-sent events. */
export function startEventStream(response: ServerResponse): void {
	// `x-accel-buffering` tells load balancers not to buffer events.
	response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-accel-buffering': 'no'});
	response.flushHeaders();
}

/** Writes one server-sent event. Returns false if the write buffer is full and the next event should wait for `drain`. */
export function sendEvent(response: ServerResponse, data: unknown, event?: string): boolean {
	const name = event === undefined ? '' : `event: ${event}\n`;
	return response.write(`${name}data: ${typeof data === 'string' ? data : JSON.stringify(data)}\n\n`);
}

/**
 * Binds a call to the connection of its caller: a closed connection cancels the call, and
 * a drained write buffer resumes a call that was paused by backpressure.
 */
export function bindRun(response: ServerResponse, run: Run): void {
	response.on('close', () => {
		run.cancel();
	});
	response.on('drain', () => {
		run.resume?.();
	});
	// The caller may have disconnected while its request was read; `close` is not emitted a second time.
	if (response.destroyed) {
		run.cancel();
	}
}
