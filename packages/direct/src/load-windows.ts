/**
 * Which endpoints load weights, as far as this process knows.
 *
 * Load pattern: half of a model's endpoints load new weights within a second of a step's begin, and each refuses all runs of that model for
 * as long. A host that does not know it sends there what another endpoint could have begun at once. What is known may be wrong
 * or late, so each window ends by itself.
 */

import type {ServingHead} from '@wasabiusher/backends';

/** An endpoint's change to a version of a model. */
export type WeightLoad = {endpoint: string; model: string; version: number};

/** Longest time for which an endpoint is left out by one piece of news, in milliseconds: three usual loads. */
export const maxLoadMs = 3000;

/** Time for which an endpoint that was met loading is left out, in milliseconds: what is left of a usual load on average. */
const refusedLoadMs = 500;

/** Status of an endpoint that takes nothing at present. */
const refusedStatus = 503;

type LoadWindow = WeightLoad & {endsAt: number};

/** The loads that go on. */
export class LoadWindows {
	/** Loads that were learnt of by a refusal. */
	readonly counts = {loadsMet: 0};
	/** By endpoint and model. */
	readonly #windows = new Map<string, LoadWindow>();
	/** Newest version of each model that endpoints may load. */
	readonly #published = new Map<string, number>();
	readonly #findVersion: (endpoint: string, model: string) => number | undefined;
	readonly #isEnabled: boolean;

	/** @param findVersion - newest version of a model that an endpoint is known to serve */
	constructor(findVersion: (endpoint: string, model: string) => number | undefined, isOn = true) {
		this.#findVersion = findVersion;
		this.#isEnabled = isOn;
	}

	/** Loads that are known of, those that are over by the time among them until they are asked for. */
	get size(): number {
		return this.#windows.size;
	}

	/**
	 * Learns of a load. News of a version that is served or older than known changes nothing.
	 *
	 * @param forMs - time for which it is expected to go on; nothing or less ends it
	 */
	note({endpoint, model, version}: WeightLoad, forMs: number): void {
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

	/** Learns the newest version of a model that endpoints may load. */
	recordPublished(model: string, version: number): void {
		this.#published.set(model, version);
	}

	/**
	 * Learns from the beginning of an answer: an endpoint that refuses a model though slots are free, and does not hold its newest version, loads it.
	 *
	 * @param model - what was asked for; undefined if nothing that is loaded
	 */
	recordHead(endpoint: string, head: ServingHead, model: string | undefined): void {
		const version = model === undefined ? undefined : this.#published.get(model);
		if (version !== undefined && refusesWithFreeSlots(head) && (this.#findVersion(endpoint, model!) ?? 0) < version && !this.isLoading(endpoint, model!)) {
			this.counts.loadsMet += 1;
			this.note({endpoint, model: model!, version}, refusedLoadMs);
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

	/** Learns which version an endpoint serves; returns whether a load has ended by that. */
	end({endpoint, model, version}: WeightLoad): boolean {
		const key = toKey(endpoint, model);
		const window = this.#windows.get(key);
		return window !== undefined && version >= window.version && this.#windows.delete(key);
	}

	/** Forgets an endpoint. */
	forget(endpoint: string): void {
		for (const [key, window] of this.#windows) {
			if (window.endpoint === endpoint) {
				this.#windows.delete(key);
			}
		}
	}
}

/** Whether an endpoint did not run a request though slots were free. */
function refusesWithFreeSlots({isNotRun, status, load}: ServingHead): boolean {
	return isNotRun && status === refusedStatus && load !== undefined && load.running + load.waiting < load.slots;
}

function toKey(endpoint: string, model: string): string {
	return `${endpoint} ${model}`;
}
