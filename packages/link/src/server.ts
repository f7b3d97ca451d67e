/**
 * The server side of links.
 */
import type {IncomingMessage, Server} from 'node:http';
import {WebSocketServer, type WebSocket} from 'ws';
import {maxFrameBytes} from './codec.js';
import {LinkError} from './errors.js';
import {acceptHandshake, type Identity} from './handshake.js';
import {Inbox} from './inbox.js';
import {defaultLinkLimits, type LinkLimits} from './limits.js';
import {Link, type LinkListener} from './link.js';

/** URL path of links, on a server that may have other routes. */
export const linkPath = '/link';

export type LinkServerOptions = {
	identity: Identity;
	limits?: Partial<LinkLimits>;
	/** Called with each established link; returns its listener. */
	onLink(link: Link): LinkListener;
	/** Called for each failed handshake, so that it can be counted. */
	onReject(error: LinkError): void;
};

/** Maximum number of bytes that a peer may send before it is authenticated; a hello has about 200. */
const maxHelloBytes = 4096;

/** Maximum number of concurrent handshakes, so that unauthenticated peers can't use up more than their sockets. */
const maxHandshakes = 256;

/** Accepts links on an HTTP server until that server is closed; `close` closes the open links. */
export class LinkServer {
	readonly #sockets: WebSocketServer;
	readonly #options: LinkServerOptions;
	readonly #limits: LinkLimits;
	readonly #links = new Set<Link>();
	#handshakes = 0;

	constructor(server: Server, options: LinkServerOptions) {
		this.#options = options;
		this.#limits = {...defaultLinkLimits, ...options.limits};
		this.#sockets = new WebSocketServer({
			server, path: linkPath, maxPayload: maxFrameBytes, perMessageDeflate: false,
		});
		this.#sockets.on('connection', (socket, request) => {
			void this.#accept(socket, request);
		});
	}

	get links(): ReadonlySet<Link> {
		return this.#links;
	}

	/** Ends the open links once their peers have received all sent messages, then stops accepting links. */
	async end(): Promise<void> {
		const ended = [...this.#links].map(async link => link.end());
		await Promise.all(ended);
		this.close();
	}

	close(): void {
		for (const link of this.#links) {
			link.close();
		}

		for (const socket of this.#sockets.clients) {
			socket.terminate();
		}

		this.#sockets.close();
	}

	async #accept(socket: WebSocket, request: IncomingMessage): Promise<void> {
		const stopCounting = limitBytes(socket, request);
		const inbox = new Inbox(socket);
		this.#handshakes += 1;
		try {
			if (this.#handshakes > maxHandshakes) {
				throw new LinkError('protocol', `expected at most ${maxHandshakes} concurrent handshakes`);
			}

			const peer = await acceptHandshake(socket, inbox, this.#options.identity, this.#limits.handshakeMs);
			this.#open(socket, inbox, peer);
		} catch (error) {
			socket.terminate();
			this.#options.onReject(error instanceof LinkError ? error : new LinkError('protocol', String(error), error));
		} finally {
			stopCounting();
			this.#handshakes -= 1;
		}
	}

	#open(socket: WebSocket, inbox: Inbox, peer: string): void {
		const listeners: LinkListener[] = [];
		const listener: LinkListener = {
			onMessage(message) {
				listeners[0]?.onMessage(message);
			},
			onUnknown(error) {
				listeners[0]?.onUnknown?.(error);
			},
			onClose: error => {
				this.#links.delete(link);
				listeners[0]?.onClose(error);
			},
		};
		const link = new Link({
			socket, inbox, peer, listener, limits: this.#limits,
		});
		this.#links.add(link);
		// `onLink` may send on the link at once, so the link is created before its listener.
		listeners.push(this.#options.onLink(link));
		link.start();
	}
}

/** Terminates the socket if the peer sends more than `maxHelloBytes`; returns a function that removes the limit. */
function limitBytes(socket: WebSocket, {socket: connection}: IncomingMessage): () => void {
	const start = connection.bytesRead;
	const check = () => {
		if (connection.bytesRead - start > maxHelloBytes) {
			socket.terminate();
		}
	};

	connection.on('data', check);
	return () => {
		connection.off('data', check);
	};
}
