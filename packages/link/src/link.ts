/**
 * One established link: typed messages, heartbeats, detection of silence and a bound
 * on what waits for a slow reader.
 */
import type {WebSocket} from 'ws';
import {checkMessage, encodeMessage, unpackFrame} from './codec.js';
import {LinkError} from './errors.js';
import type {Inbox} from './inbox.js';
import {defaultLinkLimits, type LinkLimits} from './limits.js';
import type {Message} from './messages.js';
import {Outbox} from './outbox.js';

/** Status of a connection whose end goes away (RFC 6455, section 7.4.1). */
const goingAway = 1001;

/** What the owner of a link hears of it. */
export type LinkListener = {
	onMessage(message: Message): void;
	/** Called once; `error` tells why, if it was not closed on purpose. */
	onClose(error?: LinkError): void;
	/** A message of an unknown kind came from a newer peer and was dropped. */
	onUnknown?(error: LinkError): void;
};

/** What a link is made of. */
export type LinkParts = {
	socket: WebSocket;
	/** Of the same socket; what it holds already is delivered once `start` is called. */
	inbox: Inbox;
	/** The proven name of the other end. */
	peer: string;
	listener: LinkListener;
	limits?: Partial<LinkLimits>;
};

/** A link over a socket whose handshake is done. */
export class Link {
	/** Name of the process at the other end, as it has proved it. */
	readonly peer: string;
	readonly #socket: WebSocket;
	readonly #inbox: Inbox;
	readonly #listener: LinkListener;
	readonly #limits: LinkLimits;
	readonly #outbox: Outbox;
	readonly #timer: NodeJS.Timeout;
	#lastHeardAt = performance.now();
	#isClosed = false;

	constructor({
		socket, inbox, peer, listener, limits,
	}: LinkParts) {
		this.peer = peer;
		this.#socket = socket;
		this.#inbox = inbox;
		this.#listener = listener;
		this.#limits = {...defaultLinkLimits, ...limits};
		this.#outbox = new Outbox(frame => {
			socket.send(frame);
		});
		this.#timer = setInterval(() => {
			this.#beat();
		}, this.#limits.heartbeatMs);
		socket.on('close', code => {
			// A peer that goes away in order is no failure.
			this.close(code === goingAway ? undefined : new LinkError('closed', `closed by ${peer}`));
		});
		socket.on('error', error => {
			this.close(new LinkError('closed', error.message, error));
		});
	}

	/** Begins to deliver messages; called when the owner is ready for them. */
	start(): void {
		// It may have closed between its handshake and now, when nobody listened.
		if (this.#socket.readyState !== this.#socket.OPEN) {
			this.close(new LinkError('closed', `closed by ${this.peer}`));
			return;
		}

		this.#inbox.connect(data => {
			this.#receive(data);
		});
	}

	/** Bytes accepted by `send` and not yet written to the network. */
	get bufferedBytes(): number {
		return this.#outbox.bytes + this.#socket.bufferedAmount;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/**
	 * Sends a message; silently dropped on a closed link, whose owner has been told.
	 * Throws `LinkError` (`too-large`), which leaves the link as it is.
	 */
	send(message: Message): void {
		if (this.#isClosed) {
			return;
		}

		this.#outbox.push(encodeMessage(message));
		const {maxBufferedBytes} = this.#limits;
		if (this.bufferedBytes > maxBufferedBytes) {
			this.close(new LinkError('slow-reader', `${this.bufferedBytes} bytes wait for ${this.peer}, expected at most ${maxBufferedBytes}`));
		}
	}

	/** Closes at once; a link that has gone silent would never finish a closing handshake. */
	close(error?: LinkError): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		clearInterval(this.#timer);
		this.#outbox.clear();
		this.#socket.terminate();
		this.#listener.onClose(error);
	}

	/** Closes once all that was sent has arrived, or after some seconds; resolves when it is closed. */
	async end(): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		this.#outbox.flush();
		const closed = new Promise<void>(resolve => {
			this.#socket.once('close', () => {
				resolve();
			});
		});
		const timer = setTimeout(() => {
			this.close();
		}, this.#limits.endMs);
		this.#socket.close(goingAway);
		await closed;
		clearTimeout(timer);
	}

	#beat(): void {
		const {heartbeatMs, missedHeartbeats} = this.#limits;
		const silentMs = performance.now() - this.#lastHeardAt;
		if (silentMs > heartbeatMs * missedHeartbeats) {
			this.close(new LinkError('silent', `nothing heard from ${this.peer} for ${Math.round(silentMs)} ms`));
			return;
		}

		this.send({kind: 'ping', sentAt: performance.now()});
	}

	#receive(frame: Uint8Array): void {
		this.#lastHeardAt = performance.now();
		try {
			for (const value of unpackFrame(frame)) {
				this.#receiveValue(value);
			}
		} catch (error) {
			// What was missed is asked for again on the next link.
			this.close(error instanceof LinkError ? error : new LinkError('protocol', String(error), error));
		}
	}

	#receiveValue(value: unknown): void {
		const message = this.#check(value);
		if (!message || this.#isClosed) {
			return;
		}

		// Both ends beat, so a beat needs no answer: that it was heard is all it is for.
		if (message.kind !== 'ping') {
			this.#listener.onMessage(message);
		}
	}

	/** A newer peer may send kinds that were added since; what is malformed is a fault. */
	#check(value: unknown): Message | undefined {
		try {
			return checkMessage(value);
		} catch (error) {
			if (error instanceof LinkError && error.code === 'unknown-kind') {
				this.#listener.onUnknown?.(error);
				return undefined;
			}

			throw error;
		}
	}
}
