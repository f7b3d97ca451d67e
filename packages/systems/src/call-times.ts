/**
 * When a call got how far, for its record.
 */
import type {AnswerEvent} from '@wasabiusher/link';
import type {CallRecord, Progress} from './call.js';

const progressOf: Readonly<Record<AnswerEvent['kind'], Progress>> = {
	head: 'head', body: 'content', parts: 'content', finished: 'content',
};

/** Times of one call, from its acceptance on. */
export class CallTimes {
	readonly #acceptedAt = performance.now();
	#startedAt: number | undefined;
	#firstContentAt: number | undefined;
	#progress: Progress = 'nothing';

	/** Its turn has come. */
	recordStart(): void {
		this.#startedAt = performance.now();
	}

	/** An event of its answer goes to the caller. */
	recordEvent({kind}: AnswerEvent): void {
		if (this.#progress === 'content') {
			return;
		}

		this.#progress = progressOf[kind];
		if (this.#progress === 'content') {
			this.#firstContentAt = performance.now();
		}
	}

	/** What had come is void; the answer begins anew. */
	restart(): void {
		this.#progress = 'nothing';
		this.#firstContentAt = undefined;
	}

	/** How it stands now. */
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
