/**
 * Responses that reach clients which are still sending, and that don't look complete if they are broken off.
 *
 * A connection that is closed while bytes of the client are unread is reset, and the reset can overtake the response. So after a response to an
 * incomplete request, a bounded number of bytes is read and dropped for a bounded time before the connection is closed.
 */
import {Buffer} from 'node:buffer';
import {ServerResponse, type IncomingMessage} from 'node:http';
import {closeConnection, isPartlySent, resetDelayMs} from './partial-answers.js';
import {hasBody} from './request-bodies.js';

/** Bytes of the client that are dropped, and the time for which its connection is kept in milliseconds: many round trips. */
const maxDroppedBytes = 262_144;
const lingerMs = 1000;

/** Announced length up to which the rest of a body is read, so that the connection can be used again, in bytes. */
const shortBodyBytes = 65_536;

/** Whether a request still has more to send than is read after its response. */
function isLong(request: IncomingMessage): boolean {
	return hasBody(request) && !request.complete && Number(request.headers['content-length'] ?? Number.POSITIVE_INFINITY) > shortBodyBytes;
}

/** A response after which the rest of a long request is dropped. */
export class LingeringResponse<Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
	/** Whether it was broken off and its connection will be reset. */
	#isBroken = false;

	/** Closes the connection after this response, unless the whole request has been read before it begins. */
	closeUnlessWhole(): void {
		if (!this.shouldKeepAlive || !isLong(this.req)) {
			return;
		}

		this.shouldKeepAlive = false;
		this.req.once('end', () => {
			if (!this.headersSent) {
				this.shouldKeepAlive = true;
			}
		});
	}

	override end(...parameters: unknown[]): this {
		const [content] = parameters;
		const isContent = typeof content === 'string' || content instanceof Uint8Array;
		if (!isLong(this.req) || this.req.destroyed || this.writableEnded) {
			return this.#finish(parameters);
		}

		if (!this.headersSent) {
			this.setHeader('content-length', isContent ? Buffer.byteLength(content) : 0);
		}

		if (isContent) {
			this.write(content);
		} else {
			this.flushHeaders();
		}

		// In chunks, the client sees the end only now.
		if (this.chunkedEncoding) {
			return this.#finish([]);
		}

		this.#linger();
		return this;
	}

	/** Breaks off the response; if it has begun, its connection is reset once the client has had time to receive what was sent. */
	override destroy(error?: Error): this {
		const {socket} = this.req;
		if (!isPartlySent(this) || socket.destroyed) {
			return super.destroy(error);
		}

		if (!this.#isBroken) {
			this.#isBroken = true;
			setTimeout(() => {
				closeConnection(socket, [this]);
			}, resetDelayMs);
		}

		return this;
	}

	#finish(parameters: readonly unknown[]): this {
		// The overloads of `end` take these parameters.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		return super.end(...parameters as Parameters<ServerResponse['end']>);
	}

	#linger(): void {
		const {req} = this;
		const startBytes = req.socket.bytesRead;
		const finish = () => {
			clearTimeout(timer);
			req.off('data', count);
			req.off('end', finish);
			req.off('close', finish);
			this.#finish([]);
		};

		const count = () => {
			if (req.socket.bytesRead - startBytes > maxDroppedBytes) {
				finish();
			}
		};

		const timer = setTimeout(finish, lingerMs);
		req.on('data', count);
		req.once('end', finish);
		req.once('close', finish);
		req.resume();
	}
}
