/**
 * Links of this host to the homes of slots that it needs at present.
 *
 * Load pattern: for some seconds of each step a host asks a dozen homes about slots several hundred times a second in all, then none. Nobody can keep
 * links to all hosts at the size designed for, and a link that must be opened first is of no use to a request; so links are opened when
 * slots become contended, kept while they are used, and bounded in number.
 */
import {
	LinkClient, type LinkKeys, type Message,
} from '@wasabiusher/link';
import type {Log, Random} from '@wasabiusher/shared';

/** Most links at a time: the homes of all endpoints that one host fills in a step. */
const maxLinks = 32;

/** Time after which a link that is not used is closed, in milliseconds: the time from one step of a trainer to its next. */
const idleMs = 10_000;

/** Shorter than the default: a home that is frozen must not be taken for one that answers. */
const linkLimits = {heartbeatMs: 1000, missedHeartbeats: 2, handshakeMs: 1000};

export type HostLinksSettings = {
	/** Name of this host. */
	host: string;
	random: Random;
	log: Log;
	/** The key that hosts prove to each other; undefined until it is known. */
	findKey(): string | undefined;
	onMessage(message: Message): void;
	/** Called when a link has come up. */
	onUp(): void;
};

/** Time for a link to come up before it counts as lost, in milliseconds: hosts are milliseconds away, and requests wait for it. */
const openMs = 150;

type OpenLink = {client: LinkClient; usedAt: number; /** When it was opened, or went down. */ downAt: number};

/** Links by address. */
export class HostLinks {
	/** Links opened, messages sent, and links that were not opened since there were too many. */
	readonly counts = {opened: 0, sent: 0, unopened: 0};
	readonly #settings: HostLinksSettings;
	readonly #links = new Map<string, OpenLink>();
	#isClosed = false;

	constructor(settings: HostLinksSettings) {
		this.#settings = settings;
	}

	/** Links that are open or being opened. */
	get size(): number {
		return this.#links.size;
	}

	/** Whether a link is up or may be in a moment: it is not lost, and can be opened. */
	isUsable(address: string): boolean {
		const link = this.#links.get(address);
		if (!link) {
			return this.#links.size < maxLinks && this.#settings.findKey() !== undefined;
		}

		return link.client.isUp || performance.now() - link.downAt < openMs;
	}

	/** Sends a message; false if the link is not up, which is then being opened. */
	send(address: string, message: Message): boolean {
		const link = this.#links.get(address) ?? this.#open(address);
		if (!link) {
			return false;
		}

		link.usedAt = performance.now();
		const isSent = link.client.send(message);
		this.counts.sent += isSent ? 1 : 0;
		return isSent;
	}

	/** Closes links that are not used; to be called now and then. */
	sweep(): void {
		const now = performance.now();
		for (const [address, {client, usedAt}] of this.#links) {
			if (now - usedAt > idleMs) {
				client.close();
				this.#links.delete(address);
			}
		}
	}

	/** Ends all links. */
	close(): void {
		this.#isClosed = true;
		for (const {client} of this.#links.values()) {
			client.close();
		}

		this.#links.clear();
	}

	#open(address: string): OpenLink | undefined {
		const {
			host, random, log, findKey, onUp, onMessage,
		} = this.#settings;
		const key = findKey();
		if (this.#isClosed || key === undefined || this.#links.size >= maxLinks) {
			this.counts.unopened += 1;
			return undefined;
		}

		const keys: LinkKeys = [key];
		let wasUp = false;
		const client = new LinkClient({
			address, identity: {name: host, keys}, random, limits: linkLimits, onMessage,
			onUp() {
				wasUp = true;
				onUp();
			},
			onDown(error) {
				if (wasUp) {
					wasUp = false;
					link.downAt = performance.now();
				}

				log.debug('host_link_down', {peer: address, reason: error?.message});
			},
		});
		const link = {client, usedAt: performance.now(), downAt: performance.now()};
		this.counts.opened += 1;
		this.#links.set(address, link);
		return link;
	}
}
