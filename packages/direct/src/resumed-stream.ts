/**
 * A caller's streamed answer that goes on at another endpoint when its run breaks off.
 *
 * Load pattern: an endpoint crashes or is cut off in the middle of streams that callers are reading. The caller would have to send
 * the request again and find out where it was; resumed within the same answer it sees a pause. Only whole events are
 * handed on, so that an event that broke off in its middle is not followed by the rest of another one.
 */
import {Buffer} from 'node:buffer';
import {PlatformError, type ServingStream} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';

/** Longest unfinished event, in bytes; events are some hundred to some thousand. */
const maxEventBytes = 1_048_576;

/** What ends an event. */
const boundary = '\n\n';

const idPattern = /^id: ?(?<id>\d+)\r?$/mv;

/** Opens the stream anew after an event; undefined if no endpoint can go on with it. */
export type StreamReopener = (after: number | undefined) => Promise<ServingStream | undefined>;

/** Events of a stream, whole ones only. */
class EventSplitter {
	/** Id of the last whole event; undefined before the first one. */
	lastId: number | undefined;
	#rest = '';

	/** Takes what has come; returns the whole events in it. */
	push(chunk: Uint8Array): string {
		// An event holds text, one byte a character here, so that none is cut in two between chunks.
		this.#rest += Buffer.from(chunk).toString('latin1');
		const end = this.#rest.lastIndexOf(boundary);
		if (end === -1) {
			if (this.#rest.length > maxEventBytes) {
				throw new PlatformError('invalid', `an event has more than ${maxEventBytes} bytes`);
			}

			return '';
		}

		const whole = this.#rest.slice(0, end + boundary.length);
		this.#rest = this.#rest.slice(end + boundary.length);
		for (const event of whole.split(boundary)) {
			const id = idPattern.exec(event)?.groups?.id;
			this.lastId = id === undefined ? this.lastId : Number(id);
		}

		return whole;
	}

	/** What follows the last whole event; forgotten then. */
	flush(): string {
		const rest = this.#rest;
		this.#rest = '';
		return rest;
	}
}

/**
 * Yields whole events of a stream, and goes on elsewhere when it breaks off.
 *
 * @param after - last event that the caller has already; undefined if it has none
 * @throws {PlatformError} what the stream broke off with, if no endpoint can go on
 */
export async function * resumeStream(first: ServingStream, reopen: StreamReopener, log: Log, after?: number): AsyncIterable<Uint8Array> {
	const splitter = new EventSplitter();
	splitter.lastId = after;
	let stream = first;
	for (;;) {
		let failure: unknown;
		try {
			// eslint-disable-next-line no-await-in-loop
			for await (const chunk of stream.body) {
				const whole = splitter.push(chunk);
				if (whole !== '') {
					yield Buffer.from(whole, 'latin1');
				}
			}

			if (stream.isFramed) {
				yield Buffer.from(splitter.flush(), 'latin1');
				return;
			}

			// One without a length may have broken off; a resumed run tells whether something is missing.
			failure = new PlatformError('unknown', 'the stream ended without telling that it was whole');
		} catch (error) {
			failure = error;
		}

		splitter.flush();
		log.info('stream_resumed', {after: splitter.lastId, reason: describeError(failure)});
		// Each run goes on where the one before has broken.
		// eslint-disable-next-line no-await-in-loop
		const next = await reopen(splitter.lastId);
		if (!next) {
			throw failure;
		}

		stream = next;
	}
}
