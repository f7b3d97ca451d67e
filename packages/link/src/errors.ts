/**
 * What can go wrong on a link.
 */
import {LayerError} from '@wasabiusher/shared';

/**
 * - `unauthorized`: the peer does not hold a valid key
 * - `protocol`: the peer speaks another version, or sent what it must not
 * - `unknown-kind`: a message of a kind that this version does not know
 * - `malformed`: a message could not be decoded or does not match its schema
 * - `too-large`: a message exceeds the size limit
 * - `silent`: nothing was heard for too long
 * - `slow-reader`: the peer reads so slowly that what waits for it exceeds the limit
 * - `closed`: the socket was closed or failed
 */
export type LinkErrorCode = 'unauthorized' | 'protocol' | 'unknown-kind' | 'malformed' | 'too-large' | 'silent' | 'slow-reader' | 'closed';

/** An error of the link layer. */
export class LinkError extends LayerError<LinkErrorCode> {
	override readonly name = 'LinkError';
}
