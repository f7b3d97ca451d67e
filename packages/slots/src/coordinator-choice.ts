/**
 * Chooses the host that coordinates the slots of an endpoint.
 *
 * Load pattern: hosts join, leave and freeze while slots are being shared. With rendezvous hashing only the endpoints of a leaving host get another
 * coordinator, and all hosts with the same membership view choose the same one without communication. With different views two coordinators exist
 * for a short time; the endpoint then refuses excess requests.
 */
import {rankCandidate} from '@wasabiusher/shared';

/** A host that may coordinate endpoints. */
export type CoordinatorCandidate = {
	host: string;
	/** `ip:port`; empty if other hosts can't reach it. */
	address: string;
	dataCentre: string;
	/** Cores that its process may use; 0 if unknown. */
	cores: number;
	/** Whether it owns no work and therefore sends no periodic heartbeats. */
	isResting: boolean;
	/** Recent event-loop lag, in milliseconds. */
	lateMs: number;
	/** Time since its last heartbeat, in milliseconds. */
	silentMs: number;
};

/** Event-loop lag from which a host answers later than an endpoint takes to refuse a request, in milliseconds. */
const maxEventLoopLagMs = 50;

/** Silence after which a working host may be gone, in milliseconds: two heartbeats and a slow store. */
const maxSilenceMs = 1200;

/** Cores that are assumed for a host that does not know its own. */
const defaultCores = 0.5;

/** Returns the hosts that may currently coordinate endpoints. */
export function listCoordinatorCandidates(hosts: readonly CoordinatorCandidate[]): CoordinatorCandidate[] {
	return hosts.filter(({address, isResting, lateMs, silentMs}) => address !== '' && lateMs < maxEventLoopLagMs && (isResting || silentMs < maxSilenceMs));
}

/**
 * Chooses the coordinator of an endpoint by weighted rendezvous hashing among the candidates of its data centre, or among all if it has none. A host with
 * twice the cores coordinates twice as many endpoints (Schindelhauer and Schomaker, 2005).
 *
 * @returns undefined without candidates
 */
export function chooseCoordinator(endpoint: string, dataCentre: string, candidates: readonly CoordinatorCandidate[]): CoordinatorCandidate | undefined {
	const near = candidates.filter(candidate => candidate.dataCentre === dataCentre);
	let best: CoordinatorCandidate | undefined;
	let bestScore = Number.NEGATIVE_INFINITY;
	for (const candidate of near.length > 0 ? near : candidates) {
		const chance = (rankCandidate(endpoint, candidate.host) + 1) / ((2 ** 32) + 1);
		const score = -(candidate.cores || defaultCores) / Math.log(chance);
		if (score > bestScore) {
			best = candidate;
			bestScore = score;
		}
	}

	return best;
}
