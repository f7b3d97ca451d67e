/**
 * Takes over shares of batches that nobody works on any more.
 *
 * Load pattern: a host that works on shares of four batches is killed, frozen or cut off. Each share is taken by another host, as they come by
 * rank, so that what one has left becomes the work of several and few of them ask the store for it at a time.
 */
import {describeError, type Log} from '@wasabiusher/shared';
import type {BatchRecord, StoredBatch} from './batch.js';
import type {BatchStore} from './batch-store.js';
import type {HostRegistry} from './host-registry.js';
import type {KnownBatch, KnownBatches} from './known-batches.js';
import {pause} from './pause.js';
import {nameShare} from './shares.js';

/** Time between looks for shares without a living owner, in milliseconds. */
const lookMs = 150;

export type TakeOversSettings = {
	store: BatchStore;
	hosts: HostRegistry;
	known: KnownBatches;
	host: string;
	dataCentre: string;
	log: Log;
	/** Called with a batch's row as written or found. */
	onFound(found: StoredBatch): void;
};

/** Looks for shares that are left alone. */
export class TakeOvers {
	readonly #settings: TakeOversSettings;
	/** Shares that are just being taken. */
	readonly #taking = new Set<string>();
	#timer: NodeJS.Timeout | undefined;

	constructor(settings: TakeOversSettings) {
		this.#settings = settings;
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#look();
		}, lookMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	#look(): void {
		for (const known of this.#settings.known.values()) {
			for (const share of known.record.shares.keys()) {
				if (!this.#taking.has(nameShare(known.record.id, share)) && this.#isOrphan(known, share)) {
					void this.#takeOver(known.record.id, share);
				}
			}
		}
	}

	/** Whether nobody looks after a share: an earlier start of this host has ended, whatever is heard of heartbeats. */
	#isOrphan({record, seenAt}: KnownBatch, share: number): boolean {
		const {hosts, host} = this.#settings;
		const {owner, ownerHost} = record.shares[share]!;
		return !record.isEnded && owner !== hosts.incarnation && (ownerHost === host || hosts.isGone(owner, seenAt[share] ?? 0));
	}

	async #takeOver(id: string, share: number): Promise<void> {
		const {hosts, known, host, log} = this.#settings;
		const name = nameShare(id, share);
		this.#taking.add(name);
		try {
			const isOwn = known.get(id)?.record.shares[share]?.ownerHost === host;
			await pause(isOwn ? 0 : hosts.findTurnMs(name));
			const found = known.get(id);
			if (found && this.#isOrphan(found, share)) {
				await this.#write(found, share);
			}
		} catch (error) {
			log.warn('take_over_failed', {batch: id, share, reason: describeError(error)});
		} finally {
			this.#taking.delete(name);
		}
	}

	async #write({record, version}: KnownBatch, share: number): Promise<void> {
		const {store, hosts, host, dataCentre, log, onFound} = this.#settings;
		const {ownerHost, term} = record.shares[share]!;
		const taken: BatchRecord = {
			...record, shares: record.shares.with(share, {
				owner: hosts.incarnation, ownerHost: host, dataCentre, term: term + 1,
			}),
		};
		const written = await store.write(taken, version);
		if (written !== undefined) {
			log.info('share_taken_over', {
				batch: record.id, share, from: ownerHost, term: term + 1,
			});
			onFound({record: taken, version: written});
			return;
		}

		// Another process was first, or the batch has ended; the feed tells, or this read.
		const found = await store.find(record.id);
		if (found) {
			onFound(found);
		}
	}
}
