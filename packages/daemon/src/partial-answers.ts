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

/** Whether an answer has begun and its end is not known yet, so that it would be cut even if all that waits is sent. */
function isUnfinished(response: ServerResponse): boolean {
	return response.headersSent && !response.writableEnded;
}

/** Closes a connection at once, with a reset if a part of an answer is lost with it. */
export function closeConnection(socket: Socket, responses: readonly ServerResponse[]): void {
	if (!socket.destroyed && responses.some(response => isPartlySent(response))) {
		socket.resetAndDestroy();
	} else {
		socket.destroy();
	}
}

/** Resets a connection that is about to end in order, once it has sent what waits, if that would cut an answer; returns whether it did. */
export function resetIfUnfinished(socket: Socket, responses: readonly ServerResponse[]): boolean {
	const isCut = !socket.destroyed && responses.some(response => isUnfinished(response));
	if (isCut) {
		socket.resetAndDestroy();
	}

	return isCut;
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
	if (resetIfUnfinished(socket, responses)) {
		return;
	}

	if (socket.writable && !responses.some(response => response.headersSent)) {
		const status = errorStatuses.get(code) ?? malformedStatus;
		socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
	}

	socket.destroySoon();
}
