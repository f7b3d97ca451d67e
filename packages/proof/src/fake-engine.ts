/**
 * A fake model engine that implements the engine interface without a network, and makes tokens at a constant pace under a fake clock.
 */
import {
	PlatformError, type CacheEvent, type Engine, type EngineOrder, type EngineReport, type GenerationEvent, type GenerationOptions,
} from '@wasabiusher/backends';
import type {GenerationRequest} from '@wasabiusher/shared';
import type {Hooks} from './hooks.js';

/** Time per token, in milliseconds. */
const tokenMs = 20;

/** Time until a crashed engine is available again, in milliseconds. */
const restartMs = 3000;

/** A prompt that contains this text crashes each engine that runs it. */
export const poisonText = 'poison';

/** Formats a token: its position, the weight version that generated it, and the prompt. */
export function formatToken(place: number, version: number, prompt: string): string {
	return `${place}@${version}:${prompt} `;
}

type Running = {crash(): void};

/** One fake engine, with switches for its faults. */
export class FakeEngine implements Engine {
	readonly name: string;
	/** Number of runs that were started, by prompt. */
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

	/** Returns the loaded version of a model; undefined if the model is not loaded. */
	versionOf(model: string): number | undefined {
		return this.#models.get(model);
	}

	/** Aborts all runs; the engine is available again after `restartMs`, with the same models. */
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
			// Tokens are generated in sequence.
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

	/** Sets the loaded version of a model at once, as a completed load order does. */
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

			// A stalled engine generates no tokens until the stall ends.
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				setTimeout(resolve, tokenMs);
			});
		} while (this.isStalled);
	}
}
