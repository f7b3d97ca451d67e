/**
 * Which endpoints likely cache which prompt prefixes.
 *
 * Load pattern: many requests begin with the same long prompt, as the samples of a group do. Without this
 * each endpoint computes every prefix anew and evicts another's. What was sent is taken as cached there;
 * the engines' cache events, which come late and with gaps, mend that. The index is a hint: a wrong one
 * costs a computed prefix, never a wrong answer.
 */
import {hashText, dropOldest} from '@wasabiusher/shared';

/** Characters in a block: some 64 tokens, a few of the blocks that engines usually cache by. */
const blockLength = 256;

/** Blocks looked at in one prompt; 16,000 characters tell prompts apart, and bound the time of a decision. */
const maxBlocks = 64;

/**
 * Blocks remembered for each endpoint: 130,000 tokens of prompts. An entry with 64 endpoints in view then spends some
 * 8 MB on them, as measured; what an engine can cache (16,384) would take 49 MB of a budget of 64.
 */
const defaultCapacity = 2048;

/** What an engine says of its cache. */
export type CacheEvent = {
	endpoint: string;
	/** Counts up by one for each event of the endpoint; a jump is a gap. */
	sequence: number;
	kind: 'stored' | 'removed' | 'cleared';
	blocks: readonly string[];
};

type EndpointCache = {
	/** Blocks from the least to the most recently used, with when they were last used. */
	blocks: Map<string, number>;
	sequence: number | undefined;
	/** Blocks not used since may have been evicted unheard. */
	trustedSince: number;
};

/** Splits a prompt into the names of its prefixes: each names its block and all before it. */
export function splitPrefix(prompt: string): string[] {
	const names: string[] = [];
	let previous = '';
	const count = Math.min(maxBlocks, Math.floor(prompt.length / blockLength));
	for (let i = 0; i < count; i++) {
		previous = hashText(`${previous}${prompt.slice(i * blockLength, (i + 1) * blockLength)}`);
		names.push(previous);
	}

	return names;
}

/** Remembers prefixes by endpoint, bounded for each. */
export class PrefixIndex {
	readonly #caches = new Map<string, EndpointCache>();
	readonly #capacity: number;
	readonly #handlers: Readonly<Record<CacheEvent['kind'], (cache: EndpointCache, blocks: readonly string[], now: number) => void>> = {
		stored: (cache, blocks, now) => {
			this.#touch(cache, blocks, now);
		},
		removed(cache, blocks) {
			for (const block of blocks) {
				cache.blocks.delete(block);
			}
		},
		cleared(cache) {
			cache.blocks.clear();
		},
	};

	/** @param capacity - blocks remembered for each endpoint */
	constructor(capacity: number = defaultCapacity) {
		this.#capacity = capacity;
	}

	/** A request with these prefixes was sent there, so it will cache them. */
	recordSent(endpoint: string, blocks: readonly string[], now: number): void {
		this.#touch(this.#findCache(endpoint), blocks, now);
	}

	/** Takes an event; one older than the last is dropped, as a later one has overtaken it. */
	receive({endpoint, sequence, kind, blocks}: CacheEvent, now: number): void {
		const cache = this.#findCache(endpoint);
		if (cache.sequence !== undefined && sequence <= cache.sequence) {
			return;
		}

		if (cache.sequence !== undefined && sequence > cache.sequence + 1) {
			// What was lost may have been removals: only what is used from now on is trusted.
			cache.trustedSince = now;
		}

		cache.sequence = sequence;
		this.#handlers[kind](cache, blocks, now);
	}

	/** The endpoint restarted or left; it caches nothing. */
	forget(endpoint: string): void {
		this.#caches.delete(endpoint);
	}

	/** Part of these prefixes that the endpoint likely caches, from 0 to 1; what is doubtful counts half. */
	match(endpoint: string, blocks: readonly string[]): number {
		const cache = this.#caches.get(endpoint);
		if (!cache || blocks.length === 0) {
			return 0;
		}

		const matched = countCachedBlocks(cache, blocks);
		const isTrusted = matched > 0 && cache.blocks.get(blocks[matched - 1]!)! >= cache.trustedSince;
		return matched * (isTrusted ? 1 : 0.5) / blocks.length;
	}

	#findCache(endpoint: string): EndpointCache {
		let cache = this.#caches.get(endpoint);
		if (!cache) {
			cache = {blocks: new Map(), sequence: undefined, trustedSince: Number.NEGATIVE_INFINITY};
			this.#caches.set(endpoint, cache);
		}

		return cache;
	}

	/** The longest prefix counts as used first, so that it is forgotten before those that it begins with. */
	#touch(cache: EndpointCache, blocks: readonly string[], now: number): void {
		for (const block of blocks.toReversed()) {
			cache.blocks.delete(block);
			cache.blocks.set(block, now);
		}

		dropOldest(cache.blocks, this.#capacity);
	}
}

/**
 * Blocks of the longest prefix that is cached, by bisection: what is cached of a prompt has no holes but for lost events,
 * and after those any answer is a guess. Six look-ups an endpoint instead of up to 64.
 */
function countCachedBlocks({blocks: cached}: EndpointCache, blocks: readonly string[]): number {
	let matched = 0;
	let end = blocks.length;
	while (matched < end) {
		const middle = Math.ceil((matched + end) / 2);
		if (cached.has(blocks[middle - 1]!)) {
			matched = middle;
		} else {
			end = middle - 1;
		}
	}

	return matched;
}
