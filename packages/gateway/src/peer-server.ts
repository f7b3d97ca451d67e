/**
 * Makes calls to the store for hosts that the store does not serve at present.
 */
import {randomUUID} from 'node:crypto';
import type {Server} from 'node:http';
import {
	LinkServer, type Link, type LinkKeys, type Message,
} from '@wasabiusher/link';
import type {Log} from '@wasabiusher/shared';
import type {SlotDemand} from '@wasabiusher/slots';
import type {StoreGate} from './store-gate.js';
import {doStoreWork} from './store-work.js';

/** Most calls of one host at a time: its followers and some dozen writes of batches. */
const maxCalls = 64;

export type PeerServerSettings = {
	/** Name of this host. */
	host: string;
	/** This host's own way to the store; it never asks yet another host. */
	gate: StoreGate;
	log: Log;
	/** Answers demands for slots; undefined if they are not shared. */
	sharing?: {takeDemand(link: Link, demand: SlotDemand): void; forget(link: Link): void};
	/** The key that hosts prove to each other; undefined until it is known. */
	findKey(): string | undefined;
};

/** Accepts links of other hosts. */
export class PeerServer {
	readonly #settings: PeerServerSettings;
	readonly #links: LinkServer;

	/** @param server - the HTTP server on which links come in; its owner listens and closes it */
	constructor(server: Server, settings: PeerServerSettings) {
		this.#settings = settings;
		const {host, log, findKey} = settings;
		this.#links = new LinkServer(server, {
			// Without a key of its own nobody can prove anything to this host.
			identity: {name: host, keys: (): LinkKeys => [findKey() ?? randomUUID()]},
			onLink: link => this.#listen(link),
			onReject(error) {
				log.info('peer_rejected', {reason: error.message});
			},
		});
	}

	close(): void {
		this.#links.close();
	}

	#listen(link: Link) {
		let open = 0;
		return {
			onMessage: (message: Message) => {
				if (message.kind === 'slot-demand') {
					this.#settings.sharing?.takeDemand(link, message.demand);
				}

				if (message.kind !== 'store-call') {
					return;
				}

				open += 1;
				void this.#answer(link, message, open).finally(() => {
					open -= 1;
				});
			},
			onClose: () => {
				this.#settings.sharing?.forget(link);
				// Calls under way end by their own limits; nobody is left to be told.
			},
		};
	}

	async #answer(link: Link, {call, work}: Extract<Message, {kind: 'store-call'}>, open: number): Promise<void> {
		const {gate} = this.#settings;
		if (open > maxCalls || gate.isLost) {
			const reason = gate.isLost ? 'the store does not serve this host either' : 'too many calls at a time';
			link.send({kind: 'store-answer', call, answer: {outcome: 'failed', code: gate.isLost ? 'unavailable' : 'limited', reason}});
			return;
		}

		link.send({kind: 'store-answer', call, answer: await doStoreWork(gate, work)});
	}
}
