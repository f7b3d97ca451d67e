/**
 * The highest fence under which an order was carried out at this endpoint, kept in the store so that it outlives the agent.
 *
 * Written before the first order of each fence, which is once for each change of the lease, and read once
 * after a start. Without it, a holder whose lease has lapsed could give orders to an agent that was restarted.
 */
import {PlatformError, type TableService} from '@wasabiusher/backends';
import {z} from 'zod';
import {AgentError} from './errors.js';

const table = 'fences';

const rowSchema = z.object({fence: z.int().nonnegative()});

/** Attempts to write, each after reading again; another agent of the same name is the only rival. */
const maxAttempts = 3;

/** The floor of one endpoint. */
export class FenceFloor {
	readonly #tables: TableService;
	readonly #key: string;
	#fence = 0;
	#version: number | undefined;

	/** @param key - names the endpoint among all */
	constructor(tables: TableService, key: string) {
		this.#tables = tables;
		this.#key = key;
	}

	/** The highest fence known here; not to be trusted before `raise` has once succeeded. */
	get fence(): number {
		return this.#fence;
	}

	/**
	 * Raises the floor to a fence; true if that may give orders, false if a higher one has.
	 * Throws `AgentError` (`floor-unknown`) if the store can not tell or keep it.
	 */
	async raise(fence: number): Promise<boolean> {
		for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
			// Attempts follow one another.
			// eslint-disable-next-line no-await-in-loop
			await this.#learn();
			if (fence <= this.#fence) {
				return fence === this.#fence;
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#write(fence);
		}

		throw new AgentError('floor-unknown', `fence ${fence} could not be kept in ${maxAttempts} attempts`);
	}

	/** Reads the row unless it is known. */
	async #learn(): Promise<void> {
		if (this.#version !== undefined) {
			return;
		}

		try {
			const row = await this.#tables.read(table, this.#key);
			this.#fence = Math.max(this.#fence, row ? rowSchema.parse(row.value).fence : 0);
			this.#version = row?.version ?? 0;
		} catch (error) {
			throw new AgentError('floor-unknown', 'the floor can not be read', error);
		}
	}

	/** Writes the row; if that is in doubt or lost a race, the row is to be read again. */
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
			const isSettledByReading = error instanceof PlatformError && (error.code === 'conflict' || error.code === 'unknown');
			if (!isSettledByReading) {
				throw new AgentError('floor-unknown', 'the floor can not be kept', error);
			}
		}
	}
}
