/**
 * Errors of the link layer.
 */
import {LayerError} from '@wasabiusher/shared';

/**
 * - `unauthorized`: the peer did not prove that it has a valid key
 * - `protocol`: the peer uses another protocol version or violated the protocol
 * - `unknown-kind`: a message of a kind that this version does not support
 * - `malformed`: a message could not be decoded or does not match its schema
 * - `too-large`: a message exceeds the size limit
 * - `silent`: nothing was received within the timeout
 * - `slow-reader`: the peer reads so slowly that the unsent data exceeds the limit
 * - `closed`: the socket was closed or failed
 */
export type LinkErrorCode = 'unauthorized' | 'protocol' | 'unknown-kind' | 'malformed' | 'too-large' | 'silent' | 'slow-reader' | 'closed';

/** An error of the link layer. */
export class LinkError extends LayerError<LinkErrorCode> {
	override readonly name = 'LinkError';
}
