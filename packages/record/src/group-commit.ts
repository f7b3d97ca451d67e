/**
 * Group commit: writes many independent conditional writes in few transactions.
 *
 * While one transaction is in progress, all other writes wait and are sent together in the next one, so that
 * batches grow with the load and the number of transactions does not. If the condition of one row fails, the whole
 * transaction fails; the rows are then read, the conflicting writes are resolved as lost, and the others are sent again.
 */
import type {StoredRow, TableService} from '@wasabiusher/backends';
import {RecordError} from './errors.js';
import {writeSettled, type GuardedWrite} from './settled-write.js';

/** Limit of rows in one transaction. */
const maxBatchRows = 200;

/** Commits rows for a process: the process itself, or another one that collects the rows of many. */
export type Committer = {
	/**
	 * Writes one row.
	 *
	 * @throws {RecordError} `unavailable` if it was not written and will not be, `unknown` if it may have been
	 */
	write(write: GroupWrite): Promise<GroupResult>;
};

/** A row to be written; its value contains the attempt id. */
export type GroupWrite = GuardedWrite & {value: {attempt: string}};

/** Result of a write: written, or not, with the row that exists instead. */
export type GroupResult = {isWritten: true} | {isWritten: false; row: StoredRow | undefined};

type PendingWrite = {
	write: GroupWrite;
	resolve(result: GroupResult): void;
	reject(error: RecordError): void;
};

/** Commits the writes of one process. */
export class GroupCommit implements Committer {
	readonly #tables: TableService;
	readonly #intervalMs: () => number;
	#pending: PendingWrite[] = [];
	#isCommitting = false;
	#startedAt = Number.NEGATIVE_INFINITY;

	/** @param intervalMs - minimum time between the starts of two transactions, in milliseconds */
	constructor(tables: TableService, intervalMs: () => number = () => 0) {
		this.#tables = tables;
		this.#intervalMs = intervalMs;
	}

	async write(write: GroupWrite): Promise<GroupResult> {
		return new Promise((resolve, reject) => {
			this.#pending.push({write, resolve, reject});
			void this.#commitAll();
		});
	}

	async #commitAll(): Promise<void> {
		if (this.#isCommitting) {
			return;
		}

		this.#isCommitting = true;
		// Batches all writes of the current synchronous code, also the first ones.
		await Promise.resolve();
		while (this.#pending.length > 0) {
			// eslint-disable-next-line no-await-in-loop
			await this.#waitForInterval();
			const batch = this.#takeBatch();
			// One transaction at a time, so that the next one includes all writes that arrived meanwhile.
			// eslint-disable-next-line no-await-in-loop
			await this.#commit(batch);
		}

		this.#isCommitting = false;
	}

	async #waitForInterval(): Promise<void> {
		const waitMs = this.#startedAt + this.#intervalMs() - performance.now();
		if (waitMs > 0) {
			await new Promise<void>(resolve => {
				setTimeout(resolve, waitMs);
			});
		}

		this.#startedAt = performance.now();
	}

	/** Removes the oldest pending writes and returns them; each row occurs once, since a second write of it would fail the whole batch. */
	#takeBatch(): PendingWrite[] {
		const batch = new Map<string, PendingWrite>();
		const remaining: PendingWrite[] = [];
		for (const pending of this.#pending) {
			const id = `${pending.write.table}/${pending.write.key}`;
			if (batch.size < maxBatchRows && !batch.has(id)) {
				batch.set(id, pending);
			} else {
				remaining.push(pending);
			}
		}

		this.#pending = remaining;
		return [...batch.values()];
	}

	async #commit(batch: readonly PendingWrite[]): Promise<void> {
		const [first, ...rest] = batch.map(({write}) => write);
		try {
			const version = await writeSettled(this.#tables, {writes: [first!, ...rest], attempt: first!.value.attempt});
			if (version === undefined) {
				await Promise.all(batch.map(async pending => this.#resolveFailed(pending, batch.length === 1)));
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

	/** Handles a write of a batch that was not written: resolves it if its condition fails, otherwise queues it again. */
	async #resolveFailed(pending: PendingWrite, isSingle: boolean): Promise<void> {
		const {write, resolve, reject} = pending;
		try {
			const row = await this.#tables.read(write.table, write.key);
			if (isSingle || (row?.version ?? 0) !== write.expect) {
				resolve({isWritten: false, row});
			} else {
				this.#pending.push(pending);
			}
		} catch (error) {
			reject(new RecordError('unavailable', 'nothing was written, and the conflicting row can not be read', error));
		}
	}
}

function toRecordError(error: unknown): RecordError {
	return error instanceof RecordError ? error : new RecordError('unknown', 'the write failed', error);
}
