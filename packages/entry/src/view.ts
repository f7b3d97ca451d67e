/**
 * The endpoints that an entry has in view: links to their agents, kept as the membership list changes.
 */
import {LinkClient, type Identity, type Message} from '@wasabiusher/link';
import type {MembershipList} from '@wasabiusher/platform';
import {describeError, type Log, type Random} from '@wasabiusher/shared';
import type {Dispatcher} from '@wasabiusher/systems';

/** How often the membership list is read, in milliseconds. */
const membershipMs = 1000;

export type ViewSettings = {
	identity: Identity;
	membership: MembershipList;
	random: Random;
	log: Log;
	dispatcher(): Dispatcher;
	onMessage(agent: string, message: Message): void;
	onUp(agent: string): void;
};

/** Links to agents by name. */
export class View {
	readonly #settings: ViewSettings;
	readonly #clients = new Map<string, LinkClient>();
	#timer: NodeJS.Timeout | undefined;

	constructor(settings: ViewSettings) {
		this.#settings = settings;
	}

	get agents(): IterableIterator<string> {
		return this.#clients.keys();
	}

	async start(): Promise<void> {
		await this.#refresh();
		this.#timer = setInterval(() => {
			void this.#refresh();
		}, membershipMs);
	}

	stop(): void {
		clearInterval(this.#timer);
		for (const client of this.#clients.values()) {
			client.close();
		}
	}

	send(agent: string, message: Message): boolean {
		return this.#clients.get(agent)?.send(message) ?? false;
	}

	broadcast(message: Message, except?: string): void {
		for (const [agent, client] of this.#clients) {
			if (agent !== except) {
				client.send(message);
			}
		}
	}

	async #refresh(): Promise<void> {
		const {membership, log} = this.#settings;
		try {
			for (const {id, role, address, dataCentre} of await membership.list()) {
				if (role === 'agent' && !this.#clients.has(id)) {
					this.#connect(id, address, dataCentre);
				}
			}
		} catch (error) {
			log.warn('membership_unavailable', {reason: describeError(error)});
		}
	}

	#connect(agent: string, address: string, dataCentre: string): void {
		const {identity, random, log, dispatcher, onMessage, onUp} = this.#settings;
		this.#clients.set(agent, new LinkClient({
			address,
			identity,
			random,
			onUp() {
				dispatcher().attach(agent, dataCentre);
				onUp(agent);
			},
			onDown(error) {
				dispatcher().detach(agent);
				log.warn('link_down', {agent, reason: error?.message});
			},
			onMessage(message) {
				onMessage(agent, message);
			},
		}));
	}
}
