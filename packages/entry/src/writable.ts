/**
 * Waiting for a slow reader.
 */
import {once} from 'node:events';
import type {Writable} from 'node:stream';

/**
 * Resolves when a response takes more, or its reader is gone.
 *
 * No listener is left behind: a stream of thousands of events to a slow reader waits thousands of times.
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
