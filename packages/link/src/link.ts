/**
 * One established link: typed messages, heartbeats, detection of silent peers and a limit on unsent data for slow readers.
 */
import type {WebSocket} from 'ws';
import {checkMessage, encodeMessage, unpackFrame} from './codec.js';
import {LinkError} from './errors.js';
import type {Inbox} from './inbox.js';
import {defaultLinkLimits, type LinkLimits} from './limits.js';
import type {Message} from './messages.js';
import {Outbox} from './outbox.js';

/** WebSocket close code of a peer that is shutting down ("going away", RFC 6455, section 7.4.1). */
const goingAwayCode = 1001;

/** Callbacks of a link. */
export type LinkListener = {
	onMessage(message: Message): void;
	/** Called once; `error` is the reason, undefined if either side closed the link intentionally. */
	onClose(error?: LinkError): void;
	/** Called when a message of an unknown kind, sent by a newer peer, was received and dropped. */
	onUnknown?(error: LinkError): void;
};

/** Arguments to create a `Link`. */
export type LinkParts = {
	socket: WebSocket;
	/** The inbox of the same socket; its buffered messages are delivered when `start` is called. */
	inbox: Inbox;
	/** Authenticated name of the peer. */
	peer: string;
	listener: LinkListener;
	limits?: Partial<LinkLimits>;
};

/** A link over a socket that has completed its handshake. */
export class Link {
	/** Authenticated name of the peer process. */
	readonly peer: string;
	readonly #socket: WebSocket;
	readonly #inbox: Inbox;
	readonly #listener: LinkListener;
	readonly #limits: LinkLimits;
	readonly #outbox: Outbox;
	readonly #timer: NodeJS.Timeout;
	#lastReceivedAt = performance.now();
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
			this.#sendHeartbeat();
		}, this.#limits.heartbeatMs);
		socket.on('close', code => {
			// A graceful shutdown of the peer is not a failure.
			this.close(code === goingAwayCode ? undefined : new LinkError('closed', `closed by ${peer}`));
		});
		socket.on('error', error => {
			this.close(new LinkError('closed', error.message, error));
		});
	}

	/** Starts the delivery of messages; called when the listener is ready for them. */
	start(): void {
		// The socket may have closed after the handshake, before the listener was attached.
		if (this.#socket.readyState !== this.#socket.OPEN) {
			this.close(new LinkError('closed', `closed by ${this.peer}`));
			return;
		}

		this.#inbox.connect(data => {
			this.#receive(data);
		});
	}

	/** Number of bytes accepted by `send` and not yet written to the network. */
	get bufferedBytes(): number {
		return this.#outbox.bytes + this.#socket.bufferedAmount;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/**
	 * Sends a message. On a closed link it is dropped silently, since `onClose` has been called.
	 * Throws `LinkError` (`too-large`); the link stays open then.
	 */
	send(message: Message): void {
		if (this.#isClosed) {
			return;
		}

		this.#outbox.push(encodeMessage(message));
		const {maxBufferedBytes} = this.#limits;
		if (this.bufferedBytes > maxBufferedBytes) {
			this.close(new LinkError('slow-reader', `${this.bufferedBytes} bytes unsent to ${this.peer}, expected at most ${maxBufferedBytes}`));
		}
	}

	/** Closes at once, without the closing handshake, which a silent peer would never complete. */
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

	/** Closes once the peer has received all sent messages, or after `endMs`; resolves when the link is closed. */
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
		this.#socket.close(goingAwayCode);
		await closed;
		clearTimeout(timer);
	}

	#sendHeartbeat(): void {
		const {heartbeatMs, missedHeartbeats} = this.#limits;
		const silentMs = performance.now() - this.#lastReceivedAt;
		if (silentMs > heartbeatMs * missedHeartbeats) {
			this.close(new LinkError('silent', `nothing received from ${this.peer} for ${Math.round(silentMs)} ms`));
			return;
		}

		this.send({kind: 'ping', sentAt: performance.now()});
	}

	#receive(frame: Uint8Array): void {
		this.#lastReceivedAt = performance.now();
		try {
			for (const value of unpackFrame(frame)) {
				this.#receiveValue(value);
			}
		} catch (error) {
			// Missed messages are requested again on the next link.
			this.close(error instanceof LinkError ? error : new LinkError('protocol', String(error), error));
		}
	}

	#receiveValue(value: unknown): void {
		const message = this.#check(value);
		if (!message || this.#isClosed) {
			return;
		}

		// Both sides send heartbeats, so a ping needs no reply: receiving it has updated `#lastReceivedAt`.
		if (message.kind !== 'ping') {
			this.#listener.onMessage(message);
		}
	}

	/** Returns undefined for a message of an unknown kind, which a newer peer may send; throws `LinkError` for a malformed one. */
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
