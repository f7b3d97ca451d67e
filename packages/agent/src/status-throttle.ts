/**
 * Decides when the status of the endpoint is sent to entries: soon after a change, rarely otherwise.
 *
 * The load of a busy endpoint changes all the time. Without throttling, an agent with 16 links would send 80 messages
 * of 230 bytes per second, and an entry with 88 links would receive 440 per second: three times the budget of a host
 * for control. Changes that decide whether the endpoint can be used at all are sent immediately.
 */
import {isDeepStrictEqual} from 'node:util';
import type {EndpointStatus} from '@wasabiusher/link';

/** Maximum time without a message, in milliseconds, so that entries know that their state is current. */
const maxSilenceMs = 1000;

/** Number of links up to which every change of load is sent; today's deployments have fewer entries than that. */
export const unthrottledLinks = 4;

/** Minimum interval between two messages per link above `unthrottledLinks`, in milliseconds: 2.2 s at 15 links, so that an entry with 88 links receives 9 KB/s. */
export const minIntervalPerLinkMs = 200;

/** Throttles the status messages of one agent by the status that was sent last. */
export class StatusThrottle {
	#last: EndpointStatus | undefined;
	#lastAt = Number.NEGATIVE_INFINITY;

	/**
	 * Returns whether to send this status now; if so, it counts as sent.
	 *
	 * @param links - number of links that the status is sent over
	 * @param now - monotonic time, in milliseconds
	 */
	shouldSend(status: EndpointStatus, links: number, now: number): boolean {
		const elapsedMs = now - this.#lastAt;
		const minIntervalMs = Math.max(0, links - unthrottledLinks) * minIntervalPerLinkMs;
		const isUpdateDue = !isDeepStrictEqual(status, this.#last) && (elapsedMs >= minIntervalMs || affectsEligibility(status, this.#last));
		if (!isUpdateDue && elapsedMs < Math.max(maxSilenceMs, minIntervalMs)) {
			return false;
		}

		this.#last = status;
		this.#lastAt = now;
		return true;
	}
}

/** Whether a change affects which requests the endpoint can serve. */
function affectsEligibility(status: EndpointStatus, last: EndpointStatus | undefined): boolean {
	return status.isHealthy !== last?.isHealthy
		|| status.isLeaving !== last.isLeaving
		|| !isDeepStrictEqual(status.models, last.models);
}
