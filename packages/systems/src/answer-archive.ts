/**
 * Keeps ended attempts for entries whose link is replaced, until they are acknowledged. Time and memory are bounded.
 */
import type {Execution} from './execution.js';

/** Retention of ended attempts, in milliseconds: several times as long as entries wait for a lost link. */
const retentionMs = 30_000;

/** Maximum size of the archive, in bytes: a quarter of an agent's 64 MB. The oldest attempts are evicted first. */
const maxBytes = 16 * 1024 * 1024;

/** Estimated size of an ended attempt without its answer, in bytes. */
const rowBytes = 2048;

type ArchivedAttempt = {execution: Execution; bytes: number; timer: NodeJS.Timeout};

/** Ended attempts in order of their end. */
export class AnswerArchive {
	readonly #archived = new Map<string, ArchivedAttempt>();
	readonly #onRemove: (id: string) => void;
	#bytes = 0;
	/** When an attempt was last evicted early, or the archive was created, on the monotonic clock in milliseconds. */
	#completeSince = performance.now();

	/** @param onRemove - called with the id of each removed attempt */
	constructor(onRemove: (id: string) => void) {
		this.#onRemove = onRemove;
	}

	add(execution: Execution): void {
		if (!execution.outcome && execution.buffer.isEmpty) {
			this.#onRemove(execution.id);
			return;
		}

		const timer = setTimeout(() => {
			this.remove(execution);
		}, retentionMs);
		timer.unref();
		const bytes = rowBytes + execution.buffer.bytes;
		this.#archived.set(execution.id, {execution, bytes, timer});
		this.#bytes += bytes;
		this.#evictOldest();
	}

	/** Removes an attempt that was acknowledged, has expired or is evicted. */
	remove({id}: Execution): void {
		const row = this.#archived.get(id);
		if (!row) {
			return;
		}

		clearTimeout(row.timer);
		this.#archived.delete(id);
		this.#bytes -= row.bytes;
		this.#onRemove(id);
	}

	/**
	 * Whether no unacknowledged attempt that ended after a time has been removed.
	 *
	 * @param time - on the monotonic clock, in milliseconds
	 */
	isCompleteSince(time: number): boolean {
		return time >= this.#completeSince && performance.now() - time < retentionMs;
	}

	clear(): void {
		for (const {execution} of this.#archived.values()) {
			this.remove(execution);
		}
	}

	#evictOldest(): void {
		for (const {execution} of this.#archived.values()) {
			if (this.#bytes <= maxBytes) {
				return;
			}

			this.#completeSince = performance.now();
			this.remove(execution);
		}
	}
}
