/**
 * One established link: typed messages, heartbeats and detection of silence.
 */
import {type Buffer} from 'node:buffer';
import type {WebSocket} from 'ws';
import {decodeMessage, encodeMessage} from './codec.js';
import {LinkError} from './errors.js';
import type {Inbox} from './inbox.js';
import type {Message} from './messages.js';

/** How often a ping is sent, in milliseconds: small beside the deadlines of interactive calls. */
export const heartbeatMs = 1000;

/** Pings without any sign of life after which a link counts as silent; one may be late, three are not. */
export const missedHeartbeats = 3;

/** What the owner of a link hears of it. */
export type LinkListener = {
	onMessage(message: Message): void;
	/** Called once; `error` tells why, if it was not closed on purpose. */
	onClose(error?: LinkError): void;
};

/** A link over a socket whose handshake is done. */
export class Link {
	/** Name of the process at the other end, as it has proved it. */
	readonly peer: string;
	readonly #socket: WebSocket;
	readonly #inbox: Inbox;
	readonly #listener: LinkListener;
	readonly #timer: NodeJS.Timeout;
	#lastHeardAt = performance.now();
	#isClosed = false;

	/** @param inbox - of the same socket; what it holds already is delivered once `start` is called */
	constructor(socket: WebSocket, inbox: Inbox, peer: string, listener: LinkListener) {
		this.peer = peer;
		this.#socket = socket;
		this.#inbox = inbox;
		this.#listener = listener;
		this.#timer = setInterval(() => {
			this.#beat();
		}, heartbeatMs);
		socket.on('close', () => {
			this.close();
		});
		socket.on('error', error => {
			this.close(new LinkError('protocol', error.message, error));
		});
	}

	/** Begins to deliver messages; called when the owner is ready for them. */
	start(): void {
		this.#inbox.connect(data => {
			this.#receive(data);
		});
	}

	/** Bytes accepted by `send` and not yet written to the network. */
	get bufferedBytes(): number {
		return this.#socket.bufferedAmount;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Sends a message; silently dropped on a closed link, whose owner has been told. */
	send(message: Message): void {
		if (!this.#isClosed) {
			this.#socket.send(encodeMessage(message));
		}
	}

	/** Closes at once; a link that has gone silent would never finish a closing handshake. */
	close(error?: LinkError): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		clearInterval(this.#timer);
		this.#socket.terminate();
		this.#listener.onClose(error);
	}

	#beat(): void {
		const silentMs = performance.now() - this.#lastHeardAt;
		if (silentMs > heartbeatMs * missedHeartbeats) {
			this.close(new LinkError('silent', `nothing heard from ${this.peer} for ${Math.round(silentMs)} ms`));
			return;
		}

		this.send({kind: 'ping', sentAt: performance.now()});
	}

	#receive(data: Uint8Array): void {
		if (this.#isClosed) {
			return;
		}

		this.#lastHeardAt = performance.now();
		let message: Message;
		try {
			message = decodeMessage(data);
		} catch (error) {
			this.close(error instanceof LinkError ? error : new LinkError('malformed', String(error), error));
			return;
		}

		if (message.kind === 'ping') {
			this.send({kind: 'pong', sentAt: message.sentAt});
		} else if (message.kind !== 'pong') {
			this.#listener.onMessage(message);
		}
	}
}
