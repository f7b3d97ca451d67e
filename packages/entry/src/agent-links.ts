/**
 * Keeps links from an entry to the agents of its endpoints, and updates them as the membership list changes.
 *
 * The list lags and may be unavailable, so a change in it opens links and retires endpoints, but does not cut work
 * off: a link is closed only when this entry has no open attempts behind it.
 */
import {
	LinkClient, LinkError, type Identity, type LinkClientOptions, type Message,
} from '@wasabiusher/link';
import type {Member, MembershipList} from '@wasabiusher/backends';
import {describeError, type Log, type Random} from '@wasabiusher/shared';
import type {Dispatcher} from '@wasabiusher/systems';
import {AgentSubset} from './agent-subset.js';

/** Minimum interval between two reads of the membership list, in milliseconds. */
const minRefreshIntervalMs = 1000;

/**
 * Read interval per member of the list, in milliseconds. At about 150 bytes per member, reading the list costs at
 * most 10 KB/s of the 28 KB/s that a host may spend on control. A list of a few tens of hosts is read every second,
 * one of 11,700 every 3 minutes. A leaving agent does not depend on this: it reports that itself, immediately.
 */
export const refreshIntervalPerMemberMs = 15;

/** Jitter as a fraction of the interval, so that entries started together do not read the list at the same time. */
const refreshJitter = 0.2;

/**
 * How long an agent may be missing from the list and still receive work, in milliseconds. The list
 * may lose a live host temporarily; a leaving agent reports that itself.
 */
const missingGraceMs = 10_000;

/** Maximum wait for the first links at start, in milliseconds. Without the wait, the first calls are refused because no endpoint is known. */
const firstLinksTimeoutMs = 1000;

/** Polling interval during that wait, in milliseconds. */
const linkPollMs = 10;

export type AgentLinksSettings = {
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
	/** Called with each list that was read. */
	onMembers?(members: readonly Member[]): void;
	/** Opens a link; `LinkClient` by default. */
	connect?(options: LinkClientOptions): AgentLink;
};

/** The part of a link that `AgentLinks` uses. */
export type AgentLink = Pick<LinkClient, 'send' | 'close' | 'isUp'>;

type LinkedAgent = {
	address: string;
	client: AgentLink;
	/** Whether the link has come up since it was last lost. */
	isLinked: boolean;
	/** Monotonic time in milliseconds since which the agent is not in the subset; undefined while it is. */
	unneededSince?: number;
};

function openLink(options: LinkClientOptions): AgentLink {
	return new LinkClient(options);
}

/** Links to agents, by name of the agent. */
export class AgentLinks {
	readonly #settings: AgentLinksSettings;
	readonly #subset: AgentSubset;
	readonly #agents = new Map<string, LinkedAgent>();
	#entries: string[] = [];
	#members = 0;
	#isRefreshing = false;
	#isStopped = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(settings: AgentLinksSettings) {
		this.#settings = settings;
		this.#subset = new AgentSubset({name: settings.identity.name, dataCentre: settings.dataCentre, region: settings.region});
	}

	/** Names of the live entries of this data centre, from the last list read. */
	get entries(): readonly string[] {
		return this.#entries;
	}

	/** Number of links that are up, and of all links: those in the subset and those that are still in use. */
	get counts(): {up: number; all: number} {
		const agents = [...this.#agents.values()];
		return {up: agents.filter(({client}) => client.isUp).length, all: agents.length};
	}

	/** Resolves when all links are up, or after `firstLinksTimeoutMs`. */
	async start(): Promise<void> {
		await this.refresh();
		await this.#waitForLinks();
		this.#scheduleRefresh();
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
		for (const {client} of this.#agents.values()) {
			client.close();
		}
	}

	/** Sends a message to an agent; returns false if there is no link or the message cannot be sent on it. */
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

	/** Reads the list and applies it; an unavailable list changes nothing. */
	async refresh(): Promise<void> {
		if (this.#isRefreshing) {
			return;
		}

		this.#isRefreshing = true;
		const {membership, log} = this.#settings;
		try {
			const members = await membership.list();
			this.#applyMembership(members);
			this.#settings.onMembers?.(members);
		} catch (error) {
			log.warn('membership_unavailable', {reason: describeError(error)});
		} finally {
			this.#isRefreshing = false;
		}
	}

	async #waitForLinks(): Promise<void> {
		const until = performance.now() + firstLinksTimeoutMs;
		while (this.counts.up < this.counts.all && performance.now() < until) {
			// Polls sequentially.
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				setTimeout(resolve, linkPollMs);
			});
		}
	}

	#scheduleRefresh(): void {
		if (this.#isStopped) {
			return;
		}

		const periodMs = Math.max(minRefreshIntervalMs, this.#members * refreshIntervalPerMemberMs);
		const jitter = 1 + (refreshJitter * (this.#settings.random.next() - 0.5));
		this.#timer = setTimeout(() => {
			void this.#refreshAndReschedule();
		}, periodMs * jitter);
	}

	async #refreshAndReschedule(): Promise<void> {
		await this.refresh();
		this.#scheduleRefresh();
	}

	#applyMembership(members: readonly Member[]): void {
		this.#members = members.length;
		const agents = new Map(members.filter(({role}) => role === 'agent').map(member => [member.id, member]));
		// A list without any agent is treated as a fault of the list, not as the loss of all hosts.
		if (agents.size === 0 && this.#agents.size > 0) {
			return;
		}

		const {dataCentre} = this.#settings;
		this.#entries = members.filter(member => member.role === 'entry' && member.state === 'live' && member.dataCentre === dataCentre).map(({id}) => id);
		const wanted = this.#subset.choose(members);
		for (const id of wanted) {
			this.#keepLink(agents.get(id)!);
		}

		for (const [id, agent] of this.#agents) {
			if (!wanted.has(id)) {
				this.#releaseLink(id, agent, agents.get(id));
			}
		}
	}

	#keepLink({id, address, dataCentre}: Member): void {
		const agent = this.#agents.get(id);
		if (!agent) {
			this.#agents.set(id, {address, client: this.#connect(id, address, dataCentre), isLinked: false});
			return;
		}

		if (agent.address !== address) {
			// The agent was replaced under the same name. Open attempts are resumed there, and it reports them as unknown.
			agent.client.close();
			agent.address = address;
			agent.client = this.#connect(id, address, dataCentre);
		}

		agent.unneededSince = undefined;
		this.#settings.dispatcher().restore(id);
	}

	#releaseLink(id: string, agent: LinkedAgent, member: Member | undefined): void {
		const dispatcher = this.#settings.dispatcher();
		const now = performance.now();
		agent.unneededSince ??= now;
		const isMissing = member === undefined;
		if (isMissing && now - agent.unneededSince < missingGraceMs) {
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
		// Messages and events of an earlier link to the same agent are ignored.
		const client: AgentLink = connect({
			address,
			identity,
			random,
			onUp: () => {
				this.#handleLinkUp(agent, client, dataCentre);
			},
			onDown: error => {
				this.#handleLinkDown(agent, client, error?.message);
			},
			onMessage: message => {
				if (this.#agents.get(agent)?.client === client) {
					onMessage(agent, message);
				}
			},
		});
		return client;
	}

	#handleLinkUp(id: string, client: AgentLink, dataCentre: string): void {
		const agent = this.#agents.get(id);
		if (agent?.client === client) {
			const {dispatcher, onUp} = this.#settings;
			agent.isLinked = true;
			dispatcher().attach(id, dataCentre);
			onUp(id);
		}
	}

	/** Handles a lost link, or a failed attempt to open one; the link itself retries. */
	#handleLinkDown(id: string, client: AgentLink, reason: string | undefined): void {
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
