/**
 * Divides a batch into shares and chooses the hosts that work on them.
 *
 * Load pattern: 88 entry hosts, half of them with a quarter of a core, and two trainers with steps of 100 to 160 generations. When one host per trainer
 * generated, scored and listed all of them, it could be one of the small ones: it read up to 270 generations at the same time and each step took 7 to 12
 * s while most of the endpoints' slots were empty. A batch is therefore divided into shares of whole groups, each worked on by one host. The same host
 * works on the same share of a trainer's next batch, so that its connections to its endpoints stay in use.
 */

import {rankCandidate} from '@wasabiusher/shared';

/** Samples per share: with one event per generation every 40 ms, about 800 events a second, which take a tenth of a core. */
const samplesPerShare = 32;

/**
 * Maximum number of shares of one batch. All shares append to one result list in a partition of the store that handles 300 transactions a second;
 * sixteen workers that commit five times a second each leave three quarters of that to other batches.
 */
const maxShares = 16;

/** Minimum number of hosts per share: the remaining hosts serve callers and replace failed workers. */
const hostsPerShare = 4;

/**
 * Minimum number of endpoints per share. Three tenths of the endpoints load new weights at the same time, and a share with only one or two endpoints
 * would stop for that time: trainers with two endpoints each were 1.8 s further behind when their steps were divided (four paired runs, score -0.026).
 */
const endpointsPerShare = 3;

/** Maximum number of samples of all open batches per core of a host; a core at its limit reads about 250 generations at the same time. */
const samplesPerCore = 100;

/** Maximum time without a heartbeat from a working host, in milliseconds: two heartbeats. */
const maxHeartbeatAgeMs = 900;

/** Event-loop lag above which a host counts as overloaded, and above which it gets no new share, in milliseconds; an event arrives every 40 ms. */
const maxEventLoopLagMs = 40;
const maxNewShareEventLoopLagMs = 10;

/** A host that could work on a share. */
export type WorkerCandidate = {
	/** Identifies this start of its process. */
	id: string;
	dataCentre: string;
	/** Cores available to its process; 0 if it has not reported them. */
	cores: number;
	/** Whether it has reported that it has no work; missing heartbeats then have no meaning. */
	isResting: boolean;
	/** Time since its last heartbeat, in milliseconds. */
	silentMs: number;
	/** Event-loop lag of the host, in milliseconds. */
	lateMs: number;
	/** Samples of open batches in the shares of this host. */
	samples: number;
	/** Whether it is the host that decides, which is certainly alive and can begin immediately. */
	isHere: boolean;
};

/** A batch to be divided. */
export type ShareRequest = {
	samples: number;
	groups: number;
	/** Number of available hosts. */
	hosts: number;
	/** Number of endpoints that the batch's model can expect. */
	endpoints: number;
};

/** Criteria for the choice of workers. */
export type WorkerRequest = {
	/** Number of shares of the batch. */
	count: number;
	/** Samples per share. */
	samples: number;
	/** Ids of the workers of the trainer's last batch, by share. */
	lastWorkers: ReadonlyArray<string | undefined>;
	/** Number of endpoints by data centre. */
	endpoints: ReadonlyMap<string, number>;
	/** Rank of a host among otherwise equal ones, highest first; it differs by trainer, so that trainers choose different hosts. */
	rank(id: string): number;
};

/** Returns the number of shares into which a batch is divided. */
export function countShares({samples, groups, hosts, endpoints}: ShareRequest): number {
	const max = Math.min(maxShares, Math.floor(hosts / hostsPerShare), Math.floor(endpoints / endpointsPerShare), groups);
	return Math.max(1, Math.min(Math.ceil(samples / samplesPerShare), max));
}

/** Returns whether a host is responsive enough to keep its share. */
function canKeepShare({isResting, silentMs, lateMs}: WorkerCandidate): boolean {
	return (isResting || silentMs <= maxHeartbeatAgeMs) && lateMs <= maxEventLoopLagMs;
}

/** Returns the number of samples that a host can still take; a host that has not reported its cores counts as having one. */
function countFreeSamples({cores, samples}: WorkerCandidate): number {
	return ((cores || 1) * samplesPerCore) - samples;
}

/**
 * Chooses the worker of each share. Hosts of the trainer's last batch keep their shares while they are responsive and have free capacity. The other
 * shares go to this host first if it has free capacity, then to the host with the most free capacity in the data centre with the most endpoints per
 * worker, since a worker's input comes from there.
 *
 * @returns ids by share; fewer than requested if there are not enough hosts
 */
export function chooseWorkers(candidates: readonly WorkerCandidate[], {count, samples, lastWorkers, endpoints, rank}: WorkerRequest): string[] {
	const byId = new Map(candidates.map(candidate => [candidate.id, candidate]));
	const chosen: Array<WorkerCandidate | undefined> = Array.from({length: count}, (_, i) => {
		const candidate = byId.get(lastWorkers[i] ?? '');
		return candidate && canKeepShare(candidate) && countFreeSamples(candidate) >= samples ? candidate : undefined;
	});
	for (const [i, keptWorker] of chosen.entries()) {
		const taken = new Set(chosen.flatMap(worker => worker ? [worker.id] : []));
		const free = candidates.filter(candidate => !taken.has(candidate.id) && canKeepShare(candidate) && candidate.lateMs <= maxNewShareEventLoopLagMs);
		chosen[i] = keptWorker ?? chooseNewWorker(free, {samples, rank, preferredDataCentre: findPreferredDataCentre(endpoints, chosen)});
	}

	return chosen.flatMap(worker => worker ? [worker.id] : []);
}

type NewWorkerRequest = Pick<WorkerRequest, 'samples' | 'rank'> & {preferredDataCentre: string | undefined};

function chooseNewWorker(free: readonly WorkerCandidate[], {samples, rank, preferredDataCentre: wanted}: NewWorkerRequest): WorkerCandidate | undefined {
	return free.toSorted((a, b) => Number(countFreeSamples(b) >= samples) - Number(countFreeSamples(a) >= samples)
		|| Number(b.isHere) - Number(a.isHere)
		|| Number(b.dataCentre === wanted) - Number(a.dataCentre === wanted)
		|| countFreeSamples(b) - countFreeSamples(a)
		|| rank(b.id) - rank(a.id))[0];
}

/** Returns the data centre with the most endpoints per worker. */
function findPreferredDataCentre(endpoints: ReadonlyMap<string, number>, chosen: ReadonlyArray<WorkerCandidate | undefined>): string | undefined {
	const endpointsPerWorker = [...endpoints].map(([dataCentre, count]) => {
		const workers = chosen.filter(worker => worker?.dataCentre === dataCentre).length;
		return {dataCentre, weight: count / (workers + 1)};
	});
	return endpointsPerWorker.toSorted((a, b) => b.weight - a.weight)[0]?.dataCentre;
}

/** A group of samples, which is never split. */
export type SharedGroup = {
	id: string;
	/** Expected length of its longest generation, in tokens. */
	longest: number;
};

/**
 * Divides groups among shares, longest first in rounds, so that each share gets the same number of long groups. The result is the same on every host
 * that has the submission.
 *
 * @returns ids of the groups by share
 */
export function divideGroups(groups: readonly SharedGroup[], count: number): string[][] {
	const shares = Array.from({length: count}, (): string[] => []);
	const ordered = groups.toSorted((a, b) => b.longest - a.longest);
	for (const [i, {id}] of ordered.entries()) {
		const round = Math.floor(i / count);
		const indexInRound = i % count;
		// Alternate the direction of the rounds, so that no share always gets the longer group.
		shares[round % 2 === 0 ? indexInRound : count - 1 - indexInRound]!.push(id);
	}

	return shares;
}

/** An endpoint that can be assigned to a share. */
export type SharedEndpoint = {
	id: string;
	dataCentre: string;
	/** Whether it is much faster than others; fast endpoints are divided evenly among themselves. */
	isFast?: boolean;
};

/**
 * Divides endpoints among the shares of a batch as evenly as possible, preferring workers in the same data centre. Among equal workers a hash decides
 * for each endpoint, so that adding or removing one endpoint changes little for the others.
 *
 * Load pattern: five hosts fill the same 80 slots, and each knows about the others only what answers reported up to a second earlier; an endpoint
 * refuses requests beyond its queue. With dedicated endpoints a worker knows which slots are free. Each share has the same number of long generations,
 * so each gets its part of the fast endpoints.
 *
 * @param workerDataCentres - data centre of the worker of each share
 * @returns ids by share; with fewer endpoints than shares some shares have none
 */
export function divideEndpoints(endpoints: readonly SharedEndpoint[], workerDataCentres: readonly string[]): string[][] {
	const shares = workerDataCentres.map((dataCentre, share) => ({dataCentre, name: String(share), ids: [] as string[]}));
	const count = Math.max(1, workerDataCentres.length);
	const assign = (endpoint: SharedEndpoint, from: typeof shares, max: number) => {
		const [best] = from.filter(({ids}) => ids.length < max).toSorted((a, b) => rankCandidate(endpoint.id, b.name) - rankCandidate(endpoint.id, a.name));
		best?.ids.push(endpoint.id);
		return best !== undefined;
	};

	const assignAll = (unassignedEndpoints: readonly SharedEndpoint[], max: number) => {
		const remote = unassignedEndpoints.toSorted((a, b) => a.id < b.id ? -1 : 1)
			.filter(endpoint => !assign(endpoint, shares.filter(({dataCentre}) => dataCentre === endpoint.dataCentre), max));
		for (const endpoint of remote) {
			assign(endpoint, shares, max);
		}
	};

	const fast = endpoints.filter(({isFast}) => isFast);
	assignAll(fast, Math.ceil(fast.length / count));
	assignAll(endpoints.filter(({isFast}) => !isFast), Math.ceil(endpoints.length / count));
	return shares.map(({ids}) => ids);
}
