/**
 * The callers' interface: completions, and all else forwarded to plain services.
 */
import type {HttpServer} from '@wasabiusher/daemon';
import {createProblem, type Configuration} from '@wasabiusher/shared';
import type {Call, CallListener, Run} from '@wasabiusher/systems';
import {handleCompletion} from './completions.js';
import {ProblemError} from './errors.js';
import {handleForward} from './forwarding.js';

export type CallerRoutes = {
	/** Takes a call; `idempotencyKey` is its caller's. */
	submit(call: Call, listener: CallListener, idempotencyKey?: string): Run;
	configuration(): Configuration;
};

/** Adds the routes to a server; the last of them take all paths that were not taken before. */
export function addCallerRoutes(server: HttpServer, routes: CallerRoutes): void {
	server.on('post', '/v1/completions', async exchange => handleCompletion('text', exchange, routes));
	server.on('post', '/v1/chat/completions', async exchange => handleCompletion('chat', exchange, routes));
	server.on('all', '/:service', async exchange => handleForward(exchange, routes));
	server.on('all', '/:service/*', async exchange => handleForward(exchange, routes));
	addUnknownRoute(server);
}

/** Longest part of a path that an answer repeats, in characters. */
const maxShownPath = 128;

/** Answers paths that no route takes. */
export function addUnknownRoute(server: HttpServer): void {
	server.on('all', '*', ({request}) => {
		throw new ProblemError(createProblem('not-found', `there is no route ${request.method} ${request.url!.slice(0, maxShownPath)}`, 'no'));
	});
}
