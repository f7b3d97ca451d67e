/**
 * The documented failures of the platform's storage, as switches that any call passes through.
 */

import {PlatformError} from '@wasabiusher/backends';
import {RateLimiter} from './rate-limiter.js';
import {wait} from './wait.js';

/** Longest wait of the storage's clients for an answer, in milliseconds; a slower call is `unknown` to them. */
const defaultClientTimeoutMs = 3000;

/** Set at any time; they hold for calls that begin afterwards. */
export type StorageSwitches = {
	/** Refuses each call; nothing is done. */
	isDown: boolean;
	/** Time before a call takes effect, in milliseconds. */
	delayMs: number;
	/** A call slower than this is given up by its client, in milliseconds; its effect comes all the same. */
	clientTimeoutMs: number;
	/** How many of the next writes take effect and lose their answer. */
	answersToLose: number;
	/** Transactions and objects written in a second; undefined for no limit. */
	writesPerSecond?: number;
	/** Rows, scans and objects read in a second; undefined for no limit. */
	readsPerSecond?: number;
};

export type StorageOperation = 'read' | 'write';

/** What has passed, refused calls included. */
export type StorageCounts = {reads: number; writes: number; refused: number};

/** Applies the switches to calls. */
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
	 * Passes a call.
	 *
	 * @param effect - what the call does, at once and whole
	 * @throws {PlatformError} as the storage's client would
	 */
	async pass<Result>(operation: StorageOperation, effect: () => Result): Promise<Result> {
		this.#admit(operation);
		const {delayMs, clientTimeoutMs} = this.switches;
		if (delayMs > clientTimeoutMs) {
			return this.#outlast(operation, effect);
		}

		if (delayMs > 0) {
			await wait(delayMs);
			this.#check('unknown');
		}

		return this.#perform(operation, effect);
	}

	#admit(operation: StorageOperation): void {
		this.counts[operation === 'read' ? 'reads' : 'writes'] += 1;
		this.#check('unavailable');
		const {readsPerSecond, writesPerSecond} = this.switches;
		const limit = operation === 'read' ? readsPerSecond : writesPerSecond;
		if (limit !== undefined && !this.#limiters[operation].tryTake(limit)) {
			this.counts.refused += 1;
			throw new PlatformError('limited', `more than ${limit} ${operation}s in a second`);
		}
	}

	#check(code: 'unavailable' | 'unknown'): void {
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

	/** The client gives up first; the effect comes later. */
	async #outlast(operation: StorageOperation, effect: () => unknown): Promise<never> {
		const {delayMs, clientTimeoutMs} = this.switches;
		setTimeout(() => {
			if (this.switches.isDown) {
				return;
			}

			try {
				this.#perform(operation, effect);
			} catch {
				// Nobody waits for this answer any more.
			}
		}, delayMs);
		await wait(clientTimeoutMs);
		throw new PlatformError('unknown', `no answer within ${clientTimeoutMs} ms`);
	}
}
