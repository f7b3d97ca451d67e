/**
 * Client for the operators' interface of the entries.
 *
 * Several entries may be given. The next one is called only if it is certain that the previous one has changed nothing.
 */
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';
import {maxSuccessStatus, PlatformError, toPlatformError} from '@wasabiusher/backends';
import {acceptedConfigurationSchema, type AcceptedConfiguration, type Configuration} from '@wasabiusher/shared';
import {CliError} from './errors.js';
import {statusSchema, type EntryStatus} from './status.js';

/** Error response of an entry. A conflict includes the configuration in force (`current`). */
const problemSchema = z.object({
	detail: z.string(),
	ran: z.enum(['no', 'yes', 'unknown']).default('unknown'),
	current: acceptedConfigurationSchema.optional(),
});

export type OperatorAccess = {
	/** Origins at which the entries serve operators. */
	origins: readonly string[];
	token?: string;
	timeoutMs: number;
};

export type Change = {configuration: Configuration; author: string; ifVersion?: number};

type OperatorRequest = {method: 'GET' | 'POST'; path: string; body?: unknown};

const conflictStatus = 409;

/** Calls the entries. Failed calls throw `CliError`, except where a method returns the reason. */
export class OperatorClient {
	readonly #access: OperatorAccess;

	constructor(access: OperatorAccess) {
		this.#access = access;
	}

	async readCurrent(): Promise<AcceptedConfiguration> {
		return this.#callFirstReachable(acceptedConfigurationSchema, {method: 'GET', path: '/v1/configuration'});
	}

	/** Returns the accepted changes, newest first. */
	async readHistory(limit: number): Promise<AcceptedConfiguration[]> {
		return this.#callFirstReachable(z.array(acceptedConfigurationSchema), {method: 'GET', path: `/v1/configuration/history?limit=${limit}`});
	}

	async apply(change: Change): Promise<AcceptedConfiguration> {
		return this.#callFirstReachable(acceptedConfigurationSchema, {method: 'POST', path: '/v1/configuration', body: change});
	}

	/** Returns the status of each entry, or the reason why there is none. */
	async readStatuses(): Promise<Array<{origin: string; status?: EntryStatus; error?: string}>> {
		return Promise.all(this.#access.origins.map(async origin => {
			try {
				return {origin, status: await this.#call(origin, statusSchema, {method: 'GET', path: '/v1/status'})};
			} catch (error) {
				if (!(error instanceof CliError)) {
					throw error;
				}

				return {origin, error: error.message};
			}
		}));
	}

	async #callFirstReachable<Schema extends z.ZodType>(schema: Schema, call: OperatorRequest): Promise<z.infer<Schema>> {
		const reasons: string[] = [];
		for (const origin of this.#access.origins) {
			try {
				// The entries are called one after the other, so that a change is not sent twice.
				// eslint-disable-next-line no-await-in-loop
				return await this.#call(origin, schema, call);
			} catch (error) {
				if (!(error instanceof CliError) || error.code !== 'failed' || error.details.isUnreachable !== true) {
					throw error;
				}

				reasons.push(error.message);
			}
		}

		throw new CliError('failed', reasons.join('\n'));
	}

	async #call<Schema extends z.ZodType>(origin: string, schema: Schema, call: OperatorRequest): Promise<z.infer<Schema>> {
		const {status, content} = await this.#send(origin, call);
		if (status > maxSuccessStatus) {
			throw toResponseError(origin, status, content);
		}

		const parsed = schema.safeParse(content);
		if (!parsed.success) {
			const issue = parsed.error.issues[0]!;
			throw new CliError(call.method === 'GET' ? 'failed' : 'unknown', `${origin}: answer field ${issue.path.join('.')}: ${issue.message}`);
		}

		return parsed.data;
	}

	async #send(origin: string, {method, path, body}: OperatorRequest): Promise<{status: number; content: unknown}> {
		const {token, timeoutMs} = this.#access;
		let response: Dispatcher.ResponseData;
		try {
			response = await request(new URL(path, origin), {
				method,
				body: body === undefined ? undefined : JSON.stringify(body),
				headers: {'content-type': 'application/json', ...(token === undefined ? {} : {authorization: `Bearer ${token}`})},
				headersTimeout: timeoutMs,
				bodyTimeout: timeoutMs,
			});
			return {status: response.statusCode, content: await response.body.json()};
		} catch (error) {
			throw toCallError(origin, method, error);
		}
	}
}

function toCallError(origin: string, method: OperatorRequest['method'], error: unknown): CliError {
	const {code, message} = error instanceof PlatformError ? error : toPlatformError(error);
	if (code === 'unavailable') {
		return new CliError('failed', `${origin}: not reached: ${message}`, {isUnreachable: true}, error);
	}

	return method === 'GET'
		? new CliError('failed', `${origin}: no answer: ${message}`, {isUnreachable: true}, error)
		: new CliError('unknown', `${origin}: no answer: ${message}; the change may have been accepted, see "wasabiusher history"`, {}, error);
}

function toResponseError(origin: string, status: number, content: unknown): CliError {
	const parsed = problemSchema.safeParse(content);
	if (!parsed.success) {
		return new CliError('failed', `${origin}: status ${status}`);
	}

	const {detail, ran, current} = parsed.data;
	if (status === conflictStatus) {
		const conflict = new CliError('conflict', `${origin}: ${detail}`);
		conflict.current = current;
		return conflict;
	}

	return new CliError(ran === 'no' ? 'failed' : 'unknown', `${origin}: ${detail}`, {ran});
}
