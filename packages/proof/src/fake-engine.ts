/**
 * A model engine at the interface, without a network: tokens at a steady pace under the paused clock.
 */
import {
	PlatformError, type CacheEvent, type Engine, type EngineOrder, type EngineReport, type GenerationEvent, type GenerationOptions,
} from '@wasabiusher/backends';
import type {GenerationRequest} from '@wasabiusher/shared';
import type {Hooks} from './hooks.js';

/** Time a token takes, in milliseconds. */
const tokenMs = 20;

/** How long an engine that crashed is away, in milliseconds. */
const restartMs = 3000;

/** A prompt with this text crashes each engine that runs it. */
export const poisonText = 'poison';

/** The text of a token: its place, the version that truly made it, and what was asked. */
export function formatToken(place: number, version: number, prompt: string): string {
	return `${place}@${version}:${prompt} `;
}

type Running = {crash(): void};

/** One engine. */
export class FakeEngine implements Engine {
	readonly name: string;
	/** Runs that were started, by content of the prompt. */
	readonly runs = new Map<string, number>();
	crashes = 0;
	isStalled = false;
	ignoresFences = false;
	loadsToFail = 0;
	readonly #hooks: Hooks;
	readonly #models: Map<string, number>;
	readonly #running = new Map<string, Running>();
	#start = 1;
	#highestFence = 0;
	#downUntil = 0;

	constructor(name: string, models: Record<string, number>, hooks: Hooks) {
		this.name = name;
		this.#models = new Map(Object.entries(models));
		this.#hooks = hooks;
	}

	get isDown(): boolean {
		return performance.now() < this.#downUntil;
	}

	/** Version of a model that is in force; undefined when it is not held. */
	versionOf(model: string): number | undefined {
		return this.#models.get(model);
	}

	/** Cuts all runs off; the engine comes back after a while with the same models. */
	crash(): void {
		this.crashes += 1;
		this.#start += 1;
		this.#downUntil = performance.now() + restartMs;
		const running = [...this.#running.values()];
		this.#running.clear();
		for (const run of running) {
			run.crash();
		}
	}

	async * generate(request: GenerationRequest, {requestId, signal}: GenerationOptions): AsyncIterable<GenerationEvent> {
		this.#checkUp();
		const prompt = request.prompt ?? '';
		if (!this.#models.has(request.model)) {
			throw new PlatformError('refused', `${request.model} is not held`);
		}

		this.runs.set(prompt, (this.runs.get(prompt) ?? 0) + 1);
		let hasCrashed = false;
		const crashed = new Promise<void>(resolve => {
			this.#running.set(requestId, {
				crash() {
					hasCrashed = true;
					resolve();
				},
			});
		});
		this.#hooks.pass({step: 'run', agent: this.name});
		if (prompt.includes(poisonText)) {
			this.crash();
		}

		for (let made = 1; made <= request.maxTokens; made += 1) {
			// Tokens follow one another.
			// eslint-disable-next-line no-await-in-loop
			await Promise.race([crashed, this.#makeToken(signal)]);
			if (hasCrashed) {
				throw new PlatformError('unknown', 'the engine crashed');
			}

			const version = this.#models.get(request.model) ?? 0;
			yield {kind: 'part', part: {text: formatToken(made, version, prompt), tokens: 1, version}};
			this.#hooks.pass({step: 'stream', agent: this.name});
		}

		this.#running.delete(requestId);
		this.#hooks.pass({step: 'finish', agent: this.name});
		if (hasCrashed) {
			throw new PlatformError('unknown', 'the engine crashed');
		}

		yield {kind: 'finished', reason: 'length'};
	}

	async cancel(requestId: string): Promise<boolean> {
		this.#checkUp();
		return this.#running.delete(requestId);
	}

	async report(): Promise<EngineReport> {
		this.#checkUp();
		return {
			models: [...this.#models].map(([model, version]) => ({model, version})),
			role: 'any',
			running: this.#running.size,
			waiting: 0,
			slots: 8,
			tokensPerSecond: 1000 / tokenMs,
			cacheUse: 0,
			startId: `${this.name}/${this.#start}`,
		};
	}

	async order(order: EngineOrder, fence: number): Promise<void> {
		this.#checkUp();
		if (fence < this.#highestFence && !this.ignoresFences) {
			throw new PlatformError('fenced', `fence ${fence} is older than ${this.#highestFence}`);
		}

		this.#highestFence = Math.max(fence, this.#highestFence);
		if (this.loadsToFail > 0) {
			this.loadsToFail -= 1;
			throw new PlatformError('refused', 'the swap failed');
		}

		if (order.kind === 'load') {
			this.#models.set(order.model, order.version);
		}
	}

	/** Brings a version into force at once, as an order that was carried out does. */
	setVersion(model: string, version: number): void {
		this.#models.set(model, version);
	}

	async listCacheEvents(): Promise<CacheEvent[]> {
		return [];
	}

	async exportCache(): Promise<Uint8Array> {
		return new Uint8Array();
	}

	async importCache(): Promise<void> {
		this.#checkUp();
	}

	#checkUp(): void {
		if (this.isDown) {
			throw new PlatformError('unavailable', 'the engine is down');
		}
	}

	async #makeToken(signal: AbortSignal): Promise<void> {
		do {
			if (signal.aborted) {
				throw new PlatformError('unknown', 'aborted');
			}

			// A stalled engine makes nothing until it is stalled no more.
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				setTimeout(resolve, tokenMs);
			});
		} while (this.isStalled);
	}
}
