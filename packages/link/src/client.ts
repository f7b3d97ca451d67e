/**
 * The opening end of a link: dials, and dials again whenever the link is lost.
 */
import {WebSocket} from 'ws';
import type {Random} from '@wasabiusher/shared';
import {maxMessageBytes} from './codec.js';
import {LinkError} from './errors.js';
import {offerHandshake, type Identity} from './handshake.js';
import {Inbox} from './inbox.js';
import {Link} from './link.js';
import type {Message} from './messages.js';
import {linkPath} from './server.js';

/** First wait before dialling again, in milliseconds; doubled up to the greatest. */
const firstRedialMs = 100;

/** Greatest wait, in milliseconds; a host that comes back is in use within seconds. */
const maxRedialMs = 2000;

export type LinkClientOptions = {
	/** `ip:port` of the accepting end. */
	address: string;
	identity: Identity;
	/** Spreads redials, so that many processes do not dial at once. */
	random: Random;
	onUp(peer: string): void;
	onDown(error?: LinkError): void;
	onMessage(message: Message): void;
};

/** Keeps one link open until it is closed on purpose. */
export class LinkClient {
	readonly #options: LinkClientOptions;
	#link: Link | undefined;
	#socket: WebSocket | undefined;
	#timer: NodeJS.Timeout | undefined;
	#redialMs = firstRedialMs;
	#isClosed = false;

	constructor(options: LinkClientOptions) {
		this.#options = options;
		void this.#dial();
	}

	get isUp(): boolean {
		return this.#link !== undefined;
	}

	/** Sends if the link is up; false if it is not. */
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

	async #dial(): Promise<void> {
		const {address, identity, onUp, onDown, onMessage} = this.#options;
		const socket = new WebSocket(`ws://${address}${linkPath}`, {maxPayload: maxMessageBytes, perMessageDeflate: false});
		const inbox = new Inbox(socket);
		this.#socket = socket;
		try {
			const peer = await offerHandshake(socket, inbox, identity);
			this.#redialMs = firstRedialMs;
			const link = new Link(socket, inbox, peer, {
				onMessage,
				onClose: error => {
					this.#link = undefined;
					onDown(error);
					this.#redialLater();
				},
			});
			this.#link = link;
			onUp(peer);
			link.start();
		} catch (error) {
			socket.terminate();
			onDown(error instanceof LinkError ? error : new LinkError('protocol', String(error), error));
			this.#redialLater();
		}
	}

	#redialLater(): void {
		if (this.#isClosed) {
			return;
		}

		const waitMs = this.#redialMs * (0.5 + this.#options.random.next());
		this.#redialMs = Math.min(maxRedialMs, this.#redialMs * 2);
		this.#timer = setTimeout(() => {
			void this.#dial();
		}, waitMs);
	}
}
