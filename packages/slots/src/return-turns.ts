/**
 * Remembers who was refused, so that those who come back keep their turn.
 *
 * Load pattern: a burst is refused with a time to come back, and most of it comes back. If those meet the same bound as newcomers, some are refused again and
 * again while later ones are served.
 */
import {dropOldest} from '@wasabiusher/shared';

/** Most that are remembered; the oldest are forgotten first. */
const mostRefused = 1000;

/** Time after which one that has not come back is forgotten, in milliseconds: longer than any is told to stay away. */
const keptMs = 5000;

/** Who was refused of late, on the monotonic clock. */
export class ReturnTurns {
	readonly #refusedAt = new Map<string, number>();

	/** Notes a refusal; `key` names the request in all its attempts. */
	note(key: string): void {
		this.#refusedAt.delete(key);
		this.#refusedAt.set(key, performance.now());
		dropOldest(this.#refusedAt, mostRefused);
	}

	/** Whether a request comes back that was refused; true once for each refusal. */
	take(key: string): boolean {
		const refusedAt = this.#refusedAt.get(key);
		this.#refusedAt.delete(key);
		return refusedAt !== undefined && performance.now() - refusedAt < keptMs;
	}
}
