/**
 * An engine's cache of prompt prefixes: bounded memory, and events that come late and with gaps.
 */
import type {CacheEvent} from '@wasabiusher/backends';
import {hashText, type Random} from '@wasabiusher/shared';

/** Characters of one cached block; engines cache blocks of 16 or so tokens of about four characters. */
export const blockCharacters = 64;

/** Events kept for those who ask; older ones are gaps to them. */
const keptEvents = 1024;

export type PrefixCacheSettings = {
	/** Most blocks held; the least recently used goes first. */
	capacityBlocks: number;
	/** Time before an event shows, in milliseconds. */
	eventLagMs: number;
	/** Fraction of events that are never told. */
	eventLoss: number;
};

type TimedEvent = CacheEvent & {at: number};

/** Names each prefix of a prompt that ends at a block's end, shortest first. */
export function listPrefixes(prompt: string): string[] {
	const count = Math.floor(prompt.length / blockCharacters);
	return Array.from({length: count}, (_, index) => hashText(prompt.slice(0, (index + 1) * blockCharacters)));
}

export class PrefixCache {
	readonly #settings: PrefixCacheSettings;
	readonly #random: Random;
	/** Prefixes, least recently used first. */
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

	/** Stores a prompt's blocks; returns how many of them had to be computed. */
	store(prompt: string): number {
		const prefixes = listPrefixes(prompt);
		const firstMissing = prefixes.findIndex(prefix => !this.#blocks.has(prefix));
		for (const prefix of prefixes) {
			this.#touch(prefix);
		}

		this.#evict();
		return firstMissing === -1 ? 0 : prefixes.length - firstMissing;
	}

	/** Events after a sequence number, as far as they show by now. */
	listEvents(after: number): CacheEvent[] {
		const visibleBefore = performance.now() - this.#settings.eventLagMs;
		return this.#events
			.filter(({sequence, at}) => sequence > after && at <= visibleBefore)
			.map(({sequence, kind, prefix}) => ({sequence, kind, prefix}));
	}

	#touch(prefix: string): void {
		if (!this.#blocks.delete(prefix)) {
			this.#tell('stored', prefix);
		}

		this.#blocks.add(prefix);
	}

	#evict(): void {
		for (const prefix of this.#blocks) {
			if (this.#blocks.size <= this.#settings.capacityBlocks) {
				return;
			}

			this.#blocks.delete(prefix);
			this.#tell('evicted', prefix);
		}
	}

	#tell(kind: CacheEvent['kind'], prefix: string): void {
		this.#sequence += 1;
		if (this.#random.next() < this.#settings.eventLoss) {
			return;
		}

		this.#events.push({
			sequence: this.#sequence, kind, prefix, at: performance.now(),
		});
		this.#events = this.#events.slice(-keptEvents);
	}
}
