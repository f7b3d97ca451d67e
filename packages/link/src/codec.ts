/**
 * Encoding of messages: msgpackr, checked by schema on arrival.
 *
 * A frame carries one message or several after one another, so that what is sent in
 * the same turn of the event loop costs one write to the network.
 */
import {Packr} from 'msgpackr';
import {LinkError} from './errors.js';
import {isMessageKind, messageKindsSchema, type Message} from './messages.js';

/**
 * Greatest encoded message, in bytes. A request body of 8 MiB (the entry's limit)
 * and its envelope fit.
 */
export const maxMessageBytes = 9 * 1024 * 1024;

/** Size at which a frame is sent without waiting for more messages, in bytes: a few writes of a socket. */
export const fullFrameBytes = 64 * 1024;

/** Greatest frame, in bytes: one that was almost full and then took the greatest message. */
export const maxFrameBytes = fullFrameBytes + maxMessageBytes;

// Plain maps, not shared record structures: any peer decodes any message alone, in any order.
const packr = new Packr({useRecords: false});

/** Encodes a message; throws `LinkError` (`too-large`). */
export function encodeMessage(message: Message): Uint8Array {
	const bytes = packr.pack(message);
	if (bytes.length > maxMessageBytes) {
		throw new LinkError('too-large', `message ${message.kind} has ${bytes.length} bytes, expected at most ${maxMessageBytes}`);
	}

	return bytes;
}

/** Decodes and checks a frame of exactly one message; throws `LinkError`. */
export function decodeMessage(frame: Uint8Array): Message {
	const values = unpackFrame(frame);
	if (values.length !== 1) {
		throw new LinkError('malformed', `frame has ${values.length} messages, expected one`);
	}

	return checkMessage(values[0]);
}

/** Splits a frame into values that `checkMessage` makes messages of; throws `LinkError` (`malformed` or `too-large`). */
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
		throw new LinkError('malformed', 'frame can not be decoded', error);
	}

	return values;
}

/** Checks a decoded value; throws `LinkError` (`unknown-kind` or `malformed`). */
export function checkMessage(value: unknown): Message {
	const parsed = messageKindsSchema.safeParse(value);
	if (parsed.success) {
		return parsed.data;
	}

	const kind = findKind(value);
	if (kind !== undefined && !isMessageKind(kind)) {
		throw new LinkError('unknown-kind', `message has kind ${kind.slice(0, 40)}, which this version does not know`);
	}

	const issue = parsed.error.issues[0]!;
	throw new LinkError('malformed', `message ${kind ?? 'without a kind'}, field ${issue.path.join('.')}: ${issue.message}`);
}

function findKind(value: unknown): string | undefined {
	const kind: unknown = typeof value === 'object' && value !== null && 'kind' in value ? value.kind : undefined;
	return typeof kind === 'string' ? kind : undefined;
}
