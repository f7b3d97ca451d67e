/**
 * Relays calls to the store for hosts that the store does not serve at present, and receives slot demands of other hosts.
 */
import {randomUUID} from 'node:crypto';
import type {Server} from 'node:http';
import {
	LinkServer, type Link, type LinkKeys, type Message,
} from '@wasabiusher/link';
import type {Log} from '@wasabiusher/shared';
import type {SlotDemand} from '@wasabiusher/slots';
import type {StoreCircuitBreaker} from './store-circuit-breaker.js';
import {executeStoreWork} from './store-work.js';

/** Maximum calls in flight for one host: the polls of its table followers and some dozens of batch writes. */
const maxPendingCalls = 64;

export type PeerServerSettings = {
	/** Name of this host. */
	host: string;
	/** This host's direct connection to the store; relayed calls are never relayed again. */
	breaker: StoreCircuitBreaker;
	log: Log;
	/** Handles slot demands; undefined if slots are not shared. */
	slotSharing?: {handleDemand(link: Link, demand: SlotDemand): void; removeLink(link: Link): void};
	/** Returns the key by which hosts authenticate to each other; undefined until it is known. */
	findKey(): string | undefined;
};

/** Accepts links from other hosts. */
export class PeerServer {
	readonly #settings: PeerServerSettings;
	readonly #links: LinkServer;

	/** @param server - HTTP server that receives the links; its owner starts and closes it */
	constructor(server: Server, settings: PeerServerSettings) {
		this.#settings = settings;
		const {host, log, findKey} = settings;
		this.#links = new LinkServer(server, {
			// Until this host knows the key, a random one rejects every link.
			identity: {name: host, keys: (): LinkKeys => [findKey() ?? randomUUID()]},
			onLink: link => this.#createLinkListener(link),
			onReject(error) {
				log.info('peer_rejected', {reason: error.message});
			},
		});
	}

	close(): void {
		this.#links.close();
	}

	#createLinkListener(link: Link) {
		let pendingCalls = 0;
		return {
			onMessage: (message: Message) => {
				if (message.kind === 'slot-demand') {
					this.#settings.slotSharing?.handleDemand(link, message.demand);
				}

				if (message.kind !== 'store-call') {
					return;
				}

				pendingCalls += 1;
				void this.#answer(link, message, pendingCalls).finally(() => {
					pendingCalls -= 1;
				});
			},
			onClose: () => {
				this.#settings.slotSharing?.removeLink(link);
				// Calls in flight end by their own timeouts; their answers are dropped.
			},
		};
	}

	async #answer(link: Link, {call, work}: Extract<Message, {kind: 'store-call'}>, pendingCalls: number): Promise<void> {
		const {breaker} = this.#settings;
		if (pendingCalls > maxPendingCalls || breaker.isTripped) {
			const reason = breaker.isTripped ? 'the store does not serve this host either' : 'too many calls in flight for one host';
			link.send({kind: 'store-answer', call, answer: {outcome: 'failed', code: breaker.isTripped ? 'unavailable' : 'limited', reason}});
			return;
		}

		link.send({kind: 'store-answer', call, answer: await executeStoreWork(breaker, work)});
	}
}
