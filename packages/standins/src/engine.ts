/**
 * Stand-in for a model engine behind an HTTP server, with continuous batching, a prefix cache, weight orders and crashes.
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

/** Minimum step, in milliseconds, which is the resolution of timers. */
const minStepMs = 1;

type Load = Pick<EngineReport, 'running' | 'waiting' | 'tokensPerSecond' | 'cacheUse'>;

/** Content of an exported cache: enough to check that it is imported for the run that it was exported from. */
const exportedCacheSchema = z.object({id: z.string(), model: z.string(), tokens: z.int()});

const answerEngineError: ErrorHandler = (error, {response}) => {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	const code = error instanceof PlatformError ? error.code : 'invalid';
	sendJson(response, {fenced: 412, refused: 422}[String(code)] ?? 400, {detail: String(error)});
};

/** One engine. A crash discards all state: the engine restarts with the models of its settings. */
export class EngineServer {
	readonly switches: EngineSwitches = {loadsToFail: 0, slowness: 1, isStalled: false};
	/** Number of crashes. */
	crashes = 0;
	readonly #settings: z.infer<typeof engineSettingsSchema>;
	readonly #weights: WeightSource | undefined;
	readonly #server = new HttpServer(answerEngineError);
	readonly #stepMs: number;
	#startId = '';
	#models!: EngineModels;
	#batch!: Batch;
	#cache!: PrefixCache;
	#importedCaches = new Set<string>();
	#loadHistory: Array<Load & {at: number}> = [];
	#address = '';
	#stepCount = 0;
	#tokensBeforeLastStart = 0;
	#stepTimer: NodeJS.Timeout | undefined;
	#restartTimer: NodeJS.Timeout | undefined;

	/** @param weights - source that loads fetch weights from; without it fetching takes no time */
	constructor(settings: EngineSettings, weights?: WeightSource) {
		this.#settings = engineSettingsSchema.parse(settings);
		this.#weights = weights;
		this.#stepMs = Math.max(minStepMs, this.#settings.tokenMs);
		this.#reset();
		this.#addGenerationRoutes();
		this.#addOperationRoutes();
	}

	/** Tokens generated since the first start, those of unfinished generations included. */
	get tokensMade(): number {
		return this.#tokensBeforeLastStart + this.#batch.tokensMade;
	}

	/** Resolves to the origin to connect to. */
	async start(address = '127.0.0.1:0'): Promise<string> {
		this.#address = await this.#server.listen(address);
		return `http://${this.#address}`;
	}

	async stop(): Promise<void> {
		clearInterval(this.#stepTimer);
		clearTimeout(this.#restartTimer);
		await this.#server.kill();
	}

	/** Closes all connections, discards all state and listens at the same address again after `restartMs`. */
	async crash(): Promise<void> {
		this.crashes += 1;
		this.#reset();
		await this.#server.kill();
		this.#restartTimer = setTimeout(() => {
			void this.#server.listen(this.#address);
		}, this.#settings.restartMs);
	}

	#reset(): void {
		const {
			models, swapMs, honoursFence, slots, tokenMs, tokensPerEvent, cacheBlocks, cacheEventLagMs, cacheEventLoss, seed,
		} = this.#settings;
		clearInterval(this.#stepTimer);
		this.#stepTimer = undefined;
		this.#tokensBeforeLastStart += (this.#batch as Batch | undefined)?.tokensMade ?? 0;
		this.#startId = randomUUID();
		this.#importedCaches = new Set();
		this.#loadHistory = [];
		const engineModels = new EngineModels({
			models, swapMs, honoursFence, switches: this.switches, weights: this.#weights,
		});
		this.#models = engineModels;
		this.#cache = new PrefixCache({capacityBlocks: cacheBlocks, eventLagMs: cacheEventLagMs, eventLoss: cacheEventLoss}, new Random(seed));
		this.#batch = new Batch({
			slots,
			tokensPerStep: Math.max(1, Math.round(this.#stepMs / tokenMs)),
			tokensPerEvent,
			getVersion: model => engineModels.getVersion(model),
		});
	}

	#addGenerationRoutes(): void {
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

	#addOperationRoutes(): void {
		this.#server.on('post', '/v1/orders', async ({request, response}) => {
			await this.#models.execute(orderSchema.parse(await readJson(request)));
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

		if (this.#models.getVersion(model) === undefined) {
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
			id, model, prompt, priority, resumed: countTokens(resumeFrom), made: 0, pending: undefined, sink, prefillSteps: this.#countPrefillSteps(id, prompt), ...findEnd(prompt, maxTokens),
		});
		this.#stepTimer ??= setInterval(() => {
			this.#step();
		}, this.#stepMs);
	}

	/** Returns the number of steps that computing the prompt takes; 0 when the run's cache was imported. */
	#countPrefillSteps(id: string, prompt: string): number {
		const uncachedBlocks = this.#cache.store(prompt);
		return this.#importedCaches.delete(id) ? 0 : Math.ceil(uncachedBlocks * this.#settings.prefillMs / this.#stepMs);
	}

	async #importCache({request, response, parameters}: Exchange): Promise<void> {
		const {id} = exportedCacheSchema.parse(JSON.parse(new TextDecoder().decode(await readBytes(request))));
		if (id !== parameters.id) {
			throw new PlatformError('refused', `the cache is of run ${id}, not of ${parameters.id}`);
		}

		this.#importedCaches.add(id);
		sendJson(response, 200, {});
	}

	#step(): void {
		if (this.#batch.size === 0) {
			// An idle engine runs no timer. The next request starts it again.
			clearInterval(this.#stepTimer);
			this.#stepTimer = undefined;
			return;
		}

		this.#stepCount += 1;
		const {slowness, isStalled} = this.switches;
		if (!isStalled && !this.#models.isSwapping && this.#stepCount % slowness === 0) {
			this.#batch.step();
		}
	}

	/** The models and the start id are current. The load figures are `reportLagMs` old. */
	#report(): EngineReport {
		const now = performance.now();
		this.#loadHistory.push({...this.#describeLoad(), at: now});
		const latestVisible = this.#loadHistory.findLastIndex(({at}) => at <= now - this.#settings.reportLagMs);
		this.#loadHistory = this.#loadHistory.slice(Math.max(0, latestVisible));
		const {at: _, ...load} = this.#loadHistory[0]!;
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

/** Counts words, which are the tokens of the stand-in. */
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
