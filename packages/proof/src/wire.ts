/**
 * A simulated network between entries and agents: links deliver messages in order after a delay, and can be cut or go silent.
 */
import {decodeMessage, encodeMessage, type Message} from '@wasabiusher/link';

/** One-way delay, in milliseconds. */
const delayMs = 2;

/** Time until a lost link is re-established, unless it is partitioned, in milliseconds. */
const redialMs = 200;

/** Time until both ends treat a silent link as lost, in milliseconds: three heartbeats of one second each, and the one in progress. */
const silenceMs = 4000;

/** A process at one end of a link. */
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
	/** Whether messages are dropped without either end noticing. */
	isSilent: boolean;
	/** Whether the link is partitioned; it can't be re-established meanwhile. */
	isParted: boolean;
	/** Number of messages still to be dropped while the link stays up. */
	toLose: number;
	/** Number of messages still to be delivered twice. */
	toRepeat: number;
	/** Number of times the link was established. Messages from an earlier generation are never delivered. */
	generation: number;
};

/** All links between entries and agents. */
export class Wire {
	readonly #links = new Map<string, LinkState>();

	connect(entry: Peer, agent: Peer): void {
		const link = {
			entry, agent, isUp: false, isSilent: false, isParted: false, toLose: 0, toRepeat: 0, generation: 0,
		};
		this.#links.set(formatLink(entry.name, agent.name), link);
		this.#raise(link);
	}

	/** Sends a message from an entry to an agent; returns false if the link is not up. */
	sendToAgent(entry: string, agent: string, message: Message): boolean {
		const link = this.#links.get(formatLink(entry, agent));
		return this.#send(link, message, () => link!.agent, entry);
	}

	sendToEntry(agent: string, entry: string, message: Message): boolean {
		const link = this.#links.get(formatLink(entry, agent));
		return this.#send(link, message, () => link!.entry, agent);
	}

	/** Closes all links of a process; both ends notice at once, and the links are re-established after `redialMs`. */
	cut(name: string): void {
		for (const link of this.#listOf(name)) {
			this.#lower(link);
			this.#raiseLater(link);
		}
	}

	/** Drops all messages on the links of a process until missed heartbeats reveal it; new links then work. */
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

	/** Partitions a process from all its peers for a while; both ends notice by missed heartbeats. */
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

	/** Drops or repeats the next messages on each link of a process, which sequence numbers must detect. */
	disturb(name: string, {lost = 0, repeated = 0}: {lost?: number; repeated?: number}): void {
		for (const link of this.#listOf(name)) {
			link.toLose += lost;
			link.toRepeat += repeated;
		}
	}

	/** Removes a dead process: its links close, and its peers notice at once, as with a closed socket. */
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

		// The codec makes sure that the receiver gets what a real link would deliver.
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
