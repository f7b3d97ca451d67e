/**
 * Encoding of messages with msgpackr; received messages are validated against their schema.
 *
 * A frame holds one or more messages, so that messages sent in the same iteration of the event loop take a single network write.
 */
import {Packr} from 'msgpackr';
import {LinkError} from './errors.js';
import {isMessageKind, messageKindsSchema, type Message} from './messages.js';

/**
 * Maximum size of an encoded message, in bytes. A request body of 8 MiB (the entry's limit) and its envelope fit.
 */
export const maxMessageBytes = 9 * 1024 * 1024;

/** Size from which a frame is sent without waiting for more messages, in bytes; a few socket writes. */
export const fullFrameBytes = 64 * 1024;

/** Maximum size of a frame, in bytes: an almost full frame plus a message of the maximum size. */
export const maxFrameBytes = fullFrameBytes + maxMessageBytes;

// Plain maps instead of shared record structures, so that a peer can decode each message independently of the others.
const packr = new Packr({useRecords: false});

/** Encodes a message; throws `LinkError` (`too-large`). */
export function encodeMessage(message: Message): Uint8Array {
	const bytes = packr.pack(message);
	if (bytes.length > maxMessageBytes) {
		throw new LinkError('too-large', `message ${message.kind} has ${bytes.length} bytes, expected at most ${maxMessageBytes}`);
	}

	return bytes;
}

/** Decodes and validates a frame of exactly one message; throws `LinkError`. */
export function decodeMessage(frame: Uint8Array): Message {
	const values = unpackFrame(frame);
	if (values.length !== 1) {
		throw new LinkError('malformed', `frame has ${values.length} messages, expected one`);
	}

	return checkMessage(values[0]);
}

/** Splits a frame into decoded values, to be validated by `checkMessage`; throws `LinkError` (`malformed` or `too-large`). */
export function unpackFrame(frame: Uint8Array): unknown[] {
	if (frame.length > maxFrameBytes) {
		throw new LinkError('too-large', `frame has ${frame.length} bytes, expected at most ${maxFrameBytes}`);
	}

	const values: unknown[] = [];
	try {
		packr.unpackMultiple(frame, value => {
			values.push(value);
		});
	} catch (error) {
		throw new LinkError('malformed', 'expected a frame of msgpack values, decoding failed', error);
	}

	return values;
}

/** Validates a decoded value; throws `LinkError` (`unknown-kind` or `malformed`). */
export function checkMessage(value: unknown): Message {
	const parsed = messageKindsSchema.safeParse(value);
	if (parsed.success) {
		return parsed.data;
	}

	const kind = findKind(value);
	if (kind !== undefined && !isMessageKind(kind)) {
		throw new LinkError('unknown-kind', `message has kind ${kind.slice(0, 40)}, which this version does not support`);
	}

	const issue = parsed.error.issues[0]!;
	throw new LinkError('malformed', `message ${kind ?? 'without a kind'}, field ${issue.path.join('.')}: ${issue.message}`);
}

function findKind(value: unknown): string | undefined {
	const kind: unknown = typeof value === 'object' && value !== null && 'kind' in value ? value.kind : undefined;
	return typeof kind === 'string' ? kind : undefined;
}
