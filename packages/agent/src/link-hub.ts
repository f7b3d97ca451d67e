/**
 * The links of an agent to its entries, by the entry's name.
 */
import type {
	Link, LinkError, LinkListener, Message,
} from '@wasabiusher/link';

export type LinkHubListener = {
	/** An entry is linked, newly or again; it may be sent to. */
	onUp(peer: string): void;
	/** An entry is no longer linked. */
	onDown(peer: string): void;
	onMessage(link: Link, message: Message): void;
	/** A link was lost, or a message on it was not understood. */
	onError(peer: string, error: LinkError): void;
};

/** One link an entry: a newer one replaces the older, which may not have noticed yet that it is lost. */
export class LinkHub {
	readonly #links = new Map<string, Link>();
	readonly #listener: LinkHubListener;

	constructor(listener: LinkHubListener) {
		this.#listener = listener;
	}

	get size(): number {
		return this.#links.size;
	}

	/** Bytes that wait for slow readers. */
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

	/** False if the entry has no link at present. */
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
