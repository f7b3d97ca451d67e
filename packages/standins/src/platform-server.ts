/**
 * Stand-in for the platform: table service, object store, membership list and weight store behind one HTTP server.
 *
 * `POST /v1/switches` sets the storage's fault-injection switches.
 */
import {z} from 'zod';
import {
	HttpServer, readBytes, readJson, sendJson, type ErrorHandler, type Exchange,
} from '@wasabiusher/daemon';
import {memberSchema, PlatformError, type PlatformErrorCode} from '@wasabiusher/backends';
import {MemoryMembershipList, type MembershipLag} from './memory-membership.js';
import {MemoryObjectStore, MemoryTableService} from './memory-storage.js';
import {MemoryWeightStore, type WeightStoreSettings} from './memory-weight-store.js';
import type {StorageSwitches} from './storage-gate.js';

const transactionSchema = z.object({
	writes: z.array(z.object({
		table: z.string(), key: z.string(), expect: z.int().optional(), value: z.unknown(),
	})),
});

const scanSchema = z.object({prefix: z.string().optional(), after: z.string().optional(), limit: z.coerce.number().int().optional()});

const switchesSchema = z.strictObject({
	isDown: z.boolean(),
	delayMs: z.number().nonnegative(),
	clientTimeoutMs: z.number().nonnegative(),
	answersToLose: z.int().nonnegative(),
	writesPerSecond: z.number().positive(),
	readsPerSecond: z.number().positive(),
}).partial();

/** HTTP status of each error code. A code without a status, such as `unknown`, closes the connection without an answer. */
const errorStatuses: Partial<Record<PlatformErrorCode, number>> = {
	conflict: 409, refused: 422, limited: 429, unavailable: 503,
};

const answerPlatformError: ErrorHandler = (error, {response}) => {
	const status = error instanceof PlatformError ? errorStatuses[error.code] : 400;
	if (status === undefined) {
		response.destroy();
	} else {
		sendJson(response, status, {detail: String(error)});
	}
};

export type PlatformServerSettings = {
	tables?: Partial<StorageSwitches>;
	objects?: Partial<StorageSwitches>;
	members?: Partial<MembershipLag>;
	weights?: Partial<WeightStoreSettings>;
};

/** The platform in one process. */
export class PlatformServer {
	readonly tables: MemoryTableService;
	readonly objects: MemoryObjectStore;
	readonly members: MemoryMembershipList;
	readonly weights: MemoryWeightStore;
	readonly #server = new HttpServer(answerPlatformError);

	constructor({tables, objects, members, weights}: PlatformServerSettings = {}) {
		this.tables = new MemoryTableService(tables);
		this.objects = new MemoryObjectStore(objects);
		this.members = new MemoryMembershipList(members);
		this.weights = new MemoryWeightStore(weights);
		this.#addTableRoutes();
		this.#addObjectRoutes();
		this.#addMembershipRoutes();
		this.#addWeightRoutes();
		this.#addOperationRoutes();
	}

	/** Resolves to the origin to connect to. */
	async start(address = '127.0.0.1:0'): Promise<string> {
		return `http://${await this.#server.listen(address)}`;
	}

	async stop(): Promise<void> {
		await this.#server.kill();
	}

	/** Makes a version of a model's weights available. */
	publish(model: string, version: number): void {
		this.weights.publish(model, version);
	}

	#addTableRoutes(): void {
		this.#server.on('get', '/v1/tables/:table/rows/:key', async ({response, parameters}) => {
			const row = await this.tables.read(parameters.table!, parameters.key!);
			sendJson(response, row ? 200 : 404, row ?? {});
		});
		this.#server.on('get', '/v1/tables/:table/rows', async ({response, parameters, query}) => {
			const options = scanSchema.parse(Object.fromEntries(query));
			sendJson(response, 200, await this.tables.scan(parameters.table!, options));
		});
		this.#server.on('post', '/v1/transactions', async ({request, response}) => {
			const {writes} = transactionSchema.parse(await readJson(request));
			sendJson(response, 200, {versions: await this.tables.transact(writes)});
		});
	}

	#addObjectRoutes(): void {
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

	#addMembershipRoutes(): void {
		this.#server.on('get', '/v1/members', async ({response}) => {
			sendJson(response, 200, await this.members.list());
		});
		this.#server.on('put', '/v1/members/:id', async ({request, response}) => {
			await this.members.announce(memberSchema.parse(await readJson(request)));
			sendJson(response, 200, {});
		});
	}

	#addWeightRoutes(): void {
		this.#server.on('get', '/v1/versions', async ({response}) => {
			sendJson(response, 200, await this.weights.listVersions());
		});
		this.#server.on('post', '/v1/versions', async ({request, response}) => {
			const {model, version} = z.object({model: z.string(), version: z.int().positive()}).parse(await readJson(request));
			this.publish(model, version);
			sendJson(response, 200, {});
		});
		this.#server.on('get', '/v1/weights/:model/:version', async ({response, parameters}) => {
			await this.weights.fetch(parameters.model!, Number(parameters.version));
			sendJson(response, 200, {});
		});
	}

	#addOperationRoutes(): void {
		this.#server.on('get', '/healthz', ({response}) => {
			response.end('ok\n');
		});
		this.#server.on('post', '/v1/switches', async exchange => {
			await this.#setSwitches(exchange);
		});
	}

	async #setSwitches({request, response}: Exchange): Promise<void> {
		const switches = switchesSchema.parse(await readJson(request));
		Object.assign(this.tables.switches, switches);
		Object.assign(this.objects.switches, switches);
		sendJson(response, 200, {tables: this.tables.switches, objects: this.objects.switches});
	}
}
