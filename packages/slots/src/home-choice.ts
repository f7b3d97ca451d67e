/**
 * Which host is the home of an endpoint's slots.
 *
 * Load pattern: hosts come, go and fall silent while slots are being shared. By rendezvous hashing only the endpoints of a host that goes get another
 * home, and all hosts that know the same hosts choose the same one without a word. Those that know others choose two homes for a moment;
 * the endpoint then refuses what is too much.
 */
import {rankCandidate} from '@wasabiusher/shared';

/** A host that may be a home. */
export type HomeCandidate = {
	host: string;
	/** `ip:port`; empty if other hosts can't reach it. */
	address: string;
	dataCentre: string;
	/** Cores that its process may use; 0 if it does not know. */
	cores: number;
	isResting: boolean;
	/** How late its timers were of late, in milliseconds. */
	lateMs: number;
	/** Time since it was last heard, in milliseconds; one that rests is not heard. */
	silentMs: number;
};

/** Lateness from which a host answers later than a run takes to be refused, in milliseconds. */
const tooLateMs = 50;

/** Silence from which a host that works may be gone, in milliseconds: two heartbeats and a slow store. */
const tooSilentMs = 1200;

/** Cores that are assumed where a host does not know. */
const usualCores = 0.5;

/** Hosts that may be homes now. */
export function listHomeCandidates(hosts: readonly HomeCandidate[]): HomeCandidate[] {
	return hosts.filter(({address, isResting, lateMs, silentMs}) => address !== '' && lateMs < tooLateMs && (isResting || silentMs < tooSilentMs));
}

/**
 * Chooses the home of an endpoint: by weighted rendezvous hashing among candidates of its data centre, else among all. A host with twice the cores
 * has twice as many (Schindelhauer and Schomaker, 2005).
 *
 * @returns undefined without candidates
 */
export function chooseHome(endpoint: string, dataCentre: string, candidates: readonly HomeCandidate[]): HomeCandidate | undefined {
	const near = candidates.filter(candidate => candidate.dataCentre === dataCentre);
	let best: HomeCandidate | undefined;
	let bestScore = Number.NEGATIVE_INFINITY;
	for (const candidate of near.length > 0 ? near : candidates) {
		const chance = (rankCandidate(endpoint, candidate.host) + 1) / ((2 ** 32) + 1);
		const score = -(candidate.cores || usualCores) / Math.log(chance);
		if (score > bestScore) {
			best = candidate;
			bestScore = score;
		}
	}

	return best;
}
