/**
 * A weight store whose readers share one transfer rate: simultaneous transfers are queued.
 */

import {PlatformError, type WeightStore} from '@wasabiusher/backends';
import {wait} from './wait.js';

export type WeightStoreSettings = {
	/** Size of one version, in bytes. No data is transferred; only the transfer time is simulated. */
	versionBytes: number;
	/** Transfer rate of all readers together; undefined for no limit. */
	bytesPerSecond?: number;
};

/** A published version of a model. `publishedAt` is in milliseconds since the epoch. */
export type PublishedVersion = {model: string; version: number; publishedAt: number};

/** Source that an engine fetches its weights from. */
export type WeightSource = {
	/** Resolves when the version has been transferred; rejects with `PlatformError` `refused` when it is not published. */
	fetch(model: string, version: number): Promise<void>;
};

/** Weight store in memory, with simulated transfer times. */
export class MemoryWeightStore implements WeightStore, WeightSource {
	readonly settings: WeightStoreSettings;
	/** Number of transfers begun. */
	transfers = 0;
	readonly #published = new Map<string, PublishedVersion>();
	#busyUntil = 0;

	constructor({versionBytes = 1, bytesPerSecond}: Partial<WeightStoreSettings> = {}) {
		this.settings = {versionBytes, bytesPerSecond};
	}

	publish(model: string, version: number): void {
		this.#published.set(model, {model, version, publishedAt: Date.now()});
	}

	async listVersions(): Promise<PublishedVersion[]> {
		return [...this.#published.values()];
	}

	async fetch(model: string, version: number): Promise<void> {
		if (version > (this.#published.get(model)?.version ?? 0)) {
			throw new PlatformError('refused', `version ${version} of ${model} is not published`);
		}

		this.transfers += 1;
		const {versionBytes, bytesPerSecond} = this.settings;
		if (bytesPerSecond === undefined) {
			return;
		}

		const now = performance.now();
		this.#busyUntil = Math.max(now, this.#busyUntil) + (versionBytes / bytesPerSecond * 1000);
		await wait(this.#busyUntil - now);
	}
}
