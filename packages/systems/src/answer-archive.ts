/**
 * Keeps ended attempts for entries whose link was replaced: until they are acknowledged, for a bounded time and
 * within a bounded memory.
 */
import type {Execution} from './execution.js';

/** How long an ended attempt can still be asked for, in milliseconds: several times what an entry waits for a lost link. */
const keepMs = 30_000;

/** Bytes of ended answers kept, the oldest dropped first: a quarter of an agent's 64 MB. */
const maxBytes = 16 * 1024 * 1024;

/** What an ended attempt weighs besides its answer, in bytes. */
const rowBytes = 2048;

type Kept = {execution: Execution; bytes: number; timer: NodeJS.Timeout};

/** Ended attempts in order of their end. */
export class AnswerArchive {
	readonly #kept = new Map<string, Kept>();
	readonly #onDrop: (id: string) => void;
	#bytes = 0;
	/** When an attempt was last let go early, or the archive began, on the monotonic clock. */
	#wholeSince = performance.now();

	/** @param onDrop - told which attempt is let go */
	constructor(onDrop: (id: string) => void) {
		this.#onDrop = onDrop;
	}

	keep(execution: Execution): void {
		if (!execution.outcome && execution.buffer.isEmpty) {
			this.#onDrop(execution.id);
			return;
		}

		const timer = setTimeout(() => {
			this.drop(execution);
		}, keepMs);
		timer.unref();
		const bytes = rowBytes + execution.buffer.bytes;
		this.#kept.set(execution.id, {execution, bytes, timer});
		this.#bytes += bytes;
		this.#shrink();
	}

	/** Lets go of an attempt: acknowledged, too old, or too much. */
	drop({id}: Execution): void {
		const kept = this.#kept.get(id);
		if (!kept) {
			return;
		}

		clearTimeout(kept.timer);
		this.#kept.delete(id);
		this.#bytes -= kept.bytes;
		this.#onDrop(id);
	}

	/** Whether all that came after a time is known still, or was acknowledged; the time is on the monotonic clock. */
	knowsAllSince(time: number): boolean {
		return time >= this.#wholeSince && performance.now() - time < keepMs;
	}

	clear(): void {
		for (const {execution} of this.#kept.values()) {
			this.drop(execution);
		}
	}

	#shrink(): void {
		for (const {execution} of this.#kept.values()) {
			if (this.#bytes <= maxBytes) {
				return;
			}

			this.#wholeSince = performance.now();
			this.drop(execution);
		}
	}
}
