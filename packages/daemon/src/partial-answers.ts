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

/** Closes a connection, with a reset if one of its answers is incomplete. */
export function closeConnection(socket: Socket, responses: Iterable<ServerResponse>): void {
	if (!socket.destroyed && [...responses].some(response => isPartlySent(response))) {
		socket.resetAndDestroy();
	} else {
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
export function refuseUnparsed(socket: Socket, {code}: NodeJS.ErrnoException, responses: Iterable<ServerResponse>): void {
	const open = [...responses];
	if (open.some(response => response.headersSent)) {
		closeConnection(socket, open);
		return;
	}

	if (socket.writable) {
		const status = errorStatuses.get(code) ?? malformedStatus;
		socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
	}

	socket.destroySoon();
}
