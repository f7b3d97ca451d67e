/**
 * Stand-in of a model engine behind an HTTP server: continuous batching, prefix cache, orders and crashes.
 */
import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {
	HttpServer, readBytes, readJson, sendJson, type ErrorHandler, type Exchange,
} from '@wasabiusher/daemon';
import {PlatformError, type EngineReport} from '@wasabiusher/backends';
import {Random} from '@wasabiusher/shared';
import {
	Batch, findEnd, type BatchEvent, type Sink,
} from './engine-batch.js';
import {EngineModels} from './engine-models.js';
import {
	completionSchema, engineSettingsSchema, engineSwitchesSchema, orderSchema, poisonMarker, type Completion, type EngineSettings, type EngineSwitches,
} from './engine-settings.js';
import type {WeightSource} from './memory-weight-store.js';
import {PrefixCache} from './prefix-cache.js';

/** Shortest step, in milliseconds: timers have no finer grain. */
const minStepMs = 1;

type Load = Pick<EngineReport, 'running' | 'waiting' | 'tokensPerSecond' | 'cacheUse'>;

/** What an exported cache holds: enough to check that it is put back under the run it came from. */
const exportedCacheSchema = z.object({id: z.string(), model: z.string(), tokens: z.int()});

const answerEngineError: ErrorHandler = (error, {response}) => {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	const code = error instanceof PlatformError ? error.code : 'invalid';
	sendJson(response, {fenced: 412, refused: 422}[String(code)] ?? 400, {detail: String(error)});
};

/** One engine. It keeps nothing over a crash: it comes back with the models of its settings. */
export class EngineServer {
	readonly switches: EngineSwitches = {loadsToFail: 0, slowness: 1, isStalled: false};
	/** How often it has crashed. */
	crashes = 0;
	readonly #settings: z.infer<typeof engineSettingsSchema>;
	readonly #weights: WeightSource | undefined;
	readonly #server = new HttpServer(answerEngineError);
	readonly #stepMs: number;
	#startId = '';
	#models!: EngineModels;
	#batch!: Batch;
	#cache!: PrefixCache;
	#imported = new Set<string>();
	#loads: Array<Load & {at: number}> = [];
	#address = '';
	#steps = 0;
	#tokensBefore = 0;
	#timer: NodeJS.Timeout | undefined;
	#restart: NodeJS.Timeout | undefined;

	/** @param weights - where loads take their time; without it weights are there at once */
	constructor(settings: EngineSettings, weights?: WeightSource) {
		this.#settings = engineSettingsSchema.parse(settings);
		this.#weights = weights;
		this.#stepMs = Math.max(minStepMs, this.#settings.tokenMs);
		this.#reset();
		this.#addGeneration();
		this.#addOperations();
	}

	/** Tokens made since the first start, finished or not. */
	get tokensMade(): number {
		return this.#tokensBefore + this.#batch.tokensMade;
	}

	/** Resolves to the origin to reach it by. */
	async start(address = '127.0.0.1:0'): Promise<string> {
		this.#address = await this.#server.listen(address);
		return `http://${this.#address}`;
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		clearTimeout(this.#restart);
		await this.#server.kill();
	}

	/** Cuts all connections and is back at the same address after `restartMs`, with nothing kept. */
	async crash(): Promise<void> {
		this.crashes += 1;
		this.#reset();
		await this.#server.kill();
		this.#restart = setTimeout(() => {
			void this.#server.listen(this.#address);
		}, this.#settings.restartMs);
	}

	#reset(): void {
		const {
			models, swapMs, honoursFence, slots, tokenMs, tokensPerEvent, cacheBlocks, cacheEventLagMs, cacheEventLoss, seed,
		} = this.#settings;
		clearInterval(this.#timer);
		this.#timer = undefined;
		this.#tokensBefore += (this.#batch as Batch | undefined)?.tokensMade ?? 0;
		this.#startId = randomUUID();
		this.#imported = new Set();
		this.#loads = [];
		const engineModels = new EngineModels({
			models, swapMs, honoursFence, switches: this.switches, weights: this.#weights,
		});
		this.#models = engineModels;
		this.#cache = new PrefixCache({capacityBlocks: cacheBlocks, eventLagMs: cacheEventLagMs, eventLoss: cacheEventLoss}, new Random(seed));
		this.#batch = new Batch({
			slots,
			tokensPerStep: Math.max(1, Math.round(this.#stepMs / tokenMs)),
			tokensPerEvent,
			versionOf: model => engineModels.versionOf(model),
		});
	}

	#addGeneration(): void {
		this.#server.on('post', '/v1/completions', async ({request, response}) => {
			await this.#generate(completionSchema.parse(await readJson(request)), response);
		});
		this.#server.on('post', '/v1/cancel/:id', ({response, parameters}) => {
			const generation = this.#batch.get(parameters.id!);
			this.#batch.remove(parameters.id!);
			generation?.sink.cut();
			sendJson(response, 200, {wasRunning: generation !== undefined});
		});
		this.#server.on('get', '/v1/cache/:id', ({response, parameters}) => {
			const generation = this.#batch.get(parameters.id!);
			const exported = generation && {id: generation.id, model: generation.model, tokens: generation.resumed + generation.made};
			sendJson(response, exported ? 200 : 404, exported ?? {detail: 'there is no such run'});
		});
		this.#server.on('put', '/v1/cache/:id', async exchange => {
			await this.#importCache(exchange);
		});
	}

	#addOperations(): void {
		this.#server.on('post', '/v1/orders', async ({request, response}) => {
			await this.#models.carryOut(orderSchema.parse(await readJson(request)));
			sendJson(response, 200, {});
		});
		this.#server.on('get', '/v1/report', ({response}) => {
			sendJson(response, 200, this.#report());
		});
		this.#server.on('get', '/v1/cache-events', ({response, query}) => {
			sendJson(response, 200, this.#cache.listEvents(Number(query.get('after') ?? 0)));
		});
		this.#server.on('get', '/healthz', ({response}) => {
			response.end('ok\n');
		});
		this.#server.on('post', '/v1/switches', async ({request, response}) => {
			Object.assign(this.switches, engineSwitchesSchema.partial().parse(await readJson(request)));
			sendJson(response, 200, this.switches);
		});
		this.#server.on('post', '/v1/crash', async () => {
			await this.crash();
		});
	}

	async #generate(completion: Completion, response: ServerResponse): Promise<void> {
		const {model, request_id: id, max_tokens: maxTokens, resume_from: resumeFrom = '', priority} = completion;
		const prompt = completion.prompt ?? (completion.messages ?? []).map(({content}) => content).join('\n');
		if (prompt.includes(poisonMarker)) {
			await this.crash();
			return;
		}

		if (this.#models.versionOf(model) === undefined) {
			sendJson(response, 404, {detail: `model ${model} is not loaded`});
			return;
		}

		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.flushHeaders();
		const batch = this.#batch;
		response.on('close', () => {
			if (batch.get(id)?.sink === sink) {
				batch.remove(id);
			}
		});
		const sink = createSink(response);
		batch.add({
			id, model, prompt, priority, resumed: countTokens(resumeFrom), made: 0, pending: undefined, sink, prefillSteps: this.#prefill(id, prompt), ...findEnd(prompt, maxTokens),
		});
		this.#timer ??= setInterval(() => {
			this.#step();
		}, this.#stepMs);
	}

	/** Steps that computing the prompt takes; none when the run's cache was imported. */
	#prefill(id: string, prompt: string): number {
		const missing = this.#cache.store(prompt);
		return this.#imported.delete(id) ? 0 : Math.ceil(missing * this.#settings.prefillMs / this.#stepMs);
	}

	async #importCache({request, response, parameters}: Exchange): Promise<void> {
		const {id} = exportedCacheSchema.parse(JSON.parse(new TextDecoder().decode(await readBytes(request))));
		if (id !== parameters.id) {
			throw new PlatformError('refused', `the cache is of run ${id}, not of ${parameters.id}`);
		}

		this.#imported.add(id);
		sendJson(response, 200, {});
	}

	#step(): void {
		if (this.#batch.size === 0) {
			// An idle engine costs nothing; the next request starts the timer again.
			clearInterval(this.#timer);
			this.#timer = undefined;
			return;
		}

		this.#steps += 1;
		const {slowness, isStalled} = this.switches;
		if (!isStalled && !this.#models.isSwapping && this.#steps % slowness === 0) {
			this.#batch.step();
		}
	}

	/** Models and the start's id are of now; the load is as old as the settings say. */
	#report(): EngineReport {
		const now = performance.now();
		this.#loads.push({...this.#describeLoad(), at: now});
		const shown = this.#loads.findLastIndex(({at}) => at <= now - this.#settings.reportLagMs);
		this.#loads = this.#loads.slice(Math.max(0, shown));
		const {at: _, ...load} = this.#loads[0]!;
		return {
			...load, models: this.#models.list(), role: this.#models.role, slots: this.#settings.slots, startId: this.#startId,
		};
	}

	#describeLoad(): Load {
		const {running, size} = this.#batch;
		return {
			running, waiting: size - running, tokensPerSecond: running * 1000 / (this.#settings.tokenMs * this.switches.slowness), cacheUse: this.#cache.use,
		};
	}
}

/** Tokens of the stand-in are words. */
function countTokens(text: string): number {
	return text.split(' ').filter(Boolean).length;
}

function createSink(response: ServerResponse): Sink {
	return {
		isReady: () => !response.writableNeedDrain,
		write(event: BatchEvent) {
			const chunk = {choices: [{text: event.text, finish_reason: event.reason ?? null}], version: event.version, tokens: event.tokens};
			const data = `data: ${JSON.stringify(chunk)}\n\n`;
			if (event.reason) {
				response.end(`${data}data: [DONE]\n\n`);
			} else {
				response.write(data);
			}
		},
		cut() {
			response.destroy();
		},
	};
}
