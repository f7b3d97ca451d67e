/**
 * Writing of answers: problems and server-sent events.
 */
import type {ServerResponse} from 'node:http';
import {HttpError, type ErrorHandler, type HttpErrorCode} from '@wasabiusher/daemon';
import {
	createProblem, describeError, type Problem, type ProblemKind,
} from '@wasabiusher/shared';
import type {Run} from '@wasabiusher/systems';
import {ProblemError, type ProblemDetails} from './errors.js';

/** Answers with a problem; `Retry-After` is in whole seconds, at least one. */
export function sendProblem(response: ServerResponse, problem: Problem, details: ProblemDetails = {}): void {
	const headers: Record<string, string> = {'content-type': 'application/problem+json'};
	if (problem.retryAfterMs !== undefined) {
		headers['retry-after'] = String(Math.max(1, Math.ceil(problem.retryAfterMs / 1000)));
	}

	if (problem.kind === 'unauthorized') {
		headers['www-authenticate'] = 'Bearer';
	}

	// The rest of the body will not be read, so the connection can't carry another request.
	if (problem.kind === 'too-large') {
		headers.connection = 'close';
	}

	response.writeHead(problem.status, headers);
	response.end(`${JSON.stringify({...problem, ...details})}\n`);
}

/** Answers what a route has thrown. */
export const answerError: ErrorHandler = (error, {response}) => {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	const {problem, details} = toProblemError(error);
	sendProblem(response, problem, details);
};

const httpKinds: Readonly<Record<HttpErrorCode, ProblemKind>> = {
	'too-large': 'too-large', malformed: 'bad-request', 'cut-off': 'bad-request',
};

function toProblemError(error: unknown): ProblemError {
	if (error instanceof ProblemError) {
		return error;
	}

	return new ProblemError(error instanceof HttpError
		? createProblem(httpKinds[error.code], error.message, 'no')
		: createProblem('internal', describeError(error), 'unknown'));
}

/** Begins a stream of server-sent events. */
export function startEvents(response: ServerResponse): void {
	// `x-accel-buffering` asks balancers not to hold events back.
	response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-accel-buffering': 'no'});
	response.flushHeaders();
}

/** Writes one server-sent event; false if the reader has to catch up before the next. */
export function sendEvent(response: ServerResponse, data: unknown, event?: string): boolean {
	const name = event === undefined ? '' : `event: ${event}\n`;
	return response.write(`${name}data: ${typeof data === 'string' ? data : JSON.stringify(data)}\n\n`);
}

/**
 * Binds a call to the connection of its caller: the caller's going away cancels it, and
 * a connection that takes no more pauses it until it has drained.
 */
export function bindRun(response: ServerResponse, run: Run): void {
	response.on('close', () => {
		run.cancel();
	});
	response.on('drain', () => {
		run.resume?.();
	});
	// The caller may have gone while its request was read, and `close` does not come again.
	if (response.destroyed) {
		run.cancel();
	}
}
