/**
 * The design size, and the loads that result from it and from the intervals in the code.
 */
import {unthrottledLinks, minIntervalPerLinkMs} from '@wasabiusher/agent';
import {defaultDegree} from '@wasabiusher/decisions';
import {
	controlCandidates, maxRemoteDataCentres, remoteDegree, refreshIntervalPerMemberMs,
} from '@wasabiusher/entry';
import {defaultLinkLimits} from '@wasabiusher/link';

/** Returns a figure of the bench by its name. Throws if there is none. */
export type FigureSource = (name: string) => {value: number; intercept?: number; sizes?: Array<{n: number; value: number}>};

/** Size that the users require. */
const requirements = {
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

/** Intervals and limits in the code, with the names of their constants there. */
const intervals = {
	/** `readersPerDataCentre` of the configuration's adopter. */
	readersPerDataCentre: 3,
	/** `configurationMs` and `digestTicks`. */
	digestsPerSecond: 0.2,
	/** Processes of a data centre that combine claims into transactions; each commits at most `gathersPerSecond`. */
	gatherersPerDataCentre: 2,
	gathersPerSecond: 5,
	/** Entries of a data centre that compete for a rollout lease. */
	controlCandidates,
	/** Lease renewal rounds: three per term of six seconds. */
	leaseRoundsPerSecond: 0.5,
} as const;

/** Values that the users have not specified. The tables should name each beside the results that depend on it. */
const assumed = {
	/** Generation rate of one stream. */
	tokensPerSecondOfStream: 30,
	/** Model services, each with one rollout lease. */
	modelServices: 1,
	/** Profiles in a configuration. */
	profiles: 1000,
	/** Batches of samples that a step's owner commits per second. */
	batchesPerSecond: 1,
} as const;

/** The design size with the values derived from it. */
export type Size = typeof requirements & typeof intervals & typeof assumed & {
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
	} = requirements;
	const linksOfEntry = defaultDegree + (Math.min(maxRemoteDataCentres, dataCentres - 1) * remoteDegree);
	const linksOfAgent = linksOfEntry * entries / endpoints;
	const tokensOfRequest = tokensPerSecond / requestsPerSecond;
	const requestsOfEntry = requestsPerSecond / entries;
	return {
		...requirements,
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
