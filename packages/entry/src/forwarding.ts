/**
 * `/<service>/…`, forwarded to plain services with method, query, body and status kept.
 */
import {randomUUID} from 'node:crypto';
import {readBytes, type Exchange} from '@wasabiusher/daemon';
import {listEndToEndHeaders} from '@wasabiusher/platform';
import {createProblem, hashText, type Configuration} from '@wasabiusher/shared';
import type {Dispatcher} from '@wasabiusher/systems';
import {sendProblem} from './answers.js';
import {readCallHeaders} from './call-headers.js';
import {ProblemError} from './errors.js';

export type ForwardingRoutes = {
	dispatcher: Dispatcher;
	configuration(): Configuration;
};

/** Handles one exchange whose path begins with the name of a plain service. */
export async function handleForward({request, response, parameters}: Exchange, {dispatcher, configuration}: ForwardingRoutes): Promise<void> {
	const service = parameters.service!;
	if (configuration().services[service]?.kind !== 'plain') {
		throw new ProblemError(createProblem('not-found', `there is no service "${service}"`, 'no'));
	}

	const headers = readCallHeaders(request, configuration());
	const body = await readBytes(request);
	const path = request.url!.slice(service.length + 1) || '/';
	const method = request.method!;
	const run = dispatcher.submit({
		id: randomUUID(),
		service,
		work: {
			kind: 'forward', method, path, headers: listEndToEndHeaders(request.headers), ...(body.length > 0 ? {body} : {}),
		},
		caller: headers.caller,
		profileName: headers.profileName,
		profile: headers.profile,
		deadlineAt: headers.deadlineAt,
		cost: 1,
		fingerprint: hashText(`${method} ${path} ${new TextDecoder().decode(body)}`),
	}, {
		onEvent(event) {
			if (event.kind === 'head') {
				response.writeHead(event.status, event.headers);
			}

			if (event.kind === 'body') {
				response.write(event.chunk);
			}

			if (event.kind === 'finished') {
				response.end();
			}
		},
		onRestart: () => !response.headersSent,
		onFailed(problem) {
			if (response.headersSent) {
				response.destroy();
			} else {
				sendProblem(response, problem);
			}
		},
	});
	response.on('close', () => {
		run.cancel();
	});
}
