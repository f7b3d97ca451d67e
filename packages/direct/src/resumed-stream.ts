/**
 * Resumes a caller's streamed answer at another endpoint when its run breaks off.
 *
 * Load pattern: an endpoint crashes or is cut off while callers read its streams. Without resumption the caller would have to repeat the request and find
 * its position; with it the caller sees only a pause. Only complete events are passed on, so that a truncated event is never joined with the next run's data.
 */
import {Buffer} from 'node:buffer';
import {PlatformError, type ServingStream} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';

/** Maximum size of an incomplete event, in bytes; typical events have some hundred to some thousand. */
const maxEventBytes = 1_048_576;

/** Separator between events. */
const boundary = '\n\n';

const idPattern = /^id: ?(?<id>\d+)\r?$/mv;

export type StreamResumption = {
	/** Id of the caller's request, for logs. */
	request: string;
	log: Log;
	/** Reopens the stream after an event; resolves to undefined if no endpoint can resume it. */
	reopen(after: number | undefined): Promise<ServingStream | undefined>;
};

/** Splits a stream into complete events. */
class EventSplitter {
	/** Id of the last complete event; undefined before the first one. */
	lastId: number | undefined;
	#rest = '';

	/**
	 * Adds a chunk; returns the events that are complete now.
	 *
	 * @throws {PlatformError} if an incomplete event exceeds the maximum size
	 */
	push(chunk: Uint8Array): string {
		// Latin-1 maps each byte to one character, so that a multi-byte character split between chunks stays intact.
		this.#rest += Buffer.from(chunk).toString('latin1');
		const end = this.#rest.lastIndexOf(boundary);
		if (end === -1) {
			if (this.#rest.length > maxEventBytes) {
				throw new PlatformError('invalid', `an incomplete event exceeds ${maxEventBytes} bytes`);
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

	/** Returns and clears the data after the last complete event. */
	flush(): string {
		const rest = this.#rest;
		this.#rest = '';
		return rest;
	}
}

/**
 * Yields the complete events of a stream, and resumes it at another endpoint when it breaks off.
 *
 * @param after - id of the last event that the caller already has; undefined if it has none
 * @throws the error that broke the stream, if no endpoint can resume it
 */
export async function * resumeStream(first: ServingStream, {request, log, reopen}: StreamResumption, after?: number): AsyncIterable<Uint8Array> {
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

			// A stream without a length may have broken off; a resumed run shows whether events are missing.
			failure = new PlatformError('unknown', 'the stream ended without a length or a final chunk that shows it is complete');
		} catch (error) {
			failure = error;
		}

		splitter.flush();
		log.info('stream_resumed', {request, after: splitter.lastId, reason: describeError(failure)});
		// Each run resumes where the previous one broke off.
		// eslint-disable-next-line no-await-in-loop
		const next = await reopen(splitter.lastId);
		if (!next) {
			throw failure;
		}

		stream = next;
	}
}
