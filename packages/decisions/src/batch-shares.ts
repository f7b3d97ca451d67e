/**
 * Among how many hosts a batch is divided, and which hosts these are.
 *
 * Load pattern: 88 entry hosts, half of them of a quarter of a core, and two trainers with steps of 100 to 160 texts. One host for each trainer
 * made, scored and listed all of them; it was by chance one of the small ones, read up to 270 texts at once and each step took 7 to 12 s while
 * most of the endpoints' slots stood empty. A batch is divided into shares of whole groups, each the work of one host. The same
 * host works on the same share of a trainer's next batch, so that its connections to its endpoints stay in use.
 */

import {rankCandidate} from '@wasabiusher/shared';

/** Samples of one share: with texts of an event each 40 ms, some 800 events a second, a tenth of a core. */
const samplesPerShare = 32;

/**
 * Most shares of one batch. All append to one list in a part of the store that takes 300 transactions a second; sixteen workers that commit five
 * times a second each leave three quarters of that to other batches.
 */
const maxShares = 16;

/** Hosts for each share that there may be: what is left carries callers, and steps in the place of what fails. */
const hostsPerShare = 4;

/**
 * Endpoints for each share that there must be. Three tenths of them load new weights at a time; with one or two of its own a share would stand still
 * for that time: trainers with two endpoints each were 1.8 s further behind with their steps divided (four paired plays, -0.026 of worth).
 */
const endpointsPerShare = 3;

/** Samples that a host may be given for each core that it has, open batches together; a core reads some 250 texts at once at its limit. */
const samplesPerCore = 100;

/** Longest silence of a host that works, in milliseconds: two heartbeats. */
const maxHeartbeatAgeMs = 900;

/** Lateness from which a host has more to do than it can, and from which it is given nothing new, in milliseconds: an event comes every 40. */
const maxEventLoopLagMs = 40;
const maxNewShareEventLoopLagMs = 10;

/** What is known of a host that could work on a share. */
export type WorkerCandidate = {
	/** Names this start of its process. */
	id: string;
	dataCentre: string;
	/** Cores that its process may use; 0 if it has not told. */
	cores: number;
	/** Whether it has said that it has no work; then its silence means nothing. */
	isResting: boolean;
	/** Time since it was last heard, in milliseconds. */
	silentMs: number;
	/** How late its own timers are, in milliseconds. */
	lateMs: number;
	/** Samples of open batches in its shares. */
	samples: number;
	/** Whether it is this host, which lives for sure and can begin at once. */
	isHere: boolean;
};

/** What is to be divided. */
export type ShareRequest = {
	samples: number;
	groups: number;
	/** Hosts that there are. */
	hosts: number;
	/** Endpoints that the batch's model can expect. */
	endpoints: number;
};

/** What workers are chosen by. */
export type WorkerRequest = {
	/** Shares of the batch. */
	count: number;
	/** Samples of each. */
	samples: number;
	/** Who worked on each share of the trainer's last batch, by the share. */
	last: ReadonlyArray<string | undefined>;
	/** Where the endpoints are: how many are in each data centre. */
	endpoints: ReadonlyMap<string, number>;
	/** Orders hosts that are alike; differs by trainer, so that trainers choose different ones. Higher goes first. */
	rank(id: string): number;
};

/** Number of shares into which a batch is divided. */
export function countShares({samples, groups, hosts, endpoints}: ShareRequest): number {
	const max = Math.min(maxShares, Math.floor(hosts / hostsPerShare), Math.floor(endpoints / endpointsPerShare), groups);
	return Math.max(1, Math.min(Math.ceil(samples / samplesPerShare), max));
}

/** Whether a host goes on with the work that it has. */
function canKeepShare({isResting, silentMs, lateMs}: WorkerCandidate): boolean {
	return (isResting || silentMs <= maxHeartbeatAgeMs) && lateMs <= maxEventLoopLagMs;
}

/** Samples that a host can still be given; one that has not told its size counts as one core. */
function countFreeSamples({cores, samples}: WorkerCandidate): number {
	return ((cores || 1) * samplesPerCore) - samples;
}

/**
 * Who works on each share. Hosts of the trainer's last batch keep their shares while they are sound and have room; for the others this host goes
 * first if it has room, then the host with the most room in the data centre with the most endpoints for each worker: what a worker
 * reads comes from there.
 *
 * @returns ids by the share; shorter than asked if there are not enough hosts
 */
export function chooseWorkers(candidates: readonly WorkerCandidate[], {count, samples, last, endpoints, rank}: WorkerRequest): string[] {
	const byId = new Map(candidates.map(candidate => [candidate.id, candidate]));
	const chosen: Array<WorkerCandidate | undefined> = Array.from({length: count}, (_, i) => {
		const candidate = byId.get(last[i] ?? '');
		return candidate && canKeepShare(candidate) && countFreeSamples(candidate) >= samples ? candidate : undefined;
	});
	for (const [i, kept] of chosen.entries()) {
		const taken = new Set(chosen.flatMap(worker => worker ? [worker.id] : []));
		const free = candidates.filter(candidate => !taken.has(candidate.id) && canKeepShare(candidate) && candidate.lateMs <= maxNewShareEventLoopLagMs);
		chosen[i] = kept ?? chooseNewWorker(free, {samples, rank, preferredDataCentre: findPreferredDataCentre(endpoints, chosen)});
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

/** The data centre with the most endpoints for each worker in it. */
function findPreferredDataCentre(endpoints: ReadonlyMap<string, number>, chosen: ReadonlyArray<WorkerCandidate | undefined>): string | undefined {
	const endpointsPerWorker = [...endpoints].map(([dataCentre, count]) => {
		const workers = chosen.filter(worker => worker?.dataCentre === dataCentre).length;
		return {dataCentre, weight: count / (workers + 1)};
	});
	return endpointsPerWorker.toSorted((a, b) => b.weight - a.weight)[0]?.dataCentre;
}

/** A group of samples that is not divided. */
export type SharedGroup = {
	id: string;
	/** Expected length of its longest text, in tokens. */
	longest: number;
};

/**
 * Divides groups among shares: the longest go round first, so that each share has as many long ones as the others. Everyone who has the
 * same submission divides it in the same way.
 *
 * @returns ids of the groups by the share
 */
export function divideGroups(groups: readonly SharedGroup[], count: number): string[][] {
	const shares = Array.from({length: count}, (): string[] => []);
	const ordered = groups.toSorted((a, b) => b.longest - a.longest);
	for (const [i, {id}] of ordered.entries()) {
		const round = Math.floor(i / count);
		const indexInRound = i % count;
		// Each round goes the other way, so that nobody has the longer one each time.
		shares[round % 2 === 0 ? indexInRound : count - 1 - indexInRound]!.push(id);
	}

	return shares;
}

/** An endpoint that may be given to a share. */
export type SharedEndpoint = {
	id: string;
	dataCentre: string;
	/** Whether it is much faster than others; such ones are divided evenly by themselves. */
	isFast?: boolean;
};

/**
 * Divides endpoints among the shares of a batch, as evenly as their number lets, each to a worker in its own data centre as far as there is one.
 * Among workers alike a hash decides for each endpoint, so that one more or less changes little for the others.
 *
 * Load pattern: five hosts fill the same 80 slots, each knowing of the others only what answers told up to a second before; an endpoint
 * refuses what is beyond its queue. With endpoints of its own, a worker knows what is open there. Each share has as many long texts as the others, so
 * each gets its part of the fast endpoints.
 *
 * @param workerDataCentres - data centre of the worker of each share
 * @returns ids by the share; with fewer endpoints than shares some have none
 */
export function divideEndpoints(endpoints: readonly SharedEndpoint[], workerDataCentres: readonly string[]): string[][] {
	const shares = workerDataCentres.map((dataCentre, share) => ({dataCentre, name: String(share), ids: [] as string[]}));
	const count = Math.max(1, workerDataCentres.length);
	const assign = (endpoint: SharedEndpoint, from: typeof shares, most: number) => {
		const [best] = from.filter(({ids}) => ids.length < most).toSorted((a, b) => rankCandidate(endpoint.id, b.name) - rankCandidate(endpoint.id, a.name));
		best?.ids.push(endpoint.id);
		return best !== undefined;
	};

	const assignAll = (some: readonly SharedEndpoint[], most: number) => {
		const unassigned = some.toSorted((a, b) => a.id < b.id ? -1 : 1)
			.filter(endpoint => !assign(endpoint, shares.filter(({dataCentre}) => dataCentre === endpoint.dataCentre), most));
		for (const endpoint of unassigned) {
			assign(endpoint, shares, most);
		}
	};

	const fast = endpoints.filter(({isFast}) => isFast);
	assignAll(fast, Math.ceil(fast.length / count));
	assignAll(endpoints.filter(({isFast}) => !isFast), Math.ceil(endpoints.length / count));
	return shares.map(({ids}) => ids);
}
