/**
 * Distinguishes a crash of an endpoint from a single failed request.
 *
 * Load pattern: links lose connections and partially failing endpoints reset some of their requests, hundreds a minute, while a request that crashes
 * endpoints is rare. A request that failed without an answer is evidence only if its endpoint is found to be down close to that time: it can't be connected
 * to, has restarted, or is no longer registered. The endpoint may be found to be down before the run fails, as a silent crash leaves runs open.
 */
import {dropOldest} from '@wasabiusher/shared';

/** Time between the failure of a run and the discovery that its endpoint is down, in milliseconds, either of which may come first: a registration that is not renewed disappears within that time. */
const evidenceMs = 6000;

/** Maximum number of requests remembered per endpoint, and of endpoints; the oldest are removed first. */
const maxBroken = 64;
const maxEndpoints = 1000;

/** One run of a request at an endpoint. */
export type EndpointRun = {
	endpoint: string;
	/** When the run began, on the monotonic clock in milliseconds. */
	startedAt: number;
};

type BrokenRun = {fingerprint: string; at: number};

/** Tracks requests that recently failed without an answer, and endpoints that were recently found to be down. */
export class CrashEvidence {
	/** Failed runs by endpoint. */
	readonly #broken = new Map<string, BrokenRun[]>();
	/** When endpoints were last found to be down. */
	readonly #downAt = new Map<string, number>();

	/**
	 * Records a run that failed without an answer, and may have begun.
	 *
	 * @returns whether the endpoint was found to be down during the run, which makes it a crash
	 */
	recordBroken({endpoint, startedAt}: EndpointRun, fingerprint: string, now: number): boolean {
		const downAt = this.#downAt.get(endpoint) ?? Number.NEGATIVE_INFINITY;
		if (downAt >= startedAt && now - downAt <= evidenceMs) {
			return true;
		}

		const broken = this.#broken.get(endpoint) ?? [];
		broken.push({fingerprint, at: now});
		if (broken.length > maxBroken) {
			broken.shift();
		}

		this.#broken.delete(endpoint);
		this.#broken.set(endpoint, broken);
		dropOldest(this.#broken, maxEndpoints);
		return false;
	}

	/** Records that an endpoint is down; returns the fingerprints of the requests in flight when it crashed, once. */
	takeCrashed(endpoint: string, now: number): string[] {
		this.#downAt.delete(endpoint);
		this.#downAt.set(endpoint, now);
		dropOldest(this.#downAt, maxEndpoints);
		const broken = this.#broken.get(endpoint) ?? [];
		this.#broken.delete(endpoint);
		return [...new Set(broken.filter(({at}) => now - at <= evidenceMs).map(({fingerprint}) => fingerprint))];
	}
}
