/**
 * The operators' interface of the entries, as the command line uses it.
 *
 * Several entries may be named: the next is asked only when it is proven that the one
 * before has done nothing.
 */
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';
import {PlatformError, toPlatformError} from '@wasabiusher/backends';
import {acceptedConfigurationSchema, type AcceptedConfiguration, type Configuration} from '@wasabiusher/shared';
import {CliError} from './errors.js';
import {statusSchema, type EntryStatus} from './status.js';

/** A problem as entries tell it; a conflict shows what is in force instead. */
const problemSchema = z.object({
	detail: z.string(),
	ran: z.enum(['no', 'yes', 'unknown']).default('unknown'),
	current: acceptedConfigurationSchema.optional(),
});

export type OperatorAccess = {
	/** Origins of the entries' addresses for operators. */
	origins: readonly string[];
	token?: string;
	timeoutMs: number;
};

export type Change = {configuration: Configuration; author: string; ifVersion?: number};

type Call = {method: 'GET' | 'POST'; path: string; body?: unknown};

const conflictStatus = 409;

/** Talks to the entries; throws `CliError`. */
export class OperatorClient {
	readonly #access: OperatorAccess;

	constructor(access: OperatorAccess) {
		this.#access = access;
	}

	async readCurrent(): Promise<AcceptedConfiguration> {
		return this.#callFirst(acceptedConfigurationSchema, {method: 'GET', path: '/v1/configuration'});
	}

	/** Newest first. */
	async readHistory(limit: number): Promise<AcceptedConfiguration[]> {
		return this.#callFirst(z.array(acceptedConfigurationSchema), {method: 'GET', path: `/v1/configuration/history?limit=${limit}`});
	}

	async apply(change: Change): Promise<AcceptedConfiguration> {
		return this.#callFirst(acceptedConfigurationSchema, {method: 'POST', path: '/v1/configuration', body: change});
	}

	/** What each entry answers, or why it did not. */
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

	async #callFirst<Schema extends z.ZodType>(schema: Schema, call: Call): Promise<z.infer<Schema>> {
		const reasons: string[] = [];
		for (const origin of this.#access.origins) {
			try {
				// One entry after the other, so that a change is not sent twice.
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

	async #call<Schema extends z.ZodType>(origin: string, schema: Schema, call: Call): Promise<z.infer<Schema>> {
		const {status, content} = await this.#send(origin, call);
		if (status >= 400) {
			throw toCliError(origin, status, content);
		}

		const parsed = schema.safeParse(content);
		if (!parsed.success) {
			const issue = parsed.error.issues[0]!;
			throw new CliError(call.method === 'GET' ? 'failed' : 'unknown', `${origin}: answer field ${issue.path.join('.')}: ${issue.message}`);
		}

		return parsed.data;
	}

	async #send(origin: string, {method, path, body}: Call): Promise<{status: number; content: unknown}> {
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
			throw toLostCall(origin, method, error);
		}
	}
}

function toLostCall(origin: string, method: Call['method'], error: unknown): CliError {
	const {code, message} = error instanceof PlatformError ? error : toPlatformError(error);
	if (code === 'unavailable') {
		return new CliError('failed', `${origin}: not reached: ${message}`, {isUnreachable: true}, error);
	}

	return method === 'GET'
		? new CliError('failed', `${origin}: no answer: ${message}`, {isUnreachable: true}, error)
		: new CliError('unknown', `${origin}: no answer: ${message}; the change may have been accepted, see "wasabiusher history"`, {}, error);
}

function toCliError(origin: string, status: number, content: unknown): CliError {
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
