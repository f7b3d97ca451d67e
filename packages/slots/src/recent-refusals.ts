/**
 * Remembers refused requests, so that retries are preferred to new requests.
 *
 * Load pattern: a burst is refused with a retry delay, and most of it is retried. If retries meet the same admission bound as new requests, some are refused
 * again and again while later ones are served.
 */
import {dropOldest} from '@wasabiusher/shared';

/** Limit of remembered refusals; the oldest are dropped first. */
const maxRefusals = 1000;

/** Time for which a refusal is remembered, in milliseconds: longer than any retry delay that is sent. */
const retentionMs = 5000;

/** Requests that were refused recently. */
export class RecentRefusals {
	/** Time of the refusal by request, on the monotonic clock. */
	readonly #refusedAt = new Map<string, number>();

	/** Records a refusal; `key` identifies the request across its attempts. */
	record(key: string): void {
		this.#refusedAt.delete(key);
		this.#refusedAt.set(key, performance.now());
		dropOldest(this.#refusedAt, maxRefusals);
	}

	/** Returns whether a request is the retry of a refused one; true once for each refusal. */
	consume(key: string): boolean {
		const refusedAt = this.#refusedAt.get(key);
		this.#refusedAt.delete(key);
		return refusedAt !== undefined && performance.now() - refusedAt < retentionMs;
	}
}
