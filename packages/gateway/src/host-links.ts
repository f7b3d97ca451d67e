/**
 * Links of this host to the coordinators of contended slots.
 *
 * Load pattern: for some seconds of each step a host sends several hundred slot demands a second to a dozen coordinators, then none. At the designed
 * system size no host can keep links to all others, and opening a link takes too long for a waiting request; so links are opened when
 * slots become contended, kept while they are used, and limited in number.
 */
import {
	LinkClient, type LinkKeys, type Message,
} from '@wasabiusher/link';
import type {Log, Random} from '@wasabiusher/shared';

/** Maximum number of links: the coordinators of all endpoints that one host uses in a step. */
const maxLinks = 32;

/** Time after which an unused link is closed, in milliseconds: the time between two steps of a trainer. */
const idleTimeoutMs = 10_000;

/** Shorter than the defaults, so that a frozen coordinator is detected quickly. */
const heartbeatLimits = {heartbeatMs: 1000, missedHeartbeats: 2, handshakeMs: 1000};

export type HostLinksSettings = {
	/** Name of this host. */
	host: string;
	random: Random;
	log: Log;
	/** Returns the key by which hosts authenticate to each other; undefined until it is known. */
	findKey(): string | undefined;
	onMessage(message: Message): void;
	/** Called when a link comes up. */
	onUp(): void;
};

/** Time for a link to come up before it counts as down, in milliseconds. Requests wait for it, and round trips between hosts take milliseconds. */
const connectTimeoutMs = 150;

type OpenLink = {client: LinkClient; usedAt: number; /** Time at which it was opened or last went down. */ downAt: number};

/** Links by address. */
export class HostLinks {
	/** Links opened, messages sent, and links not opened because of the limit, a missing key or `close`. */
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

	/** Whether a link to the address is up, is being opened, or can be opened. */
	isUsable(address: string): boolean {
		const link = this.#links.get(address);
		if (!link) {
			return this.#links.size < maxLinks && this.#settings.findKey() !== undefined;
		}

		return link.client.isUp || performance.now() - link.downAt < connectTimeoutMs;
	}

	/** Sends a message. Returns false if the link is not up; a missing link is then opened. */
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

	/** Closes idle links. To be called periodically. */
	sweep(): void {
		const now = performance.now();
		for (const [address, {client, usedAt}] of this.#links) {
			if (now - usedAt > idleTimeoutMs) {
				client.close();
				this.#links.delete(address);
			}
		}
	}

	/** Closes all links and opens no more. */
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
			address, identity: {name: host, keys}, random, limits: heartbeatLimits, onMessage,
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
