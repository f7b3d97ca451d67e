/**
 * Manages the links of an agent to entries, by name of the entry.
 */
import type {
	Link, LinkError, LinkListener, Message,
} from '@wasabiusher/link';

export type LinkHubListener = {
	/** Called when an entry is linked for the first time or again; messages can be sent to it. */
	onUp(peer: string): void;
	/** Called when an entry is no longer linked. */
	onDown(peer: string): void;
	onMessage(link: Link, message: Message): void;
	/** Called when a link was lost, or a message on it was not understood. */
	onError(peer: string, error: LinkError): void;
};

/** Keeps one link per entry. A newer link replaces the older one, whose loss may not have been detected yet. */
export class LinkHub {
	readonly #links = new Map<string, Link>();
	readonly #listener: LinkHubListener;

	constructor(listener: LinkHubListener) {
		this.#listener = listener;
	}

	get size(): number {
		return this.#links.size;
	}

	/** Number of bytes buffered for slow readers, on all links. */
	get bufferedBytes(): number {
		return [...this.#links.values()].reduce((sum, {bufferedBytes}) => sum + bufferedBytes, 0);
	}

	accept(link: Link): LinkListener {
		const {peer} = link;
		this.#links.get(peer)?.close();
		this.#links.set(peer, link);
		this.#listener.onUp(peer);
		return {
			onMessage: message => {
				this.#listener.onMessage(link, message);
			},
			onUnknown: error => {
				this.#listener.onError(peer, error);
			},
			onClose: error => {
				this.#drop(link, error);
			},
		};
	}

	/** Sends a message to an entry; returns false if there is no link to it. */
	send(peer: string, message: Message): boolean {
		const link = this.#links.get(peer);
		link?.send(message);
		return link !== undefined;
	}

	broadcast(message: Message, except?: string): void {
		for (const [peer, link] of this.#links) {
			if (peer !== except) {
				link.send(message);
			}
		}
	}

	#drop(link: Link, error?: LinkError): void {
		const {peer} = link;
		if (error) {
			this.#listener.onError(peer, error);
		}

		if (this.#links.get(peer) === link) {
			this.#links.delete(peer);
			this.#listener.onDown(peer);
		}
	}
}
