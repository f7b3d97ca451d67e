/**
 * What can go wrong on a link.
 */
import {LayerError} from '@wasabiusher/shared';

/**
 * - `unauthorized`: the peer does not hold a valid key
 * - `protocol`: the peer speaks another version, or sent what it must not
 * - `malformed`: a message could not be decoded or does not match its schema
 * - `too-large`: a message exceeds the size limit
 * - `silent`: nothing was heard for too long
 */
export type LinkErrorCode = 'unauthorized' | 'protocol' | 'malformed' | 'too-large' | 'silent';

/** An error of the link layer. */
export class LinkError extends LayerError<LinkErrorCode> {
	override readonly name = 'LinkError';
}
