/**
 * Hashing: fingerprints of content and ranks for rendezvous selection.
 *
 * xxhash64 by library; it spreads well and is fast, and none of these uses
 * has to withstand an adversary who can choose keys to collide.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Hashes text to 16 hexadecimal digits. */
export function hashText(text: string): string {
	return hasher.h64ToString(text);
}

/** Hashes text to an unsigned 32-bit number. */
export function hashToNumber(text: string): number {
	return hasher.h32(text);
}

/**
 * Scores a candidate for a key; the highest score wins.
 *
 * Highest random weight hashing (Thaler and Ravishankar, 1998): when a
 * candidate goes, only the keys that it held move.
 */
export function rankCandidate(key: string, candidate: string): number {
	return hasher.h32(`${key}\u0000${candidate}`);
}

/** Orders candidates by their rank for a key, highest first; ties by name. */
export function orderByRank(key: string, candidates: readonly string[]): string[] {
	return candidates
		.map(candidate => ({candidate, rank: rankCandidate(key, candidate)}))
		.toSorted((a, b) => b.rank - a.rank || a.candidate.localeCompare(b.candidate))
		.map(({candidate}) => candidate);
}
