/**
 * The endpoints that an entry has in view: links to their agents, kept as the membership list changes.
 *
 * The list lags and may be unavailable, so it adds and retires, but does not cut: a link
 * is closed only when nothing of this entry is open behind it.
 */
import {
	LinkClient, LinkError, type Identity, type LinkClientOptions, type Message,
} from '@wasabiusher/link';
import type {Member, MembershipList} from '@wasabiusher/backends';
import {describeError, type Log, type Random} from '@wasabiusher/shared';
import type {Dispatcher} from '@wasabiusher/systems';
import {ViewSubset} from './view-subset.js';

/** Shortest time between two readings of the membership list, in milliseconds. */
const minMembershipMs = 1000;

/**
 * Time added to it for each member, in milliseconds: at some 150 bytes a member the list costs 10 KB/s
 * at the most, of the 28 KB/s that a host may spend on control. With today's few tens of hosts it is read
 * each second, with 11,700 every 3 minutes; that an agent leaves is learnt from itself, at once.
 */
export const msPerMember = 15;

/** Part of the time by which readings are spread, so that entries started together do not read together. */
const membershipJitter = 0.2;

/**
 * How long an agent may be missing from the list and still get work, in milliseconds. The
 * list may lose a live host for a while; the agent itself says when it leaves.
 */
const missingMs = 10_000;

/** Longest wait for the first links, in milliseconds; without it the first calls are refused for want of endpoints. */
const firstLinksMs = 1000;

/** How often they are looked at, in milliseconds. */
const lookMs = 10;

export type ViewSettings = {
	identity: Identity;
	dataCentre: string;
	region: string;
	membership: MembershipList;
	random: Random;
	log: Log;
	dispatcher(): Dispatcher;
	onMessage(agent: string, message: Message): void;
	onUp(agent: string): void;
	onDown(agent: string): void;
	/** Hears of each list that was read. */
	onMembers?(members: readonly Member[]): void;
	/** Opens a link; `LinkClient` by default. */
	connect?(options: LinkClientOptions): AgentLink;
};

/** What the view asks of a link. */
export type AgentLink = Pick<LinkClient, 'send' | 'close' | 'isUp'>;

type ViewedAgent = {
	address: string;
	client: AgentLink;
	/** Its link has been up since it was last lost. */
	isLinked: boolean;
	/** Since when it is not wanted, on the monotonic clock in milliseconds; undefined while it is. */
	unwantedSince?: number;
};

function openLink(options: LinkClientOptions): AgentLink {
	return new LinkClient(options);
}

/** Links to agents by name. */
export class View {
	readonly #settings: ViewSettings;
	readonly #subset: ViewSubset;
	readonly #agents = new Map<string, ViewedAgent>();
	#entries: string[] = [];
	#members = 0;
	#isRefreshing = false;
	#isStopped = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(settings: ViewSettings) {
		this.#settings = settings;
		this.#subset = new ViewSubset({name: settings.identity.name, dataCentre: settings.dataCentre, region: settings.region});
	}

	/** Names of the live entries of this data centre, as last listed. */
	get entries(): readonly string[] {
		return this.#entries;
	}

	/** Links that are up, and those that are wanted or still in use. */
	get counts(): {up: number; all: number} {
		const agents = [...this.#agents.values()];
		return {up: agents.filter(({client}) => client.isUp).length, all: agents.length};
	}

	/** Resolves when the agents listed are linked to, or not in time. */
	async start(): Promise<void> {
		await this.refresh();
		await this.#waitForLinks();
		this.#refreshLater();
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
		for (const {client} of this.#agents.values()) {
			client.close();
		}
	}

	/** False if there is no link at present, or the message can't be sent on it. */
	send(agent: string, message: Message): boolean {
		try {
			return this.#agents.get(agent)?.client.send(message) ?? false;
		} catch (error) {
			if (!(error instanceof LinkError)) {
				throw error;
			}

			this.#settings.log.warn('message_not_sent', {agent, kind: message.kind, reason: error.message});
			return false;
		}
	}

	broadcast(message: Message, except?: string): void {
		for (const agent of this.#agents.keys()) {
			if (agent !== except) {
				this.send(agent, message);
			}
		}
	}

	/** Reads the list and follows it; an unavailable list changes nothing. */
	async refresh(): Promise<void> {
		if (this.#isRefreshing) {
			return;
		}

		this.#isRefreshing = true;
		const {membership, log} = this.#settings;
		try {
			const members = await membership.list();
			this.#follow(members);
			this.#settings.onMembers?.(members);
		} catch (error) {
			log.warn('membership_unavailable', {reason: describeError(error)});
		} finally {
			this.#isRefreshing = false;
		}
	}

	async #waitForLinks(): Promise<void> {
		const until = performance.now() + firstLinksMs;
		while (this.counts.up < this.counts.all && performance.now() < until) {
			// Each look waits for the one before.
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				setTimeout(resolve, lookMs);
			});
		}
	}

	#refreshLater(): void {
		if (this.#isStopped) {
			return;
		}

		const periodMs = Math.max(minMembershipMs, this.#members * msPerMember);
		const jitter = 1 + (membershipJitter * (this.#settings.random.next() - 0.5));
		this.#timer = setTimeout(() => {
			void this.#refreshAgain();
		}, periodMs * jitter);
	}

	async #refreshAgain(): Promise<void> {
		await this.refresh();
		this.#refreshLater();
	}

	#follow(members: readonly Member[]): void {
		this.#members = members.length;
		const agents = new Map(members.filter(({role}) => role === 'agent').map(member => [member.id, member]));
		// All gone at once is a fault of the list, not of the hosts.
		if (agents.size === 0 && this.#agents.size > 0) {
			return;
		}

		const {dataCentre} = this.#settings;
		this.#entries = members.filter(member => member.role === 'entry' && member.state === 'live' && member.dataCentre === dataCentre).map(({id}) => id);
		const wanted = this.#subset.choose(members);
		for (const id of wanted) {
			this.#want(agents.get(id)!);
		}

		for (const [id, agent] of this.#agents) {
			if (!wanted.has(id)) {
				this.#unwant(id, agent, agents.get(id));
			}
		}
	}

	#want({id, address, dataCentre}: Member): void {
		const agent = this.#agents.get(id);
		if (!agent) {
			this.#agents.set(id, {address, client: this.#connect(id, address, dataCentre), isLinked: false});
			return;
		}

		if (agent.address !== address) {
			// Replaced under the same name: what was open is asked for there, and answered as not known.
			agent.client.close();
			agent.address = address;
			agent.client = this.#connect(id, address, dataCentre);
		}

		agent.unwantedSince = undefined;
		this.#settings.dispatcher().restore(id);
	}

	#unwant(id: string, agent: ViewedAgent, member: Member | undefined): void {
		const dispatcher = this.#settings.dispatcher();
		const now = performance.now();
		agent.unwantedSince ??= now;
		const isMissing = member === undefined;
		if (isMissing && now - agent.unwantedSince < missingMs) {
			return;
		}

		dispatcher.retire(id);
		if (dispatcher.isIdle(id) || (isMissing && !agent.client.isUp)) {
			agent.client.close();
			this.#agents.delete(id);
			dispatcher.remove(id);
		}
	}

	#connect(agent: string, address: string, dataCentre: string): AgentLink {
		const {identity, random, onMessage, connect = openLink} = this.#settings;
		// What an earlier link of the same agent still says is not heard.
		const client: AgentLink = connect({
			address,
			identity,
			random,
			onUp: () => {
				this.#noteUp(agent, client, dataCentre);
			},
			onDown: error => {
				this.#noteDown(agent, client, error?.message);
			},
			onMessage: message => {
				if (this.#agents.get(agent)?.client === client) {
					onMessage(agent, message);
				}
			},
		});
		return client;
	}

	#noteUp(id: string, client: AgentLink, dataCentre: string): void {
		const agent = this.#agents.get(id);
		if (agent?.client === client) {
			const {dispatcher, onUp} = this.#settings;
			agent.isLinked = true;
			dispatcher().attach(id, dataCentre);
			onUp(id);
		}
	}

	/** A link was lost, or could not be opened, which is tried again and again. */
	#noteDown(id: string, client: AgentLink, reason: string | undefined): void {
		const agent = this.#agents.get(id);
		if (agent?.client !== client) {
			return;
		}

		const {dispatcher, onDown, log} = this.#settings;
		if (!agent.isLinked) {
			log.debug('link_not_opened', {agent: id, reason});
			return;
		}

		agent.isLinked = false;
		dispatcher().detach(id);
		onDown(id);
		log.warn('link_lost', {agent: id, reason});
	}
}
