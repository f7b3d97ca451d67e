/**
 * The accepting end of links.
 */
import type {Server} from 'node:http';
import {WebSocketServer, type WebSocket} from 'ws';
import {maxMessageBytes} from './codec.js';
import {LinkError} from './errors.js';
import {acceptHandshake, type Identity} from './handshake.js';
import {Inbox} from './inbox.js';
import {Link, type LinkListener} from './link.js';

/** Path of links on a server that may have other routes. */
export const linkPath = '/link';

export type LinkServerOptions = {
	identity: Identity;
	/** Called with each established link; returns who listens to it. */
	onLink(link: Link): LinkListener;
	/** Called with each handshake that failed, to be counted. */
	onReject(error: LinkError): void;
};

/** Accepts links on an HTTP server until that server is closed; `close` ends the open ones. */
export class LinkServer {
	readonly #sockets: WebSocketServer;
	readonly #links = new Set<Link>();

	constructor(server: Server, {identity, onLink, onReject}: LinkServerOptions) {
		this.#sockets = new WebSocketServer({
			server, path: linkPath, maxPayload: maxMessageBytes, perMessageDeflate: false,
		});
		this.#sockets.on('connection', socket => {
			void this.#accept(socket, {identity, onLink, onReject});
		});
	}

	get links(): ReadonlySet<Link> {
		return this.#links;
	}

	close(): void {
		for (const link of this.#links) {
			link.close();
		}

		this.#sockets.close();
	}

	async #accept(socket: WebSocket, {identity, onLink, onReject}: LinkServerOptions): Promise<void> {
		const inbox = new Inbox(socket);
		try {
			const peer = await acceptHandshake(socket, inbox, identity);
			this.#open(socket, inbox, peer, onLink);
		} catch (error) {
			socket.terminate();
			onReject(error instanceof LinkError ? error : new LinkError('protocol', String(error), error));
		}
	}

	#open(socket: WebSocket, inbox: Inbox, peer: string, onLink: LinkServerOptions['onLink']): void {
		const listeners: LinkListener[] = [];
		const link = new Link(socket, inbox, peer, {
			onMessage(message) {
				listeners[0]?.onMessage(message);
			},
			onClose: error => {
				this.#links.delete(link);
				listeners[0]?.onClose(error);
			},
		});
		this.#links.add(link);
		// The link exists before its listener does, which may send on it at once.
		listeners.push(onLink(link));
		link.start();
	}
}
