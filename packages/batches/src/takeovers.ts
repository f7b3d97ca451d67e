/**
 * Takes over shares of batches whose owner is gone.
 *
 * Load pattern: a host that owns shares of four batches is killed, frozen or disconnected. Hosts are ranked for each share, and the first in rank takes it
 * over. So the work of one host is spread over several, and only a few of them write to the store at a time.
 */
import {describeError, type Log} from '@wasabiusher/shared';
import type {BatchRecord, StoredBatch} from './batch.js';
import type {BatchStore} from './batch-store.js';
import type {HostRegistry} from './host-registry.js';
import type {KnownBatch, KnownBatches} from './known-batches.js';
import {pause} from './pause.js';
import {nameShare} from './shares.js';

/** Time between scans for shares without a live owner, in milliseconds. */
const scanIntervalMs = 150;

export type TakeoversSettings = {
	store: BatchStore;
	hosts: HostRegistry;
	known: KnownBatches;
	host: string;
	dataCentre: string;
	log: Log;
	/** Called with a batch's row as written, or as read after a conflict. */
	onFound(found: StoredBatch): void;
};

/** Scans for orphaned shares and takes them over. */
export class Takeovers {
	readonly #settings: TakeoversSettings;
	/** Names of shares whose takeover is in progress. */
	readonly #inProgress = new Set<string>();
	#timer: NodeJS.Timeout | undefined;

	constructor(settings: TakeoversSettings) {
		this.#settings = settings;
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#scan();
		}, scanIntervalMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	#scan(): void {
		for (const known of this.#settings.known.values()) {
			for (const share of known.record.shares.keys()) {
				if (!this.#inProgress.has(nameShare(known.record.id, share)) && this.#isOrphaned(known, share)) {
					void this.#takeOver(known.record.id, share);
				}
			}
		}
	}

	/** Whether the owner of a share is gone. An earlier process of this host is always gone, whether or not heartbeats are received. */
	#isOrphaned({record, ownerObservedAt}: KnownBatch, share: number): boolean {
		const {hosts, host} = this.#settings;
		const {owner, ownerHost} = record.shares[share]!;
		return !record.isEnded && owner !== hosts.incarnation && (ownerHost === host || hosts.isGone(owner, ownerObservedAt[share] ?? 0));
	}

	async #takeOver(id: string, share: number): Promise<void> {
		const {hosts, known, host, log} = this.#settings;
		const name = nameShare(id, share);
		this.#inProgress.add(name);
		try {
			const isOwn = known.get(id)?.record.shares[share]?.ownerHost === host;
			await pause(isOwn ? 0 : hosts.findTakeoverDelayMs(name));
			const found = known.get(id);
			if (found && this.#isOrphaned(found, share)) {
				await this.#write(found, share);
			}
		} catch (error) {
			log.warn('take_over_failed', {batch: id, share, reason: describeError(error)});
		} finally {
			this.#inProgress.delete(name);
		}
	}

	async #write({record, version}: KnownBatch, share: number): Promise<void> {
		const {store, hosts, host, dataCentre, log, onFound} = this.#settings;
		const {ownerHost, term} = record.shares[share]!;
		const reassigned: BatchRecord = {
			...record, shares: record.shares.with(share, {
				owner: hosts.incarnation, ownerHost: host, dataCentre, term: term + 1,
			}),
		};
		const written = await store.write(reassigned, version);
		if (written !== undefined) {
			log.info('share_taken_over', {
				batch: record.id, share, from: ownerHost, term: term + 1,
			});
			onFound({record: reassigned, version: written});
			return;
		}

		// Another process was first, or the batch has ended. This read may return it before the feed does.
		const found = await store.find(record.id);
		if (found) {
			onFound(found);
		}
	}
}
