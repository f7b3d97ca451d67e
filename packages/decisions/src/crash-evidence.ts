/**
 * Distinguishes a crash of an endpoint from a single failed request.
 *
 * Load pattern: links lose connections and partially failing endpoints reset some of their requests, hundreds a minute, while a request that crashes
 * endpoints is rare. A request that failed without an answer is evidence only if its endpoint is found to be down soon after: it can't be connected to,
 * has restarted, or is no longer registered.
 */
import {dropOldest} from '@wasabiusher/shared';

/** Time within which the endpoint of a failed request must be found to be down, in milliseconds: a registration that is not renewed disappears within that time. */
const evidenceMs = 6000;

/** Maximum number of requests remembered per endpoint, and of endpoints; the oldest are removed first. */
const maxBroken = 64;
const maxEndpoints = 1000;

type BrokenRequest = {fingerprint: string; at: number};

/** Tracks requests that recently failed without an answer. */
export class CrashEvidence {
	/** Failed requests by endpoint. */
	readonly #broken = new Map<string, BrokenRequest[]>();

	/** Records a request that failed without an answer, and may have run. */
	recordBroken(endpoint: string, fingerprint: string, now: number): void {
		const broken = this.#broken.get(endpoint) ?? [];
		broken.push({fingerprint, at: now});
		if (broken.length > maxBroken) {
			broken.shift();
		}

		this.#broken.delete(endpoint);
		this.#broken.set(endpoint, broken);
		dropOldest(this.#broken, maxEndpoints);
	}

	/** Records that an endpoint is down; returns the fingerprints of the requests in flight when it crashed, once. */
	takeCrashed(endpoint: string, now: number): string[] {
		const broken = this.#broken.get(endpoint);
		if (!broken) {
			return [];
		}

		this.#broken.delete(endpoint);
		return [...new Set(broken.filter(({at}) => now - at <= evidenceMs).map(({fingerprint}) => fingerprint))];
	}
}
