/**
 * Checks whether an endpoint that left a request unanswered has crashed.
 */
import {PlatformError, type ServingClient} from '@wasabiusher/backends';
import type {EndpointIncarnation} from '@wasabiusher/decisions';
import type {EndpointDirectory} from '@wasabiusher/direct';

/**
 * - `up`: the incarnation answers
 * - `down`: it can't be connected to, or another endpoint has its address
 * - `unknown`: it left the check unanswered, or is not known any more
 */
export type EndpointCondition = 'up' | 'down' | 'unknown';

/** Finds out the condition of an incarnation of an endpoint. Never rejects. */
export async function checkEndpoint(directory: EndpointDirectory, client: ServingClient, {endpoint, bornMs}: EndpointIncarnation): Promise<EndpointCondition> {
	const target = directory.get(endpoint);
	if (!target || target.bornMs !== bornMs) {
		return 'unknown';
	}

	try {
		await client.check(target);
		return 'up';
	} catch (error) {
		return error instanceof PlatformError && error.code === 'unavailable' ? 'down' : 'unknown';
	}
}
