/**
 * An engine's cache of prompt prefixes, with bounded memory and events that can be delayed or lost.
 */
import type {CacheEvent} from '@wasabiusher/backends';
import {hashText, type Random} from '@wasabiusher/shared';

/** Characters per cached block. Engines cache blocks of about 16 tokens of about four characters each. */
export const blockCharacters = 64;

/** Maximum number of events retained for readers. Older events are missing from the list. */
const maxRetainedEvents = 1024;

export type PrefixCacheSettings = {
	/** Maximum number of cached blocks. The least recently used block is evicted first. */
	capacityBlocks: number;
	/** Delay before an event is listed, in milliseconds. */
	eventLagMs: number;
	/** Fraction of events that are never listed. */
	eventLoss: number;
};

type TimedEvent = CacheEvent & {at: number};

/** Returns the hashes of the prefixes of a prompt that end at a block boundary, shortest first. */
export function listPrefixes(prompt: string): string[] {
	const count = Math.floor(prompt.length / blockCharacters);
	return Array.from({length: count}, (_, index) => hashText(prompt.slice(0, (index + 1) * blockCharacters)));
}

/** Cache of prompt prefixes with least-recently-used eviction. */
export class PrefixCache {
	readonly #settings: PrefixCacheSettings;
	readonly #random: Random;
	/** Hashes of prefixes, least recently used first. */
	readonly #blocks = new Set<string>();
	#events: TimedEvent[] = [];
	#sequence = 0;

	constructor(settings: PrefixCacheSettings, random: Random) {
		this.#settings = settings;
		this.#random = random;
	}

	/** Fraction of the capacity in use. */
	get use(): number {
		return this.#blocks.size / this.#settings.capacityBlocks;
	}

	/** Stores a prompt's blocks. Returns how many of them were not cached and had to be computed. */
	store(prompt: string): number {
		const prefixes = listPrefixes(prompt);
		const firstMissing = prefixes.findIndex(prefix => !this.#blocks.has(prefix));
		for (const prefix of prefixes) {
			this.#touch(prefix);
		}

		this.#evict();
		return firstMissing === -1 ? 0 : prefixes.length - firstMissing;
	}

	/** Returns the events after a sequence number that are visible after the lag. */
	listEvents(after: number): CacheEvent[] {
		const visibleBefore = performance.now() - this.#settings.eventLagMs;
		return this.#events
			.filter(({sequence, at}) => sequence > after && at <= visibleBefore)
			.map(({sequence, kind, prefix}) => ({sequence, kind, prefix}));
	}

	#touch(prefix: string): void {
		if (!this.#blocks.delete(prefix)) {
			this.#recordEvent('stored', prefix);
		}

		this.#blocks.add(prefix);
	}

	#evict(): void {
		for (const prefix of this.#blocks) {
			if (this.#blocks.size <= this.#settings.capacityBlocks) {
				return;
			}

			this.#blocks.delete(prefix);
			this.#recordEvent('evicted', prefix);
		}
	}

	#recordEvent(kind: CacheEvent['kind'], prefix: string): void {
		this.#sequence += 1;
		if (this.#random.next() < this.#settings.eventLoss) {
			return;
		}

		this.#events.push({
			sequence: this.#sequence, kind, prefix, at: performance.now(),
		});
		this.#events = this.#events.slice(-maxRetainedEvents);
	}
}
