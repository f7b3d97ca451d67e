/**
 * Links to other hosts that make calls to the store for this one while the store does not serve it.
 *
 * Links are opened only then, to two hosts at a time; at the size designed for nobody can keep links to all. A host that can't
 * help says so at once, and is left for another.
 */
import {randomUUID} from 'node:crypto';
import {PlatformError} from '@wasabiusher/backends';
import {
	LinkClient, type LinkKeys, type Message, type StoreAnswer, type StoreWork,
} from '@wasabiusher/link';
import {RepeatedFailures, type Log, type Random} from '@wasabiusher/shared';

/** Hosts that are asked at a time: one may be as lost as this one. */
const maxLinks = 2;

/** Time for a link to come up before another host is tried, in milliseconds; hosts are milliseconds away. */
const openMs = 500;

/**
 * Least time between two rounds of opening links, in milliseconds; doubled with each round up to the longest. Where the store turns a third of
 * the hosts away, one of the first few others can help; while it serves nobody all hosts look for help.
 */
const firstRoundMs = 200;
const longestRoundMs = 1000;

/** Longest wait for an answer beyond what the store was asked to wait, in milliseconds: that of a slow store. */
const answerMs = 1500;

/** Time for which a host that could not help is not asked, in milliseconds. */
const restMs = 1000;

export type PeerLinksSettings = {
	/** Name of this host. */
	host: string;
	random: Random;
	log: Log;
	/** Addresses of hosts that may be alive, `ip:port`. */
	listPeers(): string[];
	/** The key that hosts prove to each other; undefined until it is known. */
	findKey(): string | undefined;
};

type PendingCall = {timer: NodeJS.Timeout; resolve(answer: StoreAnswer): void};

/** One link and the calls that wait for its answers. */
class PeerLink {
	restsUntil = Number.NEGATIVE_INFINITY;
	readonly address: string;
	readonly openedAt = performance.now();
	readonly #client: LinkClient;
	readonly #pending = new Map<string, PendingCall>();

	constructor(address: string, {host, random}: PeerLinksSettings, keys: LinkKeys) {
		this.address = address;
		this.#client = new LinkClient({
			address,
			identity: {name: host, keys},
			random,
			onUp() {
				// Calls look for links that are up.
			},
			onDown: () => {
				this.#failAll('the link was lost');
			},
			onMessage: message => {
				this.#take(message);
			},
		});
	}

	get isUsable(): boolean {
		return this.#client.isUp && performance.now() >= this.restsUntil;
	}

	/** Whether it is not up though it had the time. */
	get hasFailed(): boolean {
		return !this.#client.isUp && performance.now() - this.openedAt > openMs;
	}

	async call(work: StoreWork, waitMs: number): Promise<StoreAnswer> {
		const call = randomUUID();
		return new Promise<StoreAnswer>(resolve => {
			const timer = setTimeout(() => {
				this.#settle(call, {outcome: 'failed', code: 'unknown', reason: `${this.address} has not answered`});
			}, waitMs + answerMs);
			this.#pending.set(call, {resolve, timer});
			if (!this.#client.send({kind: 'store-call', call, work})) {
				this.#settle(call, {outcome: 'failed', code: 'unavailable', reason: `${this.address} is not linked`});
			}
		});
	}

	close(): void {
		this.#client.close();
		this.#failAll('the link was closed');
	}

	#take(message: Message): void {
		if (message.kind === 'store-answer') {
			this.#settle(message.call, message.answer);
		}
	}

	#settle(call: string, answer: StoreAnswer): void {
		const pending = this.#pending.get(call);
		if (!pending) {
			return;
		}

		this.#pending.delete(call);
		clearTimeout(pending.timer);
		if (answer.outcome === 'failed' && answer.code === 'unavailable') {
			this.restsUntil = performance.now() + restMs;
		}

		pending.resolve(answer);
	}

	/** What was sent may have been done. */
	#failAll(reason: string): void {
		for (const call of this.#pending.keys()) {
			this.#settle(call, {outcome: 'failed', code: 'unknown', reason});
		}
	}
}

/** The links of this host. */
export class PeerLinks {
	readonly #settings: PeerLinksSettings;
	#links: PeerLink[] = [];
	#roundAt = Number.NEGATIVE_INFINITY;
	#roundMs = firstRoundMs;
	/** Each host that is asked is one more sign that the store does not serve this one. */
	readonly #asked: RepeatedFailures;

	constructor(settings: PeerLinksSettings) {
		this.#settings = settings;
		this.#asked = new RepeatedFailures({log: settings.log, event: 'peer_asked', overEvent: 'peers_left'});
	}

	/** Whether a call can be made now. */
	get isUsable(): boolean {
		return this.#links.some(({isUsable}) => isUsable);
	}

	/** Opens links as far as they are missing; to be called while the store does not serve this host. */
	open(): void {
		const {listPeers, findKey, random} = this.#settings;
		const key = findKey();
		const now = performance.now();
		if (key === undefined || now - this.#roundAt < this.#roundMs) {
			return;
		}

		const isFirst = !Number.isFinite(this.#roundAt);
		this.#roundMs = isFirst ? firstRoundMs : Math.min(longestRoundMs, 2 * this.#roundMs);
		this.#roundAt = now;
		for (const link of this.#links.filter(({hasFailed, restsUntil}) => hasFailed || now < restsUntil)) {
			this.#close(link);
		}

		const linked = new Set(this.#links.map(({address}) => address));
		const free = listPeers().filter(address => !linked.has(address));
		while (this.#links.length < maxLinks && free.length > 0) {
			const [address] = free.splice(Math.floor(random.next() * free.length), 1);
			this.#asked.record({peer: address});
			this.#links.push(new PeerLink(address!, this.#settings, [key]));
		}
	}

	/** Ends all links. */
	close(): void {
		for (const link of this.#links) {
			link.close();
		}

		this.#links = [];
		this.#asked.recover();
		this.#roundAt = Number.NEGATIVE_INFINITY;
	}

	/** Has a call to the store made by another host; throws `PlatformError` if there is none. */
	async call(work: StoreWork, waitMs = 0): Promise<StoreAnswer> {
		const link = this.#links.find(({isUsable}) => isUsable);
		if (!link) {
			throw new PlatformError('unavailable', 'no other host is linked; nothing was sent');
		}

		return link.call(work, waitMs);
	}

	#close(link: PeerLink): void {
		link.close();
		this.#links = this.#links.filter(other => other !== link);
	}
}
