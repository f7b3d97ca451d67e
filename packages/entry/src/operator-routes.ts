/**
 * HTTP routes for operators, served on a separate address.
 */
import {z} from 'zod';
import {
	readJson, sendJson, type Exchange, type Handler, type HttpServer,
} from '@wasabiusher/daemon';
import {RecordError, type ConfigurationHistory, type RecordErrorCode} from '@wasabiusher/record';
import {
	configurationSchema, createProblem, type AcceptedConfiguration, type ProblemKind,
} from '@wasabiusher/shared';
import {parseBody, ProblemError} from './errors.js';
import type {EntryStatus} from './status.js';
import {checkToken} from './tokens.js';

const changeSchema = z.strictObject({
	configuration: configurationSchema,
	author: z.string().min(1).max(128),
	ifVersion: z.int().nonnegative().optional(),
});

const historySchema = z.object({limit: z.coerce.number().int().min(1).max(1000).default(50)});

export type OperatorRoutes = {
	history: Pick<ConfigurationHistory, 'append' | 'list' | 'readHead'>;
	tokens: readonly string[];
	current(): AcceptedConfiguration;
	adopt(accepted: AcceptedConfiguration): void;
	status(): EntryStatus;
};

/** Adds the routes to a server. */
export function addOperatorRoutes(server: HttpServer, routes: OperatorRoutes): void {
	const {history, tokens, current, status} = routes;
	const guard = (handler: Handler): Handler => async exchange => {
		checkToken(exchange.request, tokens);
		await handler(exchange);
	};

	server.on('post', '/v1/configuration', guard(async exchange => applyChange(exchange, routes)));
	server.on('get', '/v1/configuration', guard(({response}) => {
		sendJson(response, 200, current());
	}));
	server.on('get', '/v1/configuration/history', guard(async ({response, query}) => {
		const {limit} = parseBody(historySchema, Object.fromEntries(query));
		sendJson(response, 200, await translateErrors(async () => history.list(limit)));
	}));
	server.on('get', '/v1/status', guard(({response}) => {
		sendJson(response, 200, status());
	}));
}

async function applyChange({request, response}: Exchange, {history, adopt}: OperatorRoutes): Promise<void> {
	const change = parseBody(changeSchema, await readJson(request));
	try {
		const accepted = await translateErrors(async () => history.append({...change, acceptedAt: Date.now()}));
		adopt(accepted);
		sendJson(response, 200, accepted);
	} catch (error) {
		throw await addCurrentConfiguration(error, history);
	}
}

/** Adds the configuration in force to a conflict, so that the operator sees the other change. Returns other errors unchanged. */
async function addCurrentConfiguration(error: unknown, history: OperatorRoutes['history']): Promise<unknown> {
	if (!(error instanceof ProblemError) || error.code !== 'conflict') {
		return error;
	}

	try {
		return new ProblemError(error.problem, {current: await history.readHead()});
	} catch {
		// The conflict is reported even if the configuration in force cannot be read.
		return error;
	}
}

const recordKinds: Readonly<Partial<Record<RecordErrorCode, ProblemKind>>> = {conflict: 'conflict', unavailable: 'unavailable'};

/** Retry delay suggested to operators while the store is unavailable, in milliseconds. */
const storeRetryMs = 2000;

async function translateErrors<Value>(read: () => Promise<Value>): Promise<Value> {
	try {
		return await read();
	} catch (error) {
		if (!(error instanceof RecordError)) {
			throw error;
		}

		const kind = recordKinds[error.code] ?? 'internal';
		throw new ProblemError(createProblem(kind, error.message, kind === 'internal' ? 'unknown' : 'no', kind === 'unavailable' ? storeRetryMs : undefined));
	}
}
