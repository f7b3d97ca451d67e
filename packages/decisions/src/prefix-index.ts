/**
 * Estimates which endpoints cache which prompt prefixes.
 *
 * Load pattern: many requests begin with the same long prompt, as the samples of a group do. Without the index each endpoint computes every prefix again
 * and evicts another's. Prefixes of sent requests count as cached; the engines' cache events, which are delayed and incomplete, correct that. The index
 * is a hint: an error costs a computed prefix, never a wrong answer.
 */
import {hashText, dropOldest} from '@wasabiusher/shared';

/** Characters per block: about 64 tokens, a few of the blocks that engines usually cache. */
const blockLength = 256;

/** Maximum number of blocks of a prompt; 16,000 characters distinguish prompts and bound the time of a decision. */
const maxBlocks = 64;

/**
 * Maximum number of blocks remembered per endpoint: 130,000 tokens of prompts. An entry with 64 endpoints then uses 8 MB for them, as measured; the
 * number that an engine can cache (16,384) would take 49 MB of a budget of 64.
 */
const defaultCapacity = 2048;

/** Cache event of an engine. */
export type CacheEvent = {
	endpoint: string;
	/** Incremented by one with each event of the endpoint; a jump is a gap. */
	sequence: number;
	kind: 'stored' | 'removed' | 'cleared';
	blocks: readonly string[];
};

type EndpointCache = {
	/** Blocks with the time of their last use, least recently used first. */
	blocks: Map<string, number>;
	sequence: number | undefined;
	/** Blocks last used before this time may have been evicted without a received event. */
	trustedSince: number;
};

/** Returns the hashes of a prompt's prefixes: each identifies its block and all blocks before it. */
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

/** Remembers prefixes by endpoint, up to a maximum for each. */
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

	/** @param capacity - maximum number of blocks remembered per endpoint */
	constructor(capacity: number = defaultCapacity) {
		this.#capacity = capacity;
	}

	/** Records that a request with these prefixes was sent to the endpoint, which will cache them. */
	recordSent(endpoint: string, blocks: readonly string[], now: number): void {
		this.#touch(this.#findCache(endpoint), blocks, now);
	}

	/** Processes a cache event; ignores one that arrives after a later one. */
	receive({endpoint, sequence, kind, blocks}: CacheEvent, now: number): void {
		const cache = this.#findCache(endpoint);
		if (cache.sequence !== undefined && sequence <= cache.sequence) {
			return;
		}

		if (cache.sequence !== undefined && sequence > cache.sequence + 1) {
			// Lost events may have been removals, so only blocks used from now on are trusted.
			cache.trustedSince = now;
		}

		cache.sequence = sequence;
		this.#handlers[kind](cache, blocks, now);
	}

	/** Removes an endpoint that restarted or left; it caches nothing. */
	forget(endpoint: string): void {
		this.#caches.delete(endpoint);
	}

	/** Returns the fraction of these prefixes that the endpoint probably caches, from 0 to 1; untrusted blocks count half. */
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

	/** The longest prefix counts as used first, so that it is evicted before the shorter prefixes that it includes. */
	#touch(cache: EndpointCache, blocks: readonly string[], now: number): void {
		for (const block of blocks.toReversed()) {
			cache.blocks.delete(block);
			cache.blocks.set(block, now);
		}

		dropOldest(cache.blocks, this.#capacity);
	}
}

/**
 * Returns the number of blocks of the longest cached prefix, by bisection: the cached blocks of a prompt have no gaps except after lost events, and then
 * any answer is a guess. Takes six look-ups per endpoint instead of up to 64.
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
