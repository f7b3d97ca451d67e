/**
 * What can go wrong towards the platform and the endpoints.
 */
import {LayerError} from '@wasabiusher/shared';

/**
 * - `unavailable`: not done, and known not to be done
 * - `unknown`: the answer was lost; it may have been done
 * - `conflict`: a condition of the write did not hold; not done
 * - `limited`: the service asked for fewer calls; not done
 * - `fenced`: an order carried an older fencing number; not done
 * - `refused`: the endpoint refused before running anything
 * - `missing`: there is nothing of that name; not done
 * - `invalid`: the answer does not have the expected shape
 */
export type PlatformErrorCode = 'unavailable' | 'unknown' | 'conflict' | 'limited' | 'fenced' | 'refused' | 'missing' | 'invalid';

/** An error of the platform layer; `code` tells whether the effect may have happened. */
export class PlatformError extends LayerError<PlatformErrorCode> {
	override readonly name = 'PlatformError';
}
