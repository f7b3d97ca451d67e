/**
 * Stand-in of the platform: table service, object store, membership list and weight store behind one HTTP server.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import polka, {type Request} from 'polka';
import {z} from 'zod';
import {
	HttpServer, readBytes, readJson, sendJson, type Exchange,
} from '@wasabiusher/daemon';
import {memberSchema, PlatformError, type Member} from '@wasabiusher/platform';
import {MemoryObjectStore, MemoryTableService} from './memory-storage.js';

const transactionSchema = z.object({
	writes: z.array(z.object({
		table: z.string(), key: z.string(), expect: z.int().optional(), value: z.unknown(),
	})),
});

/** A published version of a model. */
export type PublishedVersion = {model: string; version: number; publishedAt: number};

/** The platform in one process. */
export class PlatformServer {
	readonly tables = new MemoryTableService();
	readonly objects = new MemoryObjectStore();
	readonly members = new Map<string, Member>();
	readonly #published = new Map<string, PublishedVersion>();
	readonly #server = new HttpServer();

	constructor() {
		this.#addStorage();
		this.#addMembership();
	}

	/** Resolves to the origin to reach it by. */
	async start(address = '127.0.0.1:0'): Promise<string> {
		return `http://${await this.#server.listen(address)}`;
	}

	async stop(): Promise<void> {
		await this.#server.kill();
	}

	/** Makes a version of a model's weights available. */
	publish(model: string, version: number): void {
		this.#published.set(model, {model, version, publishedAt: Date.now()});
	}

	#addStorage(): void {
		this.#server.on('get', '/v1/tables/:table/rows/:key', async ({response, parameters}) => {
			const row = await this.tables.read(parameters.table!, parameters.key!);
			sendJson(response, row ? 200 : 404, row ?? {});
		});
		this.#server.on('get', '/v1/tables/:table/rows', async ({response, parameters, query}) => {
			const {prefix, after, limit} = z.object({prefix: z.string().optional(), after: z.string().optional(), limit: z.coerce.number().optional()}).parse(Object.fromEntries(query));
			sendJson(response, 200, await this.tables.scan(parameters.table!, {prefix, after, limit}));
		});
		this.#server.on('post', '/v1/transactions', async exchange => {
			await this.#transact(exchange);
		});
		this.#server.on('get', '/v1/objects/:key', async ({response, parameters}) => {
			const content = await this.objects.get(parameters.key!);
			response.statusCode = content ? 200 : 404;
			response.end(content);
		});
		this.#server.on('put', '/v1/objects/:key', async ({request, response, parameters}) => {
			await this.objects.put(parameters.key!, await readBytes(request));
			sendJson(response, 200, {});
		});
	}

	#addMembership(): void {
		this.#server.on('get', '/v1/members', ({response}) => {
			sendJson(response, 200, [...this.members.values()]);
		});
		this.#server.on('put', '/v1/members/:id', async ({request, response}) => {
			const member = memberSchema.parse(await readJson(request));
			this.members.set(member.id, member);
			sendJson(response, 200, {});
		});
		this.#server.on('get', '/v1/versions', ({response}) => {
			sendJson(response, 200, [...this.#published.values()]);
		});
	}

	async #transact({request, response}: Exchange): Promise<void> {
		try {
			const {writes} = transactionSchema.parse(await readJson(request));
			sendJson(response, 200, {versions: await this.tables.transact(writes)});
		} catch (error) {
			const isConflict = error instanceof PlatformError && error.code === 'conflict';
			sendJson(response, isConflict ? 409 : 400, {detail: String(error)});
		}
	}
}
