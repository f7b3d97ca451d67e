/**
 * Holds what arrives on a socket until somebody takes it.
 *
 * Several messages may arrive in one piece of network data; without this, those that
 * follow the last message of a handshake would find no listener and be lost.
 */
import type {WebSocket} from 'ws';
import {LinkError} from './errors.js';

/** Takes one whole message. */
export type Receiver = (data: Uint8Array) => void;

type Waiter = {
	resolve(data: Uint8Array): void;
	reject(error: LinkError): void;
};

/** The messages of one socket, in order. */
export class Inbox {
	#held: Uint8Array[] = [];
	#waiter: Waiter | undefined;
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

	/** The next message; throws `LinkError` if the socket ends or the time passes first. */
	async next(timeoutMs: number): Promise<Uint8Array> {
		const held = this.#held.shift();
		if (held) {
			return held;
		}

		if (this.#error) {
			throw this.#error;
		}

		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				this.#waiter = undefined;
				reject(new LinkError('silent', `nothing heard within ${timeoutMs} ms`));
			}, timeoutMs);
			this.#waiter = {
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

	/** Hands over what is held and all that comes. */
	connect(receiver: Receiver): void {
		this.#receiver = receiver;
		const held = this.#held;
		this.#held = [];
		for (const data of held) {
			receiver(data);
		}
	}

	#accept(data: Uint8Array): void {
		const waiter = this.#waiter;
		this.#waiter = undefined;
		if (this.#receiver) {
			this.#receiver(data);
		} else if (waiter) {
			waiter.resolve(data);
		} else {
			this.#held.push(data);
		}
	}

	#fail(error: LinkError): void {
		this.#error ??= error;
		this.#waiter?.reject(error);
		this.#waiter = undefined;
	}
}

function toBytes(data: unknown): Uint8Array {
	if (data instanceof Uint8Array) {
		return data;
	}

	throw new LinkError('malformed', 'expected one binary message');
}
