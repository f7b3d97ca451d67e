/**
 * The store by the way that is open: directly, or by way of another host while the store does not serve this one.
 *
 * Load pattern: a host is cut off from the store, or turned away by it, while callers, trainers and engines reach it. Alone it can
 * take no configuration and commit no result, its batches are taken over after 1.7 s and begun from kept texts, and
 * every submission it is given must be tried again elsewhere. Writes are made under the same conditions whoever
 * sends them, so the other host decides nothing.
 */
import type {
	ChangePage, CommitReceipt, RowPage, RowRange, RowStore, RowTransaction,
} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';
import type {PeerLinks} from './peer-links.js';
import {probeRange, type StoreGate} from './store-gate.js';
import {expectOutcome} from './store-work.js';

/** Time between tries of the direct way while it is lost, in milliseconds, and that by which it grows with each host: a silent store must bear the tries of all. */
const probeMs = 150;
const probeMsPerHost = 0.4;

/** Tries on their way at a time: one that was sent while the store was silent is left without an answer for its whole time, and must not hold up the next. */
const maxProbes = 10;

/** Time for which links stay open once the direct way is open again, in milliseconds: the longest call that is under way on them. */
const lingerMs = 3500;

export type RoutedStoreSettings = {
	gate: StoreGate;
	peers: PeerLinks;
	log: Log;
	/** Whether other hosts are asked at all. */
	isRelaying?: boolean;
	/** Hosts that ask the same store, as far as known. */
	countHosts?(): number;
};

/** Passes calls on by the way that is open. */
export class RoutedStore implements RowStore {
	readonly #settings: RoutedStoreSettings;
	#probe: NodeJS.Timeout | undefined;
	#linger: NodeJS.Timeout | undefined;
	/** Tries that are not answered yet. */
	#probes = 0;

	constructor(settings: RoutedStoreSettings) {
		this.#settings = settings;
	}

	/** Whether calls go by way of another host at present. */
	get isRelayed(): boolean {
		const {gate, peers} = this.#settings;
		return gate.isLost && peers.isUsable;
	}

	/** The way by which calls go at present. */
	get way(): 'direct' | 'relayed' | 'lost' {
		if (!this.#settings.gate.isLost) {
			return 'direct';
		}

		return this.isRelayed ? 'relayed' : 'lost';
	}

	/** The store for those who ask on while no way is open, so that the first answer is noticed. */
	get probing(): RowStore {
		const direct = this.#settings.gate.probing;
		return {
			commit: async transaction => this.commit(transaction),
			read: async range => this.#seekWay() ? this.read(range) : direct.read(range),
			follow: async (table, after, waitMs) => this.follow(table, after, waitMs),
		};
	}

	async commit(transaction: RowTransaction): Promise<CommitReceipt> {
		const {gate, peers} = this.#settings;
		return this.#seekWay() ? expectOutcome(await peers.call({op: 'commit', ...transaction}), 'committed') : gate.commit(transaction);
	}

	async read(range: RowRange): Promise<RowPage> {
		const {gate, peers} = this.#settings;
		return this.#seekWay() ? expectOutcome(await peers.call({op: 'read', range}), 'page') : gate.read(range);
	}

	async follow(table: string, after: number, waitMs: number): Promise<ChangePage> {
		const {gate, peers} = this.#settings;
		if (!this.#seekWay()) {
			return gate.follow(table, after, waitMs);
		}

		const {changes, ...page} = expectOutcome(await peers.call({
			op: 'follow', table, after, waitMs,
		}, waitMs), 'changes');
		return {...page, changes: changes.map(change => ({...change, value: change.value}))};
	}

	/** Tries the direct way no more and ends all links. */
	stop(): void {
		this.#stopProbing();
		clearTimeout(this.#linger);
		this.#settings.peers.close();
	}

	#stopProbing(): void {
		clearInterval(this.#probe);
		this.#probe = undefined;
	}

	/** Looks for help if the direct way is lost; returns whether another host is to be asked. */
	#seekWay(): boolean {
		const {gate, peers, isRelaying = true} = this.#settings;
		if (gate.isLost && isRelaying) {
			clearTimeout(this.#linger);
			this.#startProbing();
			peers.open();
		}

		return this.isRelayed;
	}

	#startProbing(): void {
		if (this.#probe !== undefined) {
			return;
		}

		this.#settings.log.warn('store_way_lost', {});
		this.#probe = setInterval(() => {
			void this.#try();
		}, Math.max(probeMs, probeMsPerHost * (this.#settings.countHosts?.() ?? 1)));
	}

	async #try(): Promise<void> {
		const {gate, peers, log} = this.#settings;
		if (this.#probes >= maxProbes) {
			return;
		}

		this.#probes += 1;
		try {
			await gate.probing.read(probeRange);
			if (this.#probe === undefined) {
				return;
			}

			this.#stopProbing();
			// A write that is under way on a link would be of unknown fate if it were ended now.
			this.#linger = setTimeout(() => {
				peers.close();
			}, lingerMs);
			log.info('store_way_regained', {});
		} catch (error) {
			log.debug('store_way_closed', {reason: describeError(error)});
		} finally {
			this.#probes -= 1;
		}
	}
}
