/**
 * Links to other hosts that relay calls to the store while the store does not serve this host.
 *
 * Links are opened only on demand, to two hosts at a time; at the designed system size no host can keep links to all others. A host that can't
 * relay a call answers so at once, and is replaced by another.
 */
import {randomUUID} from 'node:crypto';
import {PlatformError} from '@wasabiusher/backends';
import {
	LinkClient, type LinkKeys, type Message, type StoreAnswer, type StoreWork,
} from '@wasabiusher/link';
import {RepeatedFailures, type Log, type Random} from '@wasabiusher/shared';

/** Maximum number of hosts that are linked at a time; more than one, since a linked host may be cut off from the store as well. */
const maxLinks = 2;

/** Time for a link to come up before another host is tried, in milliseconds; round trips between hosts take milliseconds. */
const connectTimeoutMs = 500;

/**
 * Minimum time between two rounds of opening links, in milliseconds, doubled with each round up to the maximum. If the store refuses a third of
 * the hosts, one of the first few others can relay; if it serves no host, all hosts search for a relay.
 */
const minRoundIntervalMs = 200;
const maxRoundIntervalMs = 1000;

/** Longest wait for an answer beyond the wait requested of the store, in milliseconds; allows for a slow store. */
const answerTimeoutMs = 1500;

/** Time for which a host that could not relay a call gets no further calls, in milliseconds. */
const backoffMs = 1000;

export type PeerLinksSettings = {
	/** Name of this host. */
	host: string;
	random: Random;
	log: Log;
	/** Returns the addresses of hosts that may be alive, `ip:port`. */
	listPeers(): string[];
	/** Returns the key by which hosts authenticate to each other; undefined until it is known. */
	findKey(): string | undefined;
};

type PendingCall = {timer: NodeJS.Timeout; resolve(answer: StoreAnswer): void};

/** One link and the calls in flight on it. */
class PeerLink {
	backoffUntil = Number.NEGATIVE_INFINITY;
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
				// Each call looks for a link that is up.
			},
			onDown: () => {
				this.#failAll('the link went down');
			},
			onMessage: message => {
				this.#handleMessage(message);
			},
		});
	}

	get isUsable(): boolean {
		return this.#client.isUp && performance.now() >= this.backoffUntil;
	}

	/** Whether the link has not come up in time. */
	get hasFailed(): boolean {
		return !this.#client.isUp && performance.now() - this.openedAt > connectTimeoutMs;
	}

	async call(work: StoreWork, waitMs: number): Promise<StoreAnswer> {
		const call = randomUUID();
		return new Promise<StoreAnswer>(resolve => {
			const timer = setTimeout(() => {
				this.#settle(call, {outcome: 'failed', code: 'unknown', reason: `${this.address} did not answer in time`});
			}, waitMs + answerTimeoutMs);
			this.#pending.set(call, {resolve, timer});
			if (!this.#client.send({kind: 'store-call', call, work})) {
				this.#settle(call, {outcome: 'failed', code: 'unavailable', reason: `the link to ${this.address} is not up`});
			}
		});
	}

	close(): void {
		this.#client.close();
		this.#failAll('the link was closed');
	}

	#handleMessage(message: Message): void {
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
			this.backoffUntil = performance.now() + backoffMs;
		}

		pending.resolve(answer);
	}

	/** Fails all calls in flight. Their outcome is unknown, since the store may have executed them. */
	#failAll(reason: string): void {
		for (const call of this.#pending.keys()) {
			this.#settle(call, {outcome: 'failed', code: 'unknown', reason});
		}
	}
}

/** The relay links of this host. */
export class PeerLinks {
	readonly #settings: PeerLinksSettings;
	#links: PeerLink[] = [];
	#lastRoundAt = Number.NEGATIVE_INFINITY;
	#roundIntervalMs = minRoundIntervalMs;
	/** Collapses the log lines of link attempts; each attempt is a further sign that the store does not serve this host. */
	readonly #linkAttempts: RepeatedFailures;

	constructor(settings: PeerLinksSettings) {
		this.#settings = settings;
		this.#linkAttempts = new RepeatedFailures({log: settings.log, event: 'peer_asked', overEvent: 'peers_left'});
	}

	/** Whether a link is up that can relay a call now. */
	get isUsable(): boolean {
		return this.#links.some(({isUsable}) => isUsable);
	}

	/** Opens links up to the maximum and replaces failed ones. To be called while the store does not serve this host. */
	open(): void {
		const {listPeers, findKey, random} = this.#settings;
		const key = findKey();
		const now = performance.now();
		if (key === undefined || now - this.#lastRoundAt < this.#roundIntervalMs) {
			return;
		}

		const isFirstRound = !Number.isFinite(this.#lastRoundAt);
		this.#roundIntervalMs = isFirstRound ? minRoundIntervalMs : Math.min(maxRoundIntervalMs, 2 * this.#roundIntervalMs);
		this.#lastRoundAt = now;
		for (const link of this.#links.filter(({hasFailed, backoffUntil}) => hasFailed || now < backoffUntil)) {
			this.#close(link);
		}

		const linked = new Set(this.#links.map(({address}) => address));
		const free = listPeers().filter(address => !linked.has(address));
		while (this.#links.length < maxLinks && free.length > 0) {
			const [address] = free.splice(Math.floor(random.next() * free.length), 1);
			this.#linkAttempts.record({peer: address});
			this.#links.push(new PeerLink(address!, this.#settings, [key]));
		}
	}

	/** Closes all links. */
	close(): void {
		for (const link of this.#links) {
			link.close();
		}

		this.#links = [];
		this.#linkAttempts.recover();
		this.#lastRoundAt = Number.NEGATIVE_INFINITY;
	}

	/** Relays a store call through another host and returns its answer. Throws `PlatformError` `unavailable` if no link is up. */
	async call(work: StoreWork, waitMs = 0): Promise<StoreAnswer> {
		const link = this.#links.find(({isUsable}) => isUsable);
		if (!link) {
			throw new PlatformError('unavailable', 'no link to another host is up; the call was not sent');
		}

		return link.call(work, waitMs);
	}

	#close(link: PeerLink): void {
		link.close();
		this.#links = this.#links.filter(other => other !== link);
	}
}
