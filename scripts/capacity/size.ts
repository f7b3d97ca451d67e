/**
 * The size designed for, and what follows from it and from the intervals in the code.
 */
import {unthrottledLinks, minIntervalPerLinkMs} from '@wasabiusher/agent';
import {defaultDegree} from '@wasabiusher/decisions';
import {
	controlCandidates, maxRemoteDataCentres, remoteDegree, refreshIntervalPerMemberMs,
} from '@wasabiusher/entry';
import {defaultLinkLimits} from '@wasabiusher/link';

/** A figure of the bench by its name. */
export type FigureSource = (name: string) => {value: number; intercept?: number; sizes?: Array<{n: number; value: number}>};

/** As the users have given it. */
const given = {
	entries: 1700,
	endpoints: 10_000,
	dataCentres: 19,
	requestsPerSecond: 160_000,
	tokensPerSecond: 37_000_000,
	trainers: 10,
	samplesPerStep: 2048,
	stepSeconds: 180,
	changesPerDay: 41_000,
	hostsReplacedPerDay: 3200,
} as const;

/** Intervals and bounds that the code has; named where they stand there. */
const intervals = {
	/** `readersPerDataCentre` of the configuration's adopter. */
	readersPerDataCentre: 3,
	/** `configurationMs` and `digestTicks`. */
	digestsPerSecond: 0.2,
	/** Gatherers of claims, and the least time between their transactions. */
	gatherersPerDataCentre: 2,
	gathersPerSecond: 5,
	/** Entries of a data centre that try for a rollout lease. */
	controlCandidates,
	/** Rounds of a lease: three in a term of six seconds. */
	leaseRoundsPerSecond: 0.5,
} as const;

/** What the users have not stated; each is named beside what follows from it. */
const assumed = {
	/** Pace of one stream. */
	tokensPerSecondOfStream: 30,
	/** Services of model engines, each with one rollout lease. */
	modelServices: 1,
	/** Profiles of a configuration. */
	profiles: 1000,
	/** Batches of samples that a step's owner commits in a second. */
	batchesPerSecond: 1,
} as const;

/** The size, with what is worked out from it. */
export type Size = typeof given & typeof intervals & typeof assumed & {
	hosts: number;
	linksOfEntry: number;
	linksOfAgent: number;
	requestsOfEntry: number;
	tokensOfEntry: number;
	requestsOfAgent: number;
	tokensOfAgent: number;
	tokensOfRequest: number;
	openRequestsOfEntry: number;
	changesPerSecond: number;
	heartbeatsPerSecond: number;
	reportsPerSecond: number;
	membershipReadsPerSecond: number;
	entriesOfDataCentre: number;
	endpointsOfDataCentre: number;
};

const secondsOfDay = 86_400;

export function describeSize(): Size {
	const {
		entries, endpoints, dataCentres, requestsPerSecond, tokensPerSecond, changesPerDay,
	} = given;
	const linksOfEntry = defaultDegree + (Math.min(maxRemoteDataCentres, dataCentres - 1) * remoteDegree);
	const linksOfAgent = linksOfEntry * entries / endpoints;
	const tokensOfRequest = tokensPerSecond / requestsPerSecond;
	const requestsOfEntry = requestsPerSecond / entries;
	return {
		...given,
		...intervals,
		...assumed,
		hosts: entries + endpoints,
		linksOfEntry,
		linksOfAgent,
		requestsOfEntry,
		tokensOfEntry: tokensPerSecond / entries,
		requestsOfAgent: requestsPerSecond / endpoints,
		tokensOfAgent: tokensPerSecond / endpoints,
		tokensOfRequest,
		// Little's law.
		openRequestsOfEntry: requestsOfEntry * tokensOfRequest / assumed.tokensPerSecondOfStream,
		changesPerSecond: changesPerDay / secondsOfDay,
		reportsPerSecond: 1000 / ((linksOfAgent - unthrottledLinks) * minIntervalPerLinkMs),
		membershipReadsPerSecond: 1000 / ((entries + endpoints) * refreshIntervalPerMemberMs),
		heartbeatsPerSecond: 1000 / defaultLinkLimits.heartbeatMs,
		entriesOfDataCentre: entries / dataCentres,
		endpointsOfDataCentre: endpoints / dataCentres,
	};
}
