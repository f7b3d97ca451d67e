/**
 * Stores the highest fence (fencing token) under which an order was executed at this endpoint, so that it outlives the agent.
 *
 * It is written before the first order under each fence, that is once per change of the lease holder, and read once
 * after a start. Without it, a former holder whose lease has expired could order a restarted agent.
 */
import {PlatformError, type TableService} from '@wasabiusher/backends';
import {z} from 'zod';
import {AgentError} from './errors.js';

const table = 'fences';

const rowSchema = z.object({fence: z.int().nonnegative()});

/** Maximum number of write attempts, each after a new read. Only another agent of the same name can cause a conflict. */
const maxAttempts = 3;

/** The lowest fence that one endpoint accepts. */
export class FenceFloor {
	readonly #tables: TableService;
	readonly #key: string;
	#fence = 0;
	#version: number | undefined;

	/** @param key - identifies the endpoint, unique among all */
	constructor(tables: TableService, key: string) {
		this.#tables = tables;
		this.#key = key;
	}

	/** Highest fence known to this process; may be too low until `raise` has succeeded once. */
	get fence(): number {
		return this.#fence;
	}

	/**
	 * Raises the floor to a fence. Returns true if orders under that fence are allowed, false if a higher one is known.
	 * Throws an `AgentError` (`floor-unknown`) if the floor cannot be read from or written to the store.
	 */
	async raise(fence: number): Promise<boolean> {
		for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
			// Attempts are sequential.
			// eslint-disable-next-line no-await-in-loop
			await this.#load();
			if (fence <= this.#fence) {
				return fence === this.#fence;
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#write(fence);
		}

		throw new AgentError('floor-unknown', `fence ${fence} could not be stored in ${maxAttempts} attempts`);
	}

	/** Reads the row unless its current version is known. */
	async #load(): Promise<void> {
		if (this.#version !== undefined) {
			return;
		}

		try {
			const row = await this.#tables.read(table, this.#key);
			this.#fence = Math.max(this.#fence, row ? rowSchema.parse(row.value).fence : 0);
			this.#version = row?.version ?? 0;
		} catch (error) {
			throw new AgentError('floor-unknown', 'the highest fence cannot be read from the store', error);
		}
	}

	/** Writes the row. After a conflict or an unknown result, the next attempt reads the row again. */
	async #write(fence: number): Promise<void> {
		const expect = this.#version;
		this.#version = undefined;
		try {
			const [version] = await this.#tables.transact([{
				table, key: this.#key, expect, value: {fence},
			}]);
			this.#version = version;
			this.#fence = fence;
		} catch (error) {
			const isResolvedByReading = error instanceof PlatformError && (error.code === 'conflict' || error.code === 'unknown');
			if (!isResolvedByReading) {
				throw new AgentError('floor-unknown', 'the highest fence cannot be written to the store', error);
			}
		}
	}
}
