/**
 * Errors of calls to the platform and to endpoints.
 */
import {LayerError} from '@wasabiusher/shared';

/**
 * - `unavailable`: the call certainly had no effect
 * - `unknown`: the response was lost; the call may have had its effect
 * - `conflict`: a condition of the write was not met; no effect
 * - `limited`: rejected by the rate limit of the service; no effect
 * - `fenced`: the order had an outdated fencing token; no effect
 * - `refused`: the endpoint rejected the request before it ran
 * - `missing`: the named thing does not exist; no effect
 * - `invalid`: the response does not match its schema
 */
export type PlatformErrorCode = 'unavailable' | 'unknown' | 'conflict' | 'limited' | 'fenced' | 'refused' | 'missing' | 'invalid';

/** An error of the platform layer; `code` tells whether the call may have had its effect. */
export class PlatformError extends LayerError<PlatformErrorCode> {
	override readonly name = 'PlatformError';
}
