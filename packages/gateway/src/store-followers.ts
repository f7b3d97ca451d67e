/**
 * Follows the tables of the store that a host needs, and passes each change on to the part that it concerns.
 */
import type {RowStore} from '@wasabiusher/backends';
import {
	batchParts, batchTable, hostTable, type Batches, type HostRegistry,
} from '@wasabiusher/batches';
import type {LoadAnnouncements} from '@wasabiusher/direct';
import {TableFollower} from '@wasabiusher/record';
import type {Log} from '@wasabiusher/shared';
import type {Catalog} from './catalog.js';
import {poisonRequestPart, type PoisonRequests} from './poison-requests.js';

/**
 * Longest wait of one poll for configuration changes, in milliseconds. A change must be in force 2 s after its confirmation, even on a
 * host whose connection stops responding, and a host must detect quickly that it is cut off from the store.
 */
const configurationWaitMs = 700;

/**
 * Minimum time between two polls for registrations and heartbeats, in milliseconds. A draining endpoint must get no new requests 2 s after
 * its announcement, and a host without heartbeats is suspected after 0.9 s; both tolerate a delay of a sixth of a second.
 */
const minFollowIntervalMs = 150;

/** Part of the batch table that holds announcements of weight loads. All hosts follow this table without a pause between polls. */
export const loadAnnouncementPart = 'loads';

export type StoreFollowersSettings = {
	store: RowStore;
	operatorTable: string;
	endpointTable: string;
	log: Log;
	catalog: Catalog;
	batches: Batches;
	loadAnnouncements: LoadAnnouncements;
	poisonRequests: PoisonRequests;
	hosts: HostRegistry;
	/** Returns a random number in [0, 1). */
	chance(): number;
};

/** The followers of one host. */
export class StoreFollowers {
	readonly all: readonly TableFollower[];
	readonly #operator: TableFollower;
	/** Follows the heartbeats of hosts and the rows about poison requests. */
	readonly #hosts: TableFollower;
	/** Followers that must be synchronized before this host accepts work. */
	readonly #required: readonly TableFollower[];

	constructor({
		store, operatorTable, endpointTable, log, chance, catalog, batches, loadAnnouncements, poisonRequests, hosts,
	}: StoreFollowersSettings) {
		this.#operator = new TableFollower({
			store, table: operatorTable, parts: [''], log, waitMs: configurationWaitMs, apply(change) {
				catalog.applyOperatorRow(change);
			},
		});
		this.#required = [
			this.#operator,
			new TableFollower({
				store, table: endpointTable, parts: [''], log, batchingMs: minFollowIntervalMs, chance, apply(change) {
					catalog.applyEndpoint(change);
				},
			}),
			new TableFollower({
				store, table: batchTable, parts: batchParts, unreadParts: [loadAnnouncementPart], log, apply(change) {
					if (change.part === loadAnnouncementPart) {
						loadAnnouncements.apply(change);
					} else {
						batches.apply(change);
					}
				},
			}),
		];
		this.#hosts = new TableFollower({
			store, table: hostTable, parts: ['', poisonRequestPart], log, batchingMs: minFollowIntervalMs, chance,
			apply(change) {
				if (change.part === poisonRequestPart) {
					poisonRequests.apply(change);
				} else {
					hosts.apply(change);
				}
			},
			onContact() {
				hosts.recordContact();
			},
		});
		this.all = [...this.#required, this.#hosts];
	}

	/** Whether the configuration, the registrations and the batches were read. */
	get hasSynced(): boolean {
		return this.#required.every(({isSynced}) => isSynced);
	}

	/** Whether the rows about poison requests were read. */
	get hasCrashRows(): boolean {
		return this.#hosts.isSynced;
	}

	/** Time since the store last answered about the configuration, in milliseconds; infinite before the first answer. */
	get configurationAgeMs(): number {
		return this.#operator.ageMs;
	}

	/** Applies all changes of the configuration that were made before this call. Returns whether the store answered; never rejects. */
	async refreshConfiguration(): Promise<boolean> {
		return this.#operator.refresh();
	}

	start(): void {
		for (const follower of this.all) {
			void follower.run();
		}
	}

	stop(): void {
		for (const follower of this.all) {
			follower.stop();
		}
	}
}
