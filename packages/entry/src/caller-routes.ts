/**
 * HTTP routes for callers: completions, and a catch-all that forwards requests to plain services.
 */
import type {HttpServer} from '@wasabiusher/daemon';
import {createProblem, type Configuration} from '@wasabiusher/shared';
import type {Call, CallListener, Run} from '@wasabiusher/systems';
import {handleCompletion} from './completions.js';
import {ProblemError} from './errors.js';
import {handleForward} from './forwarding.js';

export type CallerRoutes = {
	/** Starts a call; `idempotencyKey` is the one that the caller sent, if any. */
	submit(call: Call, listener: CallListener, idempotencyKey?: string): Run;
	configuration(): Configuration;
};

/** Adds the routes to a server. The last ones match every path, so other routes must be added before. */
export function addCallerRoutes(server: HttpServer, routes: CallerRoutes): void {
	server.on('post', '/v1/completions', async exchange => handleCompletion('text', exchange, routes));
	server.on('post', '/v1/chat/completions', async exchange => handleCompletion('chat', exchange, routes));
	server.on('all', '/:service', async exchange => handleForward(exchange, routes));
	server.on('all', '/:service/*', async exchange => handleForward(exchange, routes));
	addUnknownRoute(server);
}

/** Maximum length of a path quoted in an error message, in characters. */
const maxShownPath = 128;

/** Responds with `not-found` to paths that no other route matches. */
export function addUnknownRoute(server: HttpServer): void {
	server.on('all', '*', ({request}) => {
		throw new ProblemError(createProblem('not-found', `there is no route ${request.method} ${request.url!.slice(0, maxShownPath)}`, 'no'));
	});
}
