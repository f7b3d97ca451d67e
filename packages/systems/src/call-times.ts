/**
 * Measures the times and the progress of a call for its record.
 */
import type {AnswerEvent} from '@wasabiusher/link';
import type {CallRecord, Progress} from './call.js';

const progressByEvent: Readonly<Record<AnswerEvent['kind'], Progress>> = {
	head: 'head', body: 'content', parts: 'content', finished: 'content',
};

/** Times of one call since its acceptance. */
export class CallTimes {
	readonly #acceptedAt = performance.now();
	#startedAt: number | undefined;
	#firstContentAt: number | undefined;
	#progress: Progress = 'nothing';

	/** Records that the call has left the queue. */
	recordStart(): void {
		this.#startedAt = performance.now();
	}

	/** Records that an event of the answer is passed on to the caller. */
	recordEvent({kind}: AnswerEvent): void {
		if (this.#progress === 'content') {
			return;
		}

		this.#progress = progressByEvent[kind];
		if (this.#progress === 'content') {
			this.#firstContentAt = performance.now();
		}
	}

	/** Discards the progress, because the answer starts again. */
	restart(): void {
		this.#progress = 'nothing';
		this.#firstContentAt = undefined;
	}

	/** Returns the progress and the times up to now. */
	describe(): Pick<CallRecord, 'progress' | 'queueMs' | 'firstContentMs' | 'durationMs'> {
		const now = performance.now();
		return {
			progress: this.#progress,
			queueMs: (this.#startedAt ?? now) - this.#acceptedAt,
			firstContentMs: this.#firstContentAt === undefined ? undefined : this.#firstContentAt - this.#acceptedAt,
			durationMs: now - this.#acceptedAt,
		};
	}
}
