/**
 * Prevents a non-idempotent request from running twice at one endpoint, even if its entry sends several attempts.
 */
import type {AttemptName} from './execution.js';

type Entry = {attempt: number; until: number};

/** Time after its deadline for which a request is remembered, in milliseconds. No entry sends it later than that. */
const retentionAfterDeadlineMs = 60_000;

/** Records the requests that may have run, by entry and ID. */
export class OnceGuard {
	readonly #ran = new Map<string, Entry>();

	/** Whether another attempt of the request may have run. */
	hasOther(peer: string, {request, attempt}: AttemptName): boolean {
		const entry = this.#ran.get(formatKey(peer, request));
		return entry !== undefined && entry.attempt !== attempt;
	}

	/** Records an attempt that is about to be sent to the endpoint. */
	record(peer: string, {request, attempt}: AttemptName, deadlineAt: number): void {
		this.#removeExpired(performance.now());
		this.#ran.set(formatKey(peer, request), {attempt, until: deadlineAt + retentionAfterDeadlineMs});
	}

	/** Removes an attempt that is proven not to have run. */
	clear(peer: string, {request}: AttemptName): void {
		this.#ran.delete(formatKey(peer, request));
	}

	/** Removes expired requests from the front. Requests are in order of their start, so those with a late deadline delay the removal of expired ones behind them. */
	#removeExpired(now: number): void {
		for (const [key, {until}] of this.#ran) {
			if (until > now) {
				return;
			}

			this.#ran.delete(key);
		}
	}
}

function formatKey(peer: string, request: string): string {
	return `${peer} ${request}`;
}
