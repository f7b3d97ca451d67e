/**
 * Reader of an engine's stream of server-sent events.
 */
import {createParser} from 'eventsource-parser';
import {z} from 'zod';
import type {GenerationEvent} from './endpoint.js';
import {PlatformError} from './errors.js';
import {parseAnswer} from './http.js';

/** Data of the terminal event; a stream that ends without it has failed. */
const terminalData = '[DONE]';

/** Maximum length of an incomplete event, in characters; an engine's events have a few hundred. */
const maxEventLength = 1_048_576;

const chunkSchema = z.object({
	choices: z.array(z.object({text: z.string(), finish_reason: z.enum(['stop', 'length']).nullish()})).min(1),
	version: z.int().nonnegative(),
	tokens: z.int().nonnegative(),
});

/**
 * Yields the events of a stream; `finished` only after the terminal event was received.
 *
 * @throws {PlatformError} `unknown` if the stream ends without its terminal event, `invalid` if an event is malformed
 */
export async function * readGeneration(chunks: AsyncIterable<Uint8Array>): AsyncIterable<GenerationEvent> {
	const decoder = new TextDecoder();
	const events = new EventReader();
	let finished: GenerationEvent | undefined;
	for await (const chunk of chunks) {
		for (const data of events.read(decoder.decode(chunk, {stream: true}))) {
			if (data === terminalData) {
				yield finished ?? fail('expected a finish reason before the end of the stream, got none');
				return;
			}

			const {choices: [choice], version, tokens} = parseAnswer(chunkSchema, data, 'stream', 'invalid');
			const {text, finish_reason: reason} = choice!;
			if (tokens > 0) {
				yield {kind: 'part', part: {text, tokens, version}};
			}

			finished = reason ? {kind: 'finished', reason} : finished;
		}
	}

	fail('expected the terminal event [DONE], but the stream ended without it');
}

function fail(message: string): never {
	throw new PlatformError('unknown', message);
}

/** Splits chunks of text into the data of complete events. */
class EventReader {
	readonly #completed: string[] = [];
	#hasOverflowed = false;
	readonly #parser = createParser({
		maxBufferSize: maxEventLength,
		onEvent: ({data}) => {
			this.#completed.push(data);
		},
		onError: ({type}) => {
			this.#hasOverflowed ||= type === 'max-buffer-size-exceeded';
		},
	});

	read(text: string): string[] {
		this.#parser.feed(text);
		if (this.#hasOverflowed) {
			throw new PlatformError('invalid', `an event of the stream exceeds ${maxEventLength} characters`);
		}

		return this.#completed.splice(0);
	}
}
