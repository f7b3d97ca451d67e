/**
 * Sends store calls directly, or through another host while the store does not serve this one.
 *
 * Load pattern: a host is cut off from the store, or refused by it, while callers, trainers and engines still reach it. Without a relay it can
 * read no configuration and commit no result, other hosts take over its batches after 1.7 s and restart them from retained text, and
 * every submission to it must be retried at another host. A relayed write carries the same conditions as a direct one,
 * so the relaying host makes no decisions.
 */
import type {
	ChangePage, CommitReceipt, RowPage, RowRange, RowStore, RowTransaction,
} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';
import type {PeerLinks} from './peer-links.js';
import {probeRange, type StoreCircuitBreaker} from './store-circuit-breaker.js';
import {expectOutcome} from './store-work.js';

/** Interval between probes of the direct connection while it is down, in milliseconds, and its increase per host, since an unresponsive store must bear the probes of all hosts. */
const probeIntervalMs = 150;
const probeIntervalMsPerHost = 0.4;

/** Most probes in flight. A probe that was sent to an unresponsive store waits for its whole timeout and must not delay the next one. */
const maxPendingProbes = 10;

/** Time for which links stay open after the direct connection has recovered, in milliseconds: the longest duration of a relayed call. */
const linkCloseDelayMs = 3500;

export type RoutedStoreSettings = {
	breaker: StoreCircuitBreaker;
	peers: PeerLinks;
	log: Log;
	/** Whether calls may be relayed through other hosts; true by default. */
	isRelaying?: boolean;
	/** Returns the number of known hosts that use the same store; 1 if not given. */
	countHosts?(): number;
};

/** A row store that relays calls through other hosts while the direct connection is down. */
export class RoutedStore implements RowStore {
	readonly #settings: RoutedStoreSettings;
	#probeTimer: NodeJS.Timeout | undefined;
	#closeTimer: NodeJS.Timeout | undefined;
	/** Probes in flight. */
	#pendingProbes = 0;

	constructor(settings: RoutedStoreSettings) {
		this.#settings = settings;
	}

	/** Whether calls are relayed through another host at present. */
	get isRelayed(): boolean {
		const {breaker, peers} = this.#settings;
		return breaker.isTripped && peers.isUsable;
	}

	/** How calls reach the store at present. */
	get mode(): 'direct' | 'relayed' | 'lost' {
		if (!this.#settings.breaker.isTripped) {
			return 'direct';
		}

		return this.isRelayed ? 'relayed' : 'lost';
	}

	/** A view whose reads and polls are sent even while the store is reachable neither directly nor through a relay, so that its first answer is noticed. */
	get probing(): RowStore {
		const direct = this.#settings.breaker.probing;
		return {
			commit: async transaction => this.commit(transaction),
			read: async range => this.#prepareRelay() ? this.read(range) : direct.read(range),
			follow: async (table, after, waitMs) => this.follow(table, after, waitMs),
		};
	}

	async commit(transaction: RowTransaction): Promise<CommitReceipt> {
		const {breaker, peers} = this.#settings;
		return this.#prepareRelay() ? expectOutcome(await peers.call({op: 'commit', ...transaction}), 'committed') : breaker.commit(transaction);
	}

	async read(range: RowRange): Promise<RowPage> {
		const {breaker, peers} = this.#settings;
		return this.#prepareRelay() ? expectOutcome(await peers.call({op: 'read', range}), 'page') : breaker.read(range);
	}

	async follow(table: string, after: number, waitMs: number): Promise<ChangePage> {
		const {breaker, peers} = this.#settings;
		if (!this.#prepareRelay()) {
			return breaker.follow(table, after, waitMs);
		}

		const {changes, ...page} = expectOutcome(await peers.call({
			op: 'follow', table, after, waitMs,
		}, waitMs), 'changes');
		return {...page, changes: changes.map(change => ({...change, value: change.value}))};
	}

	/** Stops probing the direct connection and closes all links. */
	stop(): void {
		this.#stopProbing();
		clearTimeout(this.#closeTimer);
		this.#settings.peers.close();
	}

	#stopProbing(): void {
		clearInterval(this.#probeTimer);
		this.#probeTimer = undefined;
	}

	/** Starts probing and opens links if the direct connection is down. Returns whether the call is to be relayed. */
	#prepareRelay(): boolean {
		const {breaker, peers, isRelaying = true} = this.#settings;
		if (breaker.isTripped && isRelaying) {
			clearTimeout(this.#closeTimer);
			this.#startProbing();
			peers.open();
		}

		return this.isRelayed;
	}

	#startProbing(): void {
		if (this.#probeTimer !== undefined) {
			return;
		}

		this.#settings.log.warn('store_way_lost', {});
		this.#probeTimer = setInterval(() => {
			void this.#probeDirect();
		}, Math.max(probeIntervalMs, probeIntervalMsPerHost * (this.#settings.countHosts?.() ?? 1)));
	}

	async #probeDirect(): Promise<void> {
		const {breaker, peers, log} = this.#settings;
		if (this.#pendingProbes >= maxPendingProbes) {
			return;
		}

		this.#pendingProbes += 1;
		try {
			await breaker.probing.read(probeRange);
			if (this.#probeTimer === undefined) {
				return;
			}

			this.#stopProbing();
			// Closing a link now would leave the outcome of a write in flight on it unknown.
			this.#closeTimer = setTimeout(() => {
				peers.close();
			}, linkCloseDelayMs);
			log.info('store_way_regained', {});
		} catch (error) {
			log.debug('store_way_closed', {reason: describeError(error)});
		} finally {
			this.#pendingProbes -= 1;
		}
	}
}
