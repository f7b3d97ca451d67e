/**
 * The operators' interface, on an address of its own.
 */
import {z} from 'zod';
import {readJson, sendJson, type HttpServer} from '@wasabiusher/daemon';
import {RecordError, type ConfigurationHistory} from '@wasabiusher/record';
import {configurationSchema, createProblem, type AcceptedConfiguration} from '@wasabiusher/shared';
import {ProblemError} from './errors.js';
import {checkToken} from './tokens.js';

const changeSchema = z.strictObject({
	configuration: configurationSchema,
	author: z.string().min(1).max(128),
	ifVersion: z.int().nonnegative().optional(),
});

export type OperatorRoutes = {
	history: ConfigurationHistory;
	tokens: readonly string[];
	current(): AcceptedConfiguration;
	adopt(accepted: AcceptedConfiguration): void;
};

const historyLimit = 50;

/** Adds the routes to a server. */
export function addOperatorRoutes(server: HttpServer, {history, tokens, current, adopt}: OperatorRoutes): void {
	server.on('post', '/v1/configuration', async ({request, response}) => {
		checkToken(request, tokens);
		const parsed = changeSchema.safeParse(await readJson(request));
		if (!parsed.success) {
			const details = parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`);
			throw new ProblemError(createProblem('bad-request', details.join('; '), 'no'));
		}

		try {
			const accepted = await history.append({...parsed.data, acceptedAt: Date.now()});
			adopt(accepted);
			sendJson(response, 200, accepted);
		} catch (error) {
			throw toProblemError(error);
		}
	});
	server.on('get', '/v1/configuration', ({request, response}) => {
		checkToken(request, tokens);
		sendJson(response, 200, current());
	});
	server.on('get', '/v1/configuration/history', async ({request, response}) => {
		checkToken(request, tokens);
		sendJson(response, 200, await history.list(historyLimit));
	});
}

function toProblemError(error: unknown): unknown {
	if (!(error instanceof RecordError)) {
		return error;
	}

	const kinds = {conflict: 'conflict', unavailable: 'unavailable', unknown: 'internal'} as const;
	return new ProblemError(createProblem(kinds[error.code], error.message, error.code === 'unknown' ? 'unknown' : 'no'));
}
