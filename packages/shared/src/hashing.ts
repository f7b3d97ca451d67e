/**
 * Content fingerprints and ranks for rendezvous hashing.
 *
 * Uses xxHash, which is fast and distributes evenly. It is not collision-resistant, so it must not be used where an adversary gains from
 * choosing colliding keys.
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
 * Scores a candidate for a key; the candidate with the highest score is selected.
 *
 * Rendezvous (highest random weight) hashing (Thaler and Ravishankar, 1998): when a candidate is removed, only its own keys move.
 */
export function rankCandidate(key: string, candidate: string): number {
	return hasher.h32(`${key}\u0000${candidate}`);
}

/** Orders candidates by their rank for a key, highest first; ties are ordered by name. */
export function orderByRank(key: string, candidates: readonly string[]): string[] {
	return candidates
		.map(candidate => ({candidate, rank: rankCandidate(key, candidate)}))
		.toSorted((a, b) => b.rank - a.rank || a.candidate.localeCompare(b.candidate))
		.map(({candidate}) => candidate);
}
