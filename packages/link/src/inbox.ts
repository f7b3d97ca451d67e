/**
 * Buffers the messages of a socket until a receiver is connected.
 *
 * Several messages may arrive in one chunk of network data. Without the buffer, messages that directly follow the last one of the handshake
 * would be lost, because their listener is not attached yet.
 */
import type {WebSocket} from 'ws';
import {LinkError} from './errors.js';

/** Receives one complete frame. */
export type Receiver = (data: Uint8Array) => void;

type PendingRead = {
	resolve(data: Uint8Array): void;
	reject(error: LinkError): void;
};

/** The received frames of one socket, in order. */
export class Inbox {
	#buffered: Uint8Array[] = [];
	#pendingRead: PendingRead | undefined;
	#receiver: Receiver | undefined;
	#error: LinkError | undefined;

	constructor(socket: WebSocket) {
		socket.binaryType = 'nodebuffer';
		socket.on('message', data => {
			this.#accept(toBytes(data));
		});
		socket.on('close', () => {
			this.#fail(new LinkError('closed', 'closed by the peer'));
		});
		socket.on('error', error => {
			this.#fail(new LinkError('closed', error.message, error));
		});
	}

	/** Resolves to the next frame; throws `LinkError` (`closed` or `silent`) if the socket closes or the timeout, in milliseconds, expires first. */
	async next(timeoutMs: number): Promise<Uint8Array> {
		const buffered = this.#buffered.shift();
		if (buffered) {
			return buffered;
		}

		if (this.#error) {
			throw this.#error;
		}

		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				this.#pendingRead = undefined;
				reject(new LinkError('silent', `expected a message within ${timeoutMs} ms, received none`));
			}, timeoutMs);
			this.#pendingRead = {
				resolve(data) {
					clearTimeout(timer);
					resolve(data);
				},
				reject(error) {
					clearTimeout(timer);
					reject(error);
				},
			};
		});
	}

	/** Delivers the buffered frames to the receiver, and all later ones as they arrive. */
	connect(receiver: Receiver): void {
		this.#receiver = receiver;
		const buffered = this.#buffered;
		this.#buffered = [];
		for (const data of buffered) {
			receiver(data);
		}
	}

	#accept(data: Uint8Array): void {
		const pendingRead = this.#pendingRead;
		this.#pendingRead = undefined;
		if (this.#receiver) {
			this.#receiver(data);
		} else if (pendingRead) {
			pendingRead.resolve(data);
		} else {
			this.#buffered.push(data);
		}
	}

	#fail(error: LinkError): void {
		this.#error ??= error;
		this.#pendingRead?.reject(error);
		this.#pendingRead = undefined;
	}
}

function toBytes(data: unknown): Uint8Array {
	if (data instanceof Uint8Array) {
		return data;
	}

	throw new LinkError('malformed', 'expected the data of a WebSocket message as one Uint8Array, got another type');
}
