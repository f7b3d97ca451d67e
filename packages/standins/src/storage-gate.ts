/**
 * Fault injection for calls to the platform's storage: the documented failures, set by switches.
 */

import {PlatformError} from '@wasabiusher/backends';
import {RateLimiter} from './rate-limiter.js';
import {wait} from './wait.js';

/** Time-out of the storage's clients, in milliseconds. A slower call fails with `unknown`. */
const defaultClientTimeoutMs = 3000;

/** Fault-injection switches. They can be set at any time and apply to calls that begin afterwards. */
export type StorageSwitches = {
	/** Refuses each call; calls have no effect. */
	isDown: boolean;
	/** Delay before a call takes effect, in milliseconds. */
	delayMs: number;
	/** Time after which a client abandons its call, in milliseconds. The call takes effect nevertheless. */
	clientTimeoutMs: number;
	/** Number of the next writes that take effect and whose answer is lost. */
	answersToLose: number;
	/** Maximum transactions and object writes per second; undefined for no limit. */
	writesPerSecond?: number;
	/** Maximum row reads, scans and object reads per second; undefined for no limit. */
	readsPerSecond?: number;
};

export type StorageOperation = 'read' | 'write';

/** Number of calls. `reads` and `writes` include refused calls. */
export type StorageCounts = {reads: number; writes: number; refused: number};

/** Applies the fault-injection switches and rate limits to calls. */
export class StorageGate {
	readonly switches: StorageSwitches;
	readonly counts: StorageCounts = {reads: 0, writes: 0, refused: 0};
	readonly #limiters: Readonly<Record<StorageOperation, RateLimiter>> = {read: new RateLimiter(), write: new RateLimiter()};

	constructor(switches: Partial<StorageSwitches> = {}) {
		this.switches = {
			isDown: false, delayMs: 0, clientTimeoutMs: defaultClientTimeoutMs, answersToLose: 0, ...switches,
		};
	}

	/**
	 * Runs a call under the current switches.
	 *
	 * @param effect - effect of the call, synchronous and atomic
	 * @throws {PlatformError} `unavailable`, `limited` or `unknown`, as the storage's client does
	 */
	async run<Result>(operation: StorageOperation, effect: () => Result): Promise<Result> {
		this.#admit(operation);
		const {delayMs, clientTimeoutMs} = this.switches;
		if (delayMs > clientTimeoutMs) {
			return this.#applyAfterTimeout(operation, effect);
		}

		if (delayMs > 0) {
			await wait(delayMs);
			this.#throwIfDown('unknown');
		}

		return this.#perform(operation, effect);
	}

	#admit(operation: StorageOperation): void {
		this.counts[operation === 'read' ? 'reads' : 'writes'] += 1;
		this.#throwIfDown('unavailable');
		const {readsPerSecond, writesPerSecond} = this.switches;
		const limit = operation === 'read' ? readsPerSecond : writesPerSecond;
		if (limit !== undefined && !this.#limiters[operation].tryTake(limit)) {
			this.counts.refused += 1;
			throw new PlatformError('limited', `more than ${limit} ${operation}s in a second`);
		}
	}

	#throwIfDown(code: 'unavailable' | 'unknown'): void {
		if (this.switches.isDown) {
			this.counts.refused += 1;
			throw new PlatformError(code, 'the storage is down');
		}
	}

	#perform<Result>(operation: StorageOperation, effect: () => Result): Result {
		const result = effect();
		if (operation === 'write' && this.switches.answersToLose > 0) {
			this.switches.answersToLose -= 1;
			throw new PlatformError('unknown', 'the answer was lost after the write took effect');
		}

		return result;
	}

	/** Fails with `unknown` when the client times out, and applies the effect after the delay. */
	async #applyAfterTimeout(operation: StorageOperation, effect: () => unknown): Promise<never> {
		const {delayMs, clientTimeoutMs} = this.switches;
		setTimeout(() => {
			if (this.switches.isDown) {
				return;
			}

			try {
				this.#perform(operation, effect);
			} catch {
				// The client has timed out and no longer waits for the answer.
			}
		}, delayMs);
		await wait(clientTimeoutMs);
		throw new PlatformError('unknown', `no answer within ${clientTimeoutMs} ms`);
	}
}
