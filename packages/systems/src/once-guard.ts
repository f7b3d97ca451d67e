/**
 * Keeps a non-idempotent request from running twice at one endpoint, whatever its entry sends.
 */
import type {AttemptName} from './execution.js';

type Entry = {attempt: number; until: number};

/** How long after its deadline a request is remembered, in milliseconds: no entry sends it later than that. */
const afterDeadlineMs = 60_000;

/** Requests that may have run, by entry and id. */
export class OnceGuard {
	readonly #ran = new Map<string, Entry>();

	/** Whether another attempt of the request may have run. */
	hasOther(peer: string, {request, attempt}: AttemptName): boolean {
		const entry = this.#ran.get(formatKey(peer, request));
		return entry !== undefined && entry.attempt !== attempt;
	}

	/** The attempt is about to be sent to the endpoint. */
	record(peer: string, {request, attempt}: AttemptName, deadlineAt: number): void {
		this.#forget(performance.now());
		this.#ran.set(formatKey(peer, request), {attempt, until: deadlineAt + afterDeadlineMs});
	}

	/** The attempt is proven not to have run. */
	clear(peer: string, {request}: AttemptName): void {
		this.#ran.delete(formatKey(peer, request));
	}

	/** Rows stand in order of their start, so the expired ones are mostly in front; one that is not waits its turn. */
	#forget(now: number): void {
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
