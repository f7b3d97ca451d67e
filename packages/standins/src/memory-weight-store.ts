/**
 * A weight store with one rate for all of its readers: many who load at once wait for each other.
 */

import {PlatformError, type WeightStore} from '@wasabiusher/backends';
import {wait} from './wait.js';

export type WeightStoreSettings = {
	/** Size of one version, in bytes; no bytes are moved, only their time passes. */
	versionBytes: number;
	/** What all readers get together; undefined for no limit. */
	bytesPerSecond?: number;
};

/** A published version of a model. */
export type PublishedVersion = {model: string; version: number; publishedAt: number};

/** Where an engine gets its weights from. */
export type WeightSource = {
	/** Resolves when the version has been transferred; rejects with `PlatformError` when there is none. */
	fetch(model: string, version: number): Promise<void>;
};

export class MemoryWeightStore implements WeightStore, WeightSource {
	readonly settings: WeightStoreSettings;
	/** Transfers begun since the start. */
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
