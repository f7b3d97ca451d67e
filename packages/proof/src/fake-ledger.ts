/**
 * A fake plain service that counts the executions of each posting, so that duplicates and losses are detected.
 */
import {
	PlatformError, type PlainEvent, type PlainRequest, type PlainService,
} from '@wasabiusher/backends';
import type {Hooks} from './hooks.js';

/** Time per posting, in milliseconds. */
const postingMs = 30;

/** Time until a crashed service is available again, in milliseconds. */
const restartMs = 3000;

/** Number of executions by posting key, shared by all endpoints of the ledger. */
export type Postings = Map<string, number>;

/** One endpoint of the ledger. */
export class FakeLedger implements PlainService {
	readonly name: string;
	isStalled = false;
	crashes = 0;
	readonly #postings: Postings;
	readonly #hooks: Hooks;
	#downUntil = 0;
	#start = 1;

	constructor(name: string, postings: Postings, hooks: Hooks) {
		this.name = name;
		this.#postings = postings;
		this.#hooks = hooks;
	}

	get isDown(): boolean {
		return performance.now() < this.#downUntil;
	}

	crash(): void {
		this.crashes += 1;
		this.#start += 1;
		this.#downUntil = performance.now() + restartMs;
	}

	async * forward({body}: PlainRequest, signal: AbortSignal): AsyncIterable<PlainEvent> {
		if (this.isDown) {
			throw new PlatformError('unavailable', 'the service is down');
		}

		const start = this.#start;
		this.#hooks.pass({step: 'run', agent: this.name});
		await this.#work(start, signal);
		const key = new TextDecoder().decode(body);
		this.#postings.set(key, (this.#postings.get(key) ?? 0) + 1);
		this.#hooks.pass({step: 'finish', agent: this.name});
		this.#checkRunning(start);
		yield {kind: 'head', status: 201, headers: {'content-type': 'text/plain'}};
		yield {kind: 'body', chunk: new TextEncoder().encode(key)};
		yield {kind: 'finished'};
	}

	async check(): Promise<boolean> {
		return !this.isDown;
	}

	async #work(start: number, signal: AbortSignal): Promise<void> {
		do {
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				setTimeout(resolve, postingMs);
			});
			this.#checkRunning(start);
			if (signal.aborted) {
				throw new PlatformError('unknown', 'aborted');
			}
		} while (this.isStalled);
	}

	#checkRunning(start: number): void {
		if (start !== this.#start) {
			throw new PlatformError('unknown', 'the service crashed');
		}
	}
}
