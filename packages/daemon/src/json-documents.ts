/**
 * Parses large JSON documents one at a time, with a bound on the memory that each takes.
 *
 * Load pattern: documents of legal size that are nested a million levels deep, or hold millions of values, take many times their size while they
 * are parsed, and block the process for seconds. Their structure is therefore measured first, in slices between which other requests are served.
 */
import {Buffer} from 'node:buffer';
import {setImmediate as waitForOthers} from 'node:timers/promises';
import PQueue from 'p-queue';
import {HttpError} from './http-error.js';
import {JsonMeasure} from './json-measure.js';
import type {IncomingBody} from './request-bodies.js';

/** Documents up to this size are parsed at once, in bytes; measuring them would take as long. */
const smallDocumentBytes = 65_536;

/** Bytes that are measured before others are served; takes about a millisecond. */
const sliceBytes = 262_144;

/** Deepest nesting of a document. */
const maxDepth = 64;

/** Memory of a parsed value beside its text, in bytes: an array or an object and its place in the one around it. */
const valueBytes = 96;

/** Parses documents in the order of their arrival. */
export class JsonDocuments {
	readonly #queue = new PQueue({concurrency: 1});
	readonly #maxBytes: number;

	/** @param maxBytes - memory that a document may take while it is parsed, in bytes */
	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** Documents that wait or are parsed. */
	get size(): number {
		return this.#queue.size + this.#queue.pending;
	}

	/**
	 * Reads a body and parses it.
	 *
	 * @param decode - decodes the parsed value, before other documents are parsed
	 * @throws {HttpError} `malformed` if it is no JSON or nested too deeply, `no-room` if there is no memory to parse it; and as the body does
	 */
	async read<Content>(body: IncomingBody, decode: (value: unknown) => Content): Promise<Content> {
		const segments = await body.readSegments();
		const length = segments.reduce((sum, segment) => sum + segment.length, 0);
		if (length <= smallDocumentBytes) {
			return decode(parse(segments));
		}

		return this.#queue.add(async () => {
			await this.#reserve(body, segments, length);
			const text = decodeText(segments);
			body.dropContent();
			body.charge(length);
			return decode(parseText(text));
		});
	}

	/** Charges the memory of the text and of the values, but not yet that of the strings among them. */
	async #reserve(body: IncomingBody, segments: readonly Uint8Array[], length: number): Promise<void> {
		const measure = new JsonMeasure(maxDepth);
		for (const segment of segments) {
			for (let start = 0; start < segment.length; start += sliceBytes) {
				measure.add(segment.subarray(start, start + sliceBytes));
				const neededBytes = length + (valueBytes * measure.values);
				if (measure.isTooDeep) {
					throw new HttpError('malformed', `the body is nested more than ${maxDepth} levels deep`);
				}

				body.ensureCharged(neededBytes, this.#maxBytes - length);
				// eslint-disable-next-line no-await-in-loop
				await waitForOthers();
			}
		}
	}
}

function parse(segments: readonly Uint8Array[]): unknown {
	return parseText(decodeText(segments));
}

function decodeText(segments: readonly Uint8Array[]): string {
	const decoder = new TextDecoder();
	let text = '';
	for (const segment of segments) {
		text += decoder.decode(segment, {stream: true});
	}

	return text + decoder.decode();
}

function parseText(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch (error) {
		throw new HttpError('malformed', 'the body is not JSON', error);
	}
}
