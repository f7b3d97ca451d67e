/**
 * What can go wrong in an agent itself.
 */
import {LayerError} from '@wasabiusher/shared';

/**
 * - `floor-unknown`: the highest fence of the endpoint could not be read or kept in the store, so no order is carried out
 * - `busy`: runs that an order would cut off did not end in time
 * - `not-in-force`: the engine took an order but does not report it to be in force
 */
export type AgentErrorCode = 'floor-unknown' | 'busy' | 'not-in-force';

/** An error of an agent. */
export class AgentError extends LayerError<AgentErrorCode> {
	override readonly name = 'AgentError';
}
