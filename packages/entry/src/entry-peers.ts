/**
 * Links between entries: each entry connects to its gatherers, the entries that commit claims for others.
 *
 * Gatherers accept the links on the callers' address; a peer must prove that it has a link key.
 */
import type {Server} from 'node:http';
import {
	LinkClient, LinkError, LinkServer, type Identity, type Link, type Message, type MessageOf,
} from '@wasabiusher/link';
import type {Member} from '@wasabiusher/backends';
import type {Log, Random} from '@wasabiusher/shared';

/** Messages exchanged between entries; other kinds are ignored. */
export type PeerMessage = MessageOf<'commit' | 'committed'>;

const peerKinds: ReadonlySet<Message['kind']> = new Set(['commit', 'committed']);

function isPeerMessage(message: Message): message is PeerMessage {
	return peerKinds.has(message.kind);
}

export type EntryPeersSettings = {
	identity: Identity;
	random: Random;
	log: Log;
	onMessage(entry: string, message: PeerMessage): void;
	onDown(entry: string): void;
};

type OutgoingLink = {address: string; client: LinkClient};

/** Outgoing and accepted links by name of the other entry. */
export class EntryPeers {
	readonly #settings: EntryPeersSettings;
	readonly #outgoing = new Map<string, OutgoingLink>();
	readonly #accepted = new Map<string, Link>();
	readonly #server: LinkServer;

	/** @param server - accepts links from other entries */
	constructor(server: Server, settings: EntryPeersSettings) {
		this.#settings = settings;
		const {identity, log} = settings;
		this.#server = new LinkServer(server, {
			identity,
			onLink: link => this.#accept(link),
			onReject(error) {
				log.warn('entry_link_refused', {reason: error.message});
			},
		});
	}

	/** Whether all outgoing links are up. */
	get isLinked(): boolean {
		return [...this.#outgoing.values()].every(({client}) => client.isUp);
	}

	/** Opens links to the named entries and closes all others. */
	follow(names: readonly string[], members: readonly Member[]): void {
		const wanted = members.filter(({id, role}) => role === 'entry' && names.includes(id) && id !== this.#settings.identity.name);
		for (const {id, address} of wanted) {
			this.#dial(id, address);
		}

		for (const [id, {client}] of this.#outgoing) {
			if (!wanted.some(member => member.id === id)) {
				client.close();
				this.#outgoing.delete(id);
				this.#settings.onDown(id);
			}
		}
	}

	/** Sends a message to an entry; returns false if there is no link or the message cannot be sent on it. */
	send(entry: string, message: Message): boolean {
		try {
			if (this.#outgoing.get(entry)?.client.send(message)) {
				return true;
			}

			const link = this.#accepted.get(entry);
			link?.send(message);
			return link !== undefined;
		} catch (error) {
			if (!(error instanceof LinkError)) {
				throw error;
			}

			this.#settings.log.warn('message_not_sent', {entry, kind: message.kind, reason: error.message});
			return false;
		}
	}

	/** Accepts no new links, and ends the accepted ones once all replies in flight have arrived. */
	async endAccepted(): Promise<void> {
		await this.#server.end();
	}

	stop(): void {
		this.#server.close();
		for (const {client} of this.#outgoing.values()) {
			client.close();
		}
	}

	#accept(link: Link) {
		this.#accepted.get(link.peer)?.close();
		this.#accepted.set(link.peer, link);
		return {
			onMessage: (message: Message) => {
				this.#receive(link.peer, message);
			},
			onClose: () => {
				if (this.#accepted.get(link.peer) === link) {
					this.#accepted.delete(link.peer);
				}
			},
		};
	}

	#dial(entry: string, address: string): void {
		const known = this.#outgoing.get(entry);
		if (known?.address === address) {
			return;
		}

		known?.client.close();
		const {identity, random, onDown} = this.#settings;
		this.#outgoing.set(entry, {
			address,
			client: new LinkClient({
				address,
				identity,
				random,
				onUp() {
					// Nothing to do: the next commit uses the link.
				},
				onDown() {
					onDown(entry);
				},
				onMessage: message => {
					this.#receive(entry, message);
				},
			}),
		});
	}

	#receive(entry: string, message: Message): void {
		if (isPeerMessage(message)) {
			this.#settings.onMessage(entry, message);
		}
	}
}
