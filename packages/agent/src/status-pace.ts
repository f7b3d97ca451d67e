/**
 * When entries are told of the endpoint's state: soon after a change, seldom otherwise.
 *
 * Without it an idle agent with 16 links would send 80 messages of 200 bytes a second that say nothing new,
 * more than half of what control may cost a node.
 */
import {isDeepStrictEqual} from 'node:util';
import type {EndpointStatus} from '@wasabiusher/link';

/** Longest time without a message, in milliseconds; entries then know that the state they have is not old. */
const quietMs = 1000;

/** Remembers what was told last. */
export class StatusPace {
	#last: EndpointStatus | undefined;
	#lastAt = Number.NEGATIVE_INFINITY;

	/** Whether to tell this state now; it then counts as told. */
	shouldTell(status: EndpointStatus, now: number): boolean {
		if (now - this.#lastAt < quietMs && isDeepStrictEqual(status, this.#last)) {
			return false;
		}

		this.#last = status;
		this.#lastAt = now;
		return true;
	}
}
