/**
 * When entries are told of the endpoint's state: soon after a change, seldom otherwise.
 *
 * Load pattern: a busy endpoint's load changes all the time. Without a pace an agent with 16 links
 * would send 80 messages of 230 bytes a second, and an entry with 88 links would hear 440: three times what
 * control may cost a node. What decides whether an endpoint may be used at all is told at once.
 */
import {isDeepStrictEqual} from 'node:util';
import type {EndpointStatus} from '@wasabiusher/link';

/** Longest time without a message, in milliseconds; entries then know that the state they have is not old. */
const quietMs = 1000;

/** Links up to which each change of load is told; deployments of today have fewer entries than that. */
export const fullPaceLinks = 4;

/** Time between two tellings for each link beyond, in milliseconds: at 15 links 2.2 s, so that an entry with 88 hears 9 KB/s. */
export const msPerLink = 200;

/** Remembers what was told last. */
export class StatusPace {
	#last: EndpointStatus | undefined;
	#lastAt = Number.NEGATIVE_INFINITY;

	/**
	 * Whether to tell this state now; it then counts as told.
	 *
	 * @param links - entries to be told
	 */
	shouldTell(status: EndpointStatus, links: number, now: number): boolean {
		const sinceMs = now - this.#lastAt;
		const leastMs = Math.max(0, links - fullPaceLinks) * msPerLink;
		const isNews = !isDeepStrictEqual(status, this.#last) && (sinceMs >= leastMs || isTurn(status, this.#last));
		if (!isNews && sinceMs < Math.max(quietMs, leastMs)) {
			return false;
		}

		this.#last = status;
		this.#lastAt = now;
		return true;
	}
}

/** Whether the endpoint may be used otherwise than before. */
function isTurn(status: EndpointStatus, last: EndpointStatus | undefined): boolean {
	return status.isHealthy !== last?.isHealthy
		|| status.isLeaving !== last.isLeaving
		|| !isDeepStrictEqual(status.models, last.models);
}
