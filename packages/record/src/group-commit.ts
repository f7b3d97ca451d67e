/**
 * Group commit: many independent conditional writes in few transactions.
 *
 * While one transaction is under way all other writes wait, and go out together in the next one, so that
 * batches grow with the load and the number of transactions does not. A condition that fails in one row
 * fails the transaction; the rows are then read, those that lost are told, and the others are sent again.
 */
import type {StoredRow, TableService} from '@wasabiusher/backends';
import {RecordError} from './errors.js';
import {writeSettled, type GuardedWrite} from './settled-write.js';

/** Most rows of one transaction. */
const maxBatch = 200;

/** Whoever commits rows for a process: itself, or another process that gathers the rows of many. */
export type Committer = {
	/**
	 * Writes one row.
	 *
	 * @throws {RecordError} `unavailable` if it was not written and will not be, `unknown` if it may have been
	 */
	write(write: GroupWrite): Promise<GroupResult>;
};

/** A row to be written; its value carries the attempt id. */
export type GroupWrite = GuardedWrite & {value: {attempt: string}};

/** What became of a row: written, or lost to what is there instead. */
export type GroupResult = {isWritten: true} | {isWritten: false; row: StoredRow | undefined};

type Waiting = {
	write: GroupWrite;
	resolve(result: GroupResult): void;
	reject(error: RecordError): void;
};

/** Commits the writes of one process. */
export class GroupCommit implements Committer {
	readonly #tables: TableService;
	readonly #intervalMs: () => number;
	#waiting: Waiting[] = [];
	#isCommitting = false;
	#startedAt = Number.NEGATIVE_INFINITY;

	/** @param intervalMs - least time from one transaction's start to the next one's, in milliseconds */
	constructor(tables: TableService, intervalMs: () => number = () => 0) {
		this.#tables = tables;
		this.#intervalMs = intervalMs;
	}

	async write(write: GroupWrite): Promise<GroupResult> {
		return new Promise((resolve, reject) => {
			this.#waiting.push({write, resolve, reject});
			void this.#commitAll();
		});
	}

	async #commitAll(): Promise<void> {
		if (this.#isCommitting) {
			return;
		}

		this.#isCommitting = true;
		// Writes of one moment go together, the first ones too.
		await Promise.resolve();
		while (this.#waiting.length > 0) {
			// eslint-disable-next-line no-await-in-loop
			await this.#waitForTurn();
			const batch = this.#takeBatch();
			// One transaction at a time, so that the next one takes all that came meanwhile.
			// eslint-disable-next-line no-await-in-loop
			await this.#commit(batch);
		}

		this.#isCommitting = false;
	}

	async #waitForTurn(): Promise<void> {
		const waitMs = this.#startedAt + this.#intervalMs() - performance.now();
		if (waitMs > 0) {
			await new Promise<void>(resolve => {
				setTimeout(resolve, waitMs);
			});
		}

		this.#startedAt = performance.now();
	}

	/** The oldest waiting writes; a row occurs once, since its second write would fail the whole batch. */
	#takeBatch(): Waiting[] {
		const batch = new Map<string, Waiting>();
		const left: Waiting[] = [];
		for (const waiting of this.#waiting) {
			const id = `${waiting.write.table}/${waiting.write.key}`;
			if (batch.size < maxBatch && !batch.has(id)) {
				batch.set(id, waiting);
			} else {
				left.push(waiting);
			}
		}

		this.#waiting = left;
		return [...batch.values()];
	}

	async #commit(batch: readonly Waiting[]): Promise<void> {
		const [first, ...rest] = batch.map(({write}) => write);
		try {
			const version = await writeSettled(this.#tables, {writes: [first!, ...rest], attempt: first!.value.attempt});
			if (version === undefined) {
				await Promise.all(batch.map(async waiting => this.#sortOut(waiting, batch.length === 1)));
				return;
			}

			for (const {resolve} of batch) {
				resolve({isWritten: true});
			}
		} catch (error) {
			for (const {reject} of batch) {
				reject(toRecordError(error));
			}
		}
	}

	/** Nothing of the batch was written: tells who lost, and sends the others again. */
	async #sortOut(waiting: Waiting, isAlone: boolean): Promise<void> {
		const {write, resolve, reject} = waiting;
		try {
			const row = await this.#tables.read(write.table, write.key);
			if (isAlone || (row?.version ?? 0) !== write.expect) {
				resolve({isWritten: false, row});
			} else {
				this.#waiting.push(waiting);
			}
		} catch (error) {
			reject(new RecordError('unavailable', 'nothing was written, and who came first can not be read', error));
		}
	}
}

function toRecordError(error: unknown): RecordError {
	return error instanceof RecordError ? error : new RecordError('unknown', 'the write failed', error);
}
