/** Errors of the duties layer. */
import {LayerError} from '@wasabiusher/shared';

/**
 * - `unavailable`: the store or the platform can't be reached; a write may have succeeded or not
 * - `invalid`: a row doesn't match the schema
 */
export type DutyErrorCode = 'unavailable' | 'invalid';

/** An error of the duties layer. */
export class DutyError extends LayerError<DutyErrorCode> {
	override readonly name = 'DutyError';
}
