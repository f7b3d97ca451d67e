/**
 * Errors of the agent itself.
 */
import {LayerError} from '@wasabiusher/shared';

/**
 * - `floor-unknown`: the highest fence of the endpoint could not be read from or written to the store, so the order is not executed
 * - `busy`: running requests that an order would cut off did not end in time
 * - `not-in-force`: the engine accepted an order but does not report it as in force
 */
export type AgentErrorCode = 'floor-unknown' | 'busy' | 'not-in-force';

/** An error of an agent. */
export class AgentError extends LayerError<AgentErrorCode> {
	override readonly name = 'AgentError';
}
