/** Counts the answers of a wait queue, for metrics. */
import type {AnswerCount} from './slot-queue.js';

/** Number of answers by kind of work and of answer. */
export class AnswerCounts {
	readonly #counts = new Map<string, AnswerCount>();

	record(kind: AnswerCount['kind'], answer: AnswerCount['answer']): void {
		const key = `${kind}/${answer}`;
		const known = this.#counts.get(key) ?? {kind, answer, count: 0};
		this.#counts.set(key, {...known, count: known.count + 1});
	}

	list(): AnswerCount[] {
		return [...this.#counts.values()];
	}
}
