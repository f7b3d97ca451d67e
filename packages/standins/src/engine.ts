/**
 * Stand-in of a model engine: batches continuously and streams tokens at a steady pace.
 */
import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {HttpServer, readJson, sendJson} from '@wasabiusher/daemon';

const completionSchema = z.object({
	model: z.string(),
	prompt: z.string().optional(),
	messages: z.array(z.object({content: z.string()})).optional(),
	max_tokens: z.int().positive(),
	request_id: z.string().default(() => randomUUID()),
	resume_from: z.string().optional(),
});

const orderSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('load'), model: z.string(), version: z.int(), fence: z.int(),
	}),
	z.object({kind: z.literal('unload'), model: z.string(), fence: z.int()}),
	z.object({kind: z.literal('role'), role: z.string(), fence: z.int()}),
]);

export type EngineSettings = {
	/** Requests batched at once. */
	slots: number;
	/** Time a token takes, in milliseconds, whatever the batch. */
	tokenMs: number;
	models: Record<string, number>;
};

type Generation = {id: string; model: string; response: ServerResponse; made: number; total: number};

/** One engine behind an HTTP server. */
export class EngineServer {
	/** Tokens made, finished or not. */
	tokensMade = 0;
	readonly #settings: EngineSettings;
	readonly #server = new HttpServer();
	readonly #models: Map<string, number>;
	readonly #generations = new Map<string, Generation>();
	readonly #startId = randomUUID();
	#role = 'any';
	#highestFence = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(settings: EngineSettings) {
		this.#settings = settings;
		this.#models = new Map(Object.entries(settings.models));
		this.#server.on('post', '/v1/completions', async ({request, response}) => {
			this.#generate(completionSchema.parse(await readJson(request)), response);
		});
		this.#server.on('post', '/v1/cancel/:id', ({response, parameters}) => {
			sendJson(response, 200, {wasRunning: this.#generations.delete(parameters.id!)});
		});
		this.#server.on('post', '/v1/orders', async ({request, response}) => {
			this.#order(orderSchema.parse(await readJson(request)), response);
		});
		this.#server.on('get', '/v1/report', ({response}) => {
			sendJson(response, 200, this.#report());
		});
	}

	async start(address = '127.0.0.1:0'): Promise<string> {
		const origin = `http://${await this.#server.listen(address)}`;
		this.#timer = setInterval(() => {
			this.#step();
		}, this.#settings.tokenMs);
		return origin;
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		await this.#server.kill();
	}

	#generate({model, max_tokens: total, request_id: id}: z.infer<typeof completionSchema>, response: ServerResponse): void {
		if (!this.#models.has(model)) {
			sendJson(response, 404, {detail: `model ${model} is not loaded`});
			return;
		}

		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.flushHeaders();
		response.on('close', () => {
			this.#generations.delete(id);
		});
		this.#generations.set(id, {
			id, model, response, made: 0, total,
		});
	}

	/** Makes one token of each of the oldest generations that fit the batch. */
	#step(): void {
		for (const generation of [...this.#generations.values()].slice(0, this.#settings.slots)) {
			generation.made += 1;
			this.tokensMade += 1;
			const isLast = generation.made === generation.total;
			const chunk = {
				choices: [{text: `t${generation.made} `, finish_reason: isLast ? 'length' : null}],
				version: this.#models.get(generation.model) ?? 0,
				tokens: 1,
			};
			generation.response.write(`data: ${JSON.stringify(chunk)}\n\n`);
			if (isLast) {
				generation.response.end('data: [DONE]\n\n');
				this.#generations.delete(generation.id);
			}
		}
	}

	#order(order: z.infer<typeof orderSchema>, response: ServerResponse): void {
		if (order.fence < this.#highestFence) {
			sendJson(response, 412, {detail: `fence ${order.fence} is older than ${this.#highestFence}`});
			return;
		}

		this.#highestFence = order.fence;
		if (order.kind === 'load') {
			this.#models.set(order.model, order.version);
		} else if (order.kind === 'unload') {
			this.#models.delete(order.model);
		} else {
			this.#role = order.role;
		}

		sendJson(response, 200, {});
	}

	#report(): Record<string, unknown> {
		const {slots, tokenMs} = this.#settings;
		const count = this.#generations.size;
		const running = Math.min(slots, count);
		return {
			models: [...this.#models].map(([model, version]) => ({model, version})),
			role: this.#role,
			running,
			waiting: count - running,
			slots,
			tokensPerSecond: running * 1000 / tokenMs,
			cacheUse: running / slots,
			startId: this.#startId,
		};
	}
}
