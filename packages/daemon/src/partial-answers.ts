/**
 * Closes connections on which an answer is incomplete so that the client can tell.
 *
 * An answer without a length ends with its connection. A client takes an orderly end for the end of the answer, so only a reset shows that the
 * rest is missing.
 */
import {STATUS_CODES, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Time between the last bytes of a broken answer and the reset, in milliseconds: many round trips. Clients that find both at once may lose the bytes, or,
 * where they use libuv as Node.js does, report an orderly end.
 */
export const resetDelayMs = 50;

/** Whether an answer has begun and its end has not been sent. */
export function isPartlySent(response: ServerResponse): boolean {
	return response.headersSent && !response.writableFinished;
}

/** Resets a connection if one of its answers is incomplete; returns whether it did. */
export function resetIfPartial(socket: Socket, responses: readonly ServerResponse[]): boolean {
	const isPartial = !socket.destroyed && responses.some(response => isPartlySent(response));
	if (isPartial) {
		socket.resetAndDestroy();
	}

	return isPartial;
}

/** Closes a connection, with a reset if one of its answers is incomplete. */
export function closeConnection(socket: Socket, responses: readonly ServerResponse[]): void {
	if (!resetIfPartial(socket, responses)) {
		socket.destroy();
	}
}

/** Statuses for requests that can't be parsed, by the code of the error. */
const errorStatuses: ReadonlyMap<string | undefined, number> = new Map([
	['ERR_HTTP_REQUEST_TIMEOUT', 408],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
	['HPE_HEADER_OVERFLOW', 431],
]);

const malformedStatus = 400;

/** Answers a request that can't be parsed and closes its connection, as Node.js does without a listener for such errors. */
export function refuseUnparsed(socket: Socket, {code}: NodeJS.ErrnoException, responses: readonly ServerResponse[]): void {
	if (responses.some(response => response.headersSent)) {
		closeConnection(socket, responses);
		return;
	}

	if (socket.writable) {
		const status = errorStatuses.get(code) ?? malformedStatus;
		socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
	}

	socket.destroySoon();
}
