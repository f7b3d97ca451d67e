/**
 * The network between entries and agents: messages in order, with a delay, over links that can be cut or go silent.
 */
import {decodeMessage, encodeMessage, type Message} from '@wasabiusher/link';

/** One-way delay, in milliseconds. */
const delayMs = 2;

/** Time until a link that was lost is up again, if it can be, in milliseconds. */
const redialMs = 200;

/** Time until both ends take a silent link for lost, in milliseconds: three heartbeats of a second, and the one under way. */
const silenceMs = 4000;

/** An end of links. */
export type Peer = {
	readonly name: string;
	attach(peer: string): void;
	detach(peer: string): void;
	receive(from: string, message: Message): void;
};

type LinkState = {
	entry: Peer;
	agent: Peer;
	isUp: boolean;
	/** Messages vanish, and neither end knows. */
	isSilent: boolean;
	/** The link can not be replaced while this holds. */
	isParted: boolean;
	/** Messages to vanish, one by one, though the link works. */
	toLose: number;
	/** Messages to come twice. */
	toRepeat: number;
	/** Counts up with each replacement; what was sent on an earlier one never arrives. */
	generation: number;
};

/** All links. */
export class Wire {
	readonly #links = new Map<string, LinkState>();

	connect(entry: Peer, agent: Peer): void {
		const link = {
			entry, agent, isUp: false, isSilent: false, isParted: false, toLose: 0, toRepeat: 0, generation: 0,
		};
		this.#links.set(formatLink(entry.name, agent.name), link);
		this.#raise(link);
	}

	/** Sends from an entry to an agent; false if there is no link. */
	sendToAgent(entry: string, agent: string, message: Message): boolean {
		const link = this.#links.get(formatLink(entry, agent));
		return this.#send(link, message, () => link!.agent, entry);
	}

	sendToEntry(agent: string, entry: string, message: Message): boolean {
		const link = this.#links.get(formatLink(entry, agent));
		return this.#send(link, message, () => link!.entry, agent);
	}

	/** Both ends see the link go; it is replaced soon. */
	cut(name: string): void {
		for (const link of this.#listOf(name)) {
			this.#lower(link);
			this.#raiseLater(link);
		}
	}

	/** What is sent vanishes; heartbeats find out, and a new link works. */
	silence(name: string): void {
		for (const link of this.#listOf(name)) {
			link.isSilent = true;
			setTimeout(() => {
				this.#lower(link);
				link.isSilent = false;
				this.#raiseLater(link);
			}, silenceMs);
		}
	}

	/** No link works for a while; both ends find out by silence. */
	part(name: string, forMs: number): void {
		for (const link of this.#listOf(name)) {
			link.isParted = true;
			link.isSilent = true;
			setTimeout(() => {
				this.#lower(link);
				link.isSilent = false;
			}, silenceMs);
			setTimeout(() => {
				link.isParted = false;
				this.#raiseLater(link);
			}, Math.max(forMs, silenceMs + redialMs));
		}
	}

	/** The next messages on each link vanish, or come twice: what the sequence numbers are for. */
	disturb(name: string, {lost = 0, repeated = 0}: {lost?: number; repeated?: number}): void {
		for (const link of this.#listOf(name)) {
			link.toLose += lost;
			link.toRepeat += repeated;
		}
	}

	/** A process is gone: its links close, and its peers see it at once, as a closed socket tells. */
	remove(name: string): void {
		for (const [key, link] of this.#links) {
			if (link.entry.name === name || link.agent.name === name) {
				this.#lower(link, name);
				this.#links.delete(key);
			}
		}
	}

	#listOf(name: string): LinkState[] {
		return [...this.#links.values()].filter(({entry, agent}) => entry.name === name || agent.name === name);
	}

	#send(link: LinkState | undefined, message: Message, receiver: () => Peer, from: string): boolean {
		if (!link?.isUp) {
			return false;
		}

		if (link.isSilent || link.toLose > 0) {
			link.toLose -= Number(!link.isSilent);
			return true;
		}

		// Through the codec, so that what arrives is what a real link would deliver.
		const bytes = encodeMessage(message);
		const {generation} = link;
		const times = link.toRepeat > 0 ? 2 : 1;
		link.toRepeat -= Number(link.toRepeat > 0);
		for (let time = 1; time <= times; time += 1) {
			setTimeout(() => {
				if (link.isUp && !link.isSilent && link.generation === generation) {
					receiver().receive(from, decodeMessage(bytes));
				}
			}, delayMs * time);
		}

		return true;
	}

	#raise(link: LinkState): void {
		if (link.isUp || link.isParted || !this.#links.has(formatLink(link.entry.name, link.agent.name))) {
			return;
		}

		link.isUp = true;
		link.generation += 1;
		link.agent.attach(link.entry.name);
		link.entry.attach(link.agent.name);
	}

	#raiseLater(link: LinkState): void {
		setTimeout(() => {
			this.#raise(link);
		}, redialMs);
	}

	#lower(link: LinkState, except?: string): void {
		if (!link.isUp) {
			return;
		}

		link.isUp = false;
		if (link.entry.name !== except) {
			link.entry.detach(link.agent.name);
		}

		if (link.agent.name !== except) {
			link.agent.detach(link.entry.name);
		}
	}
}

function formatLink(entry: string, agent: string): string {
	return `${entry} ${agent}`;
}
