/**
 * Encoding of messages: msgpackr, checked by schema on arrival.
 */
import {Packr} from 'msgpackr';
import {LinkError} from './errors.js';
import {messageKindsSchema, type Message} from './messages.js';

/**
 * Greatest encoded message, in bytes. A request body of 8 MiB (the entry's limit)
 * and its envelope fit.
 */
export const maxMessageBytes = 9 * 1024 * 1024;

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

/** Decodes and checks a message; throws `LinkError` (`malformed` or `too-large`). */
export function decodeMessage(bytes: Uint8Array): Message {
	if (bytes.length > maxMessageBytes) {
		throw new LinkError('too-large', `message has ${bytes.length} bytes, expected at most ${maxMessageBytes}`);
	}

	let value: unknown;
	try {
		value = packr.unpack(bytes);
	} catch (error) {
		throw new LinkError('malformed', 'message can not be decoded', error);
	}

	const parsed = messageKindsSchema.safeParse(value);
	if (!parsed.success) {
		const issue = parsed.error.issues[0]!;
		throw new LinkError('malformed', `message field ${issue.path.join('.')}: ${issue.message}`);
	}

	return parsed.data;
}
