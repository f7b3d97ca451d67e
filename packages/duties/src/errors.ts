/** What can go wrong with duties. */
import {LayerError} from '@wasabiusher/shared';

/**
 * - `unavailable`: the store or the platform can't be asked now; what was written may last or not
 * - `invalid`: a row is not what this system writes
 */
export type DutyErrorCode = 'unavailable' | 'invalid';

/** An error of the layer of duties. */
export class DutyError extends LayerError<DutyErrorCode> {
	override readonly name = 'DutyError';
}
