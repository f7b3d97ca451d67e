/**
 * The client side of a link: connects, and reconnects with backoff whenever the link is lost.
 */
import {WebSocket} from 'ws';
import type {Random} from '@wasabiusher/shared';
import {maxFrameBytes} from './codec.js';
import {LinkError} from './errors.js';
import {offerHandshake, type Identity} from './handshake.js';
import {Inbox} from './inbox.js';
import {defaultLinkLimits, type LinkLimits} from './limits.js';
import {Link} from './link.js';
import type {Message} from './messages.js';
import {linkPath} from './server.js';

export type LinkClientOptions = {
	/** `ip:port` of the server. */
	address: string;
	identity: Identity;
	/** Adds jitter to reconnects, so that many processes do not connect at the same time. */
	random: Random;
	limits?: Partial<LinkLimits>;
	onUp(peer: string): void;
	onDown(error?: LinkError): void;
	onMessage(message: Message): void;
	/** Called when a message of an unknown kind was received and dropped. */
	onUnknown?(error: LinkError): void;
};

/** Keeps one link open until `close` is called. */
export class LinkClient {
	readonly #options: LinkClientOptions;
	#link: Link | undefined;
	#socket: WebSocket | undefined;
	#timer: NodeJS.Timeout | undefined;
	readonly #limits: LinkLimits;
	#redialMs: number;
	#isClosed = false;

	constructor(options: LinkClientOptions) {
		this.#options = options;
		this.#limits = {...defaultLinkLimits, ...options.limits};
		this.#redialMs = this.#limits.firstRedialMs;
		void this.#dial();
	}

	get isUp(): boolean {
		return this.#link !== undefined;
	}

	/** Sends the message if the link is up; returns whether it is. */
	send(message: Message): boolean {
		this.#link?.send(message);
		return this.#link !== undefined;
	}

	close(): void {
		this.#isClosed = true;
		clearTimeout(this.#timer);
		this.#link?.close();
		this.#socket?.terminate();
	}

	/** Never rejects: an address that can't be connected to is treated as a link that is down. */
	async #dial(): Promise<void> {
		const {address, identity} = this.#options;
		try {
			const socket = new WebSocket(`ws://${address}${linkPath}`, {maxPayload: maxFrameBytes, perMessageDeflate: false});
			this.#socket = socket;
			const inbox = new Inbox(socket);
			const peer = await offerHandshake(socket, inbox, identity, this.#limits.handshakeMs);
			if (!this.#isClosed) {
				this.#open(socket, inbox, peer);
			}
		} catch (error) {
			this.#socket?.terminate();
			this.#fail(error instanceof LinkError ? error : new LinkError('protocol', String(error), error));
		}
	}

	#open(socket: WebSocket, inbox: Inbox, peer: string): void {
		const {onUp, onMessage, onUnknown} = this.#options;
		const upAt = performance.now();
		const onClose = (error?: LinkError) => {
			this.#link = undefined;
			// The backoff is only reset by a link that lasted, so that links that fail at once do not cause reconnects without a pause.
			if (performance.now() - upAt >= this.#limits.maxRedialMs) {
				this.#redialMs = this.#limits.firstRedialMs;
			}

			this.#fail(error);
		};

		const link = new Link({
			socket, inbox, peer, listener: {onMessage, onUnknown, onClose}, limits: this.#limits,
		});
		this.#link = link;
		onUp(peer);
		link.start();
	}

	#fail(error?: LinkError): void {
		this.#redialLater();
		this.#options.onDown(error);
	}

	#redialLater(): void {
		if (this.#isClosed) {
			return;
		}

		const waitMs = this.#redialMs * (0.5 + this.#options.random.next());
		this.#redialMs = Math.min(this.#limits.maxRedialMs, this.#redialMs * 2);
		this.#timer = setTimeout(() => {
			void this.#dial();
		}, waitMs);
	}
}
