/**
 * Tracks which endpoints load weights, as far as this process knows.
 *
 * Load pattern: half of a model's endpoints load new weights within a second of the start of a step, and each refuses all runs of that model meanwhile. A host
 * that does not know of a load sends runs there that another endpoint could have begun at once. The information may be wrong or late, so each window expires.
 */

import type {ServingHead} from '@wasabiusher/backends';

/** An endpoint's change to a version of a model. */
export type WeightLoad = {endpoint: string; model: string; version: number};

/** Maximum time for which one announcement excludes an endpoint, in milliseconds: three typical loads. */
export const maxLoadMs = 3000;

/** Time for which a refusal by a loading endpoint excludes it, in milliseconds: the mean remaining time of a typical load. */
const refusedLoadMs = 500;

/** HTTP status of an endpoint that accepts no requests at present. */
const refusedStatus = 503;

type LoadWindow = WeightLoad & {endsAt: number};

/** Weight loads in progress. */
export class LoadWindows {
	/** Number of loads that were detected by a refusal. */
	readonly counts = {loadsMet: 0};
	/** Windows by endpoint and model. */
	readonly #windows = new Map<string, LoadWindow>();
	/** Newest published version of each model. */
	readonly #published = new Map<string, number>();
	readonly #findVersion: (endpoint: string, model: string) => number | undefined;
	readonly #isEnabled: boolean;

	/** @param findVersion - returns the newest version of a model that an endpoint is known to serve */
	constructor(findVersion: (endpoint: string, model: string) => number | undefined, isOn = true) {
		this.#findVersion = findVersion;
		this.#isEnabled = isOn;
	}

	/** Number of known loads, including expired windows that were not queried since. */
	get size(): number {
		return this.#windows.size;
	}

	/**
	 * Records a load. A version that the endpoint already serves, or that is older than the recorded one, is ignored.
	 *
	 * @param forMs - expected remaining time in milliseconds; 0 or less ends the load
	 */
	record({endpoint, model, version}: WeightLoad, forMs: number): void {
		const key = toKey(endpoint, model);
		const known = this.#windows.get(key);
		const isOld = (known?.version ?? 0) > version || (this.#findVersion(endpoint, model) ?? 0) >= version;
		if (!this.#isEnabled || isOld) {
			return;
		}

		if (forMs <= 0) {
			this.#windows.delete(key);
			return;
		}

		this.#windows.set(key, {
			endpoint, model, version, endsAt: performance.now() + Math.min(forMs, maxLoadMs),
		});
	}

	/** Records the newest published version of a model. */
	recordPublished(model: string, version: number): void {
		this.#published.set(model, version);
	}

	/**
	 * Detects a load from the head of an answer: an endpoint that refuses a model despite free slots, and lacks its newest version, counts as loading it.
	 *
	 * @param model - requested model; undefined if the request needs no loaded model
	 */
	recordHead(endpoint: string, head: ServingHead, model: string | undefined): void {
		const version = model === undefined ? undefined : this.#published.get(model);
		if (version !== undefined && refusesWithFreeSlots(head) && (this.#findVersion(endpoint, model!) ?? 0) < version && !this.isLoading(endpoint, model!)) {
			this.counts.loadsMet += 1;
			this.record({endpoint, model: model!, version}, refusedLoadMs);
		}
	}

	/** Whether an endpoint loads a model now. */
	isLoading(endpoint: string, model: string): boolean {
		if (this.#windows.size === 0) {
			return false;
		}

		const key = toKey(endpoint, model);
		const window = this.#windows.get(key);
		if (window && window.endsAt <= performance.now()) {
			this.#windows.delete(key);
			return false;
		}

		return window !== undefined;
	}

	/** Ends a load once the endpoint serves its version; returns whether a load has ended. */
	end({endpoint, model, version}: WeightLoad): boolean {
		const key = toKey(endpoint, model);
		const window = this.#windows.get(key);
		return window !== undefined && version >= window.version && this.#windows.delete(key);
	}

	/** Removes all loads of an endpoint. */
	forget(endpoint: string): void {
		for (const [key, window] of this.#windows) {
			if (window.endpoint === endpoint) {
				this.#windows.delete(key);
			}
		}
	}
}

/** Whether an endpoint refused a request despite free slots. */
function refusesWithFreeSlots({isNotRun, status, load}: ServingHead): boolean {
	return isNotRun && status === refusedStatus && load !== undefined && load.running + load.waiting < load.slots;
}

function toKey(endpoint: string, model: string): string {
	return `${endpoint} ${model}`;
}
