/**
 * Forwards `/<service>/…` to plain services, preserving method, path, query, headers, body and status.
 */
import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {readBytes, type Exchange} from '@wasabiusher/daemon';
import {listEndToEndHeaders, splitCookies} from '@wasabiusher/backends';
import {createProblem, hashText, type Configuration} from '@wasabiusher/shared';
import type {CallListener, Run} from '@wasabiusher/systems';
import {bindRun, sendProblem} from './answers.js';
import {readCallHeaders} from './call-headers.js';
import type {CallerRoutes} from './caller-routes.js';
import {ProblemError} from './errors.js';

/** Cost of a plain call in fair queueing; all plain calls count the same. */
const plainCost = 1;

/** Handles one request whose path starts with the name of a plain service. */
export async function handleForward({request, response, parameters}: Exchange, {submit, configuration}: CallerRoutes): Promise<void> {
	const service = parameters.service!;
	const {services} = configuration();
	if (!Object.hasOwn(services, service) || services[service]!.kind !== 'plain') {
		throw new ProblemError(createProblem('not-found', `there is no service "${service.slice(0, 64)}"`, 'no'));
	}

	const {profileName, profile, caller, deadlineAt, idempotencyKey} = readCallHeaders(request, configuration());
	const body = await readBytes(request);
	const path = stripService(request.url!, service);
	const method = request.method!;
	const runs: Run[] = [];
	const listener = createForwardListener(response, () => {
		runs[0]?.pause?.();
	});
	const run = submit({
		id: randomUUID(),
		service,
		work: {
			kind: 'forward', method, path, headers: listEndToEndHeaders(request.headers), ...(body.length > 0 ? {body} : {}),
		},
		caller,
		profileName,
		profile,
		deadlineAt,
		cost: plainCost,
		fingerprint: hashText(`${method} ${path} ${new TextDecoder().decode(body)}`),
	}, listener, idempotencyKey);
	runs.push(run);
	bindRun(response, run);
}

/** Returns the path and query without the leading service name. */
function stripService(url: string, service: string): string {
	const rest = url.slice(service.length + 1);
	return rest.startsWith('/') ? rest : `/${rest}`;
}

function createForwardListener(response: ServerResponse, onBackpressure: () => void): CallListener {
	return {
		onEvent(event) {
			if (event.kind === 'head') {
				response.writeHead(event.status, splitCookies(event.headers));
				response.flushHeaders();
			}

			if (event.kind === 'body' && !response.write(event.chunk)) {
				onBackpressure();
			}

			if (event.kind === 'finished') {
				response.end();
			}
		},
		onRestart: () => !response.headersSent,
		onFailed(problem) {
			if (response.headersSent) {
				// Destroying the connection is the only way left to tell the caller that the body is truncated.
				response.destroy();
			} else {
				sendProblem(response, problem);
			}
		},
	};
}
