/**
 * Tells a crash of an endpoint from a single request that broke.
 *
 * Load pattern: links lose connections and grey endpoints reset a part of their requests, hundreds a minute, while a request that crashes
 * endpoints comes once in a while. A request that broke without an answer is evidence only once its endpoint is seen to be down soon after: it can't be
 * connected to, has started again, or is no longer registered.
 */
import {dropOldest} from '@wasabiusher/shared';

/** How long a broken request waits for its endpoint to be seen down, in milliseconds: a registration that is not renewed vanishes within that. */
const evidenceMs = 6000;

/** Most requests remembered for one endpoint, and endpoints; what broke first is forgotten first. */
const maxBroken = 64;
const maxEndpoints = 1000;

type BrokenRequest = {fingerprint: string; at: number};

/** Requests that broke at endpoints of late. */
export class CrashEvidence {
	/** By endpoint. */
	readonly #broken = new Map<string, BrokenRequest[]>();

	/** Notes that a request broke without an answer, and may have run. */
	noteBroken(endpoint: string, fingerprint: string, now: number): void {
		const broken = this.#broken.get(endpoint) ?? [];
		broken.push({fingerprint, at: now});
		if (broken.length > maxBroken) {
			broken.shift();
		}

		this.#broken.delete(endpoint);
		this.#broken.set(endpoint, broken);
		dropOldest(this.#broken, maxEndpoints);
	}

	/** Notes that an endpoint is down; returns what was in flight when it crashed, once. */
	takeDown(endpoint: string, now: number): string[] {
		const broken = this.#broken.get(endpoint);
		if (!broken) {
			return [];
		}

		this.#broken.delete(endpoint);
		return [...new Set(broken.filter(({at}) => now - at <= evidenceMs).map(({fingerprint}) => fingerprint))];
	}
}
