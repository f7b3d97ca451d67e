/**
 * Waits for a slow reader of a stream.
 */
import {once} from 'node:events';
import type {Writable} from 'node:stream';

/**
 * Resolves when the write buffer of a response has drained, or its reader has disconnected.
 *
 * Removes its listeners: a stream of thousands of events to a slow reader waits thousands of times.
 */
export async function waitUntilWritable(response: Writable): Promise<void> {
	const isOver = new AbortController();
	const {signal} = isOver;
	try {
		await Promise.race([once(response, 'drain', {signal}), once(response, 'close', {signal})]);
	} finally {
		isOver.abort();
	}
}
