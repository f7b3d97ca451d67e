/**
 * Links between entries: each entry keeps one to the entries that gather its claims, and gatherers accept them.
 *
 * They stand on the callers' address, and open only to who proves a link key.
 */
import type {Server} from 'node:http';
import {
	LinkClient, LinkError, LinkServer, type Identity, type Link, type Message, type MessageOf,
} from '@wasabiusher/link';
import type {Member} from '@wasabiusher/backends';
import type {Log, Random} from '@wasabiusher/shared';

/** Messages between entries; all others are dropped. */
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

type Dialled = {address: string; client: LinkClient};

/** Links to and from other entries, by name. */
export class EntryPeers {
	readonly #settings: EntryPeersSettings;
	readonly #dialled = new Map<string, Dialled>();
	readonly #accepted = new Map<string, Link>();
	readonly #server: LinkServer;

	/** @param server - where links of other entries are accepted */
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

	/** Whether all links that are wanted are up. */
	get isLinked(): boolean {
		return [...this.#dialled.values()].every(({client}) => client.isUp);
	}

	/** Keeps links to the entries named, and to no others. */
	follow(names: readonly string[], members: readonly Member[]): void {
		const wanted = members.filter(({id, role}) => role === 'entry' && names.includes(id) && id !== this.#settings.identity.name);
		for (const {id, address} of wanted) {
			this.#dial(id, address);
		}

		for (const [id, {client}] of this.#dialled) {
			if (!wanted.some(member => member.id === id)) {
				client.close();
				this.#dialled.delete(id);
				this.#settings.onDown(id);
			}
		}
	}

	/** False if there is no link at present, or the message can't be sent on it. */
	send(entry: string, message: Message): boolean {
		try {
			if (this.#dialled.get(entry)?.client.send(message)) {
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

	/** Accepts no more, and ends what was accepted once all answers under way have arrived. */
	async endAccepted(): Promise<void> {
		await this.#server.end();
	}

	stop(): void {
		this.#server.close();
		for (const {client} of this.#dialled.values()) {
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
		const known = this.#dialled.get(entry);
		if (known?.address === address) {
			return;
		}

		known?.client.close();
		const {identity, random, onDown} = this.#settings;
		this.#dialled.set(entry, {
			address,
			client: new LinkClient({
				address,
				identity,
				random,
				onUp() {
					// Rows go there from the next one on.
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
