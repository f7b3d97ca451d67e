/**
 * Checks whether an endpoint that left a request unanswered has crashed.
 */
import {PlatformError, type ServingClient} from '@wasabiusher/backends';
import type {EndpointIncarnation} from '@wasabiusher/decisions';
import type {EndpointDirectory} from '@wasabiusher/direct';

/** Whether an incarnation of an endpoint still answers; true while that is unknown. Never rejects. */
export async function isReachable(directory: EndpointDirectory, client: ServingClient, {endpoint, bornMs}: EndpointIncarnation): Promise<boolean> {
	const target = directory.get(endpoint);
	if (!target || target.bornMs !== bornMs) {
		return true;
	}

	try {
		await client.check(target);
		return true;
	} catch (error) {
		return !(error instanceof PlatformError && error.code === 'unavailable');
	}
}
