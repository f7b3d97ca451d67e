/**
 * What an entry tells operators of itself and of the agents in its view.
 */
import type {AcceptedConfiguration} from '@wasabiusher/shared';
import type {EndpointRow, QuarantineStatus} from '@wasabiusher/systems';

/** A process and the version of the configuration in force there. */
type ProcessStatus = {
	name: string;
	dataCentre: string;
	configurationVersion: number;
	/** Behind the newest version that this entry knows. */
	isLagging: boolean;
	isLeaving: boolean;
};

type AgentStatus = ProcessStatus & {
	service?: string;
	isUp: boolean;
	isHealthy: boolean;
	models: Array<{model: string; version: number}>;
	role?: string;
	limit: number;
	running: number;
	waiting: number;
	/** Cancelled work of this entry whose stop is not confirmed yet. */
	draining: number;
};

export type EntryStatus = {
	/** The newest configuration known, without its content. */
	configuration: Pick<AcceptedConfiguration, 'version' | 'acceptedAt' | 'author'> & {
		/** Undefined if this entry is not among the readers; without the store no change is accepted. */
		isStoreReachable?: boolean;
	};
	/** The one that answers; the command line asks several and joins them. */
	entries: Array<ProcessStatus & {openCalls: number}>;
	agents: AgentStatus[];
	/** Names of the processes that are behind. */
	lagging: string[];
	/** Requests that are not run at present, since they have crashed endpoints. */
	quarantine: Array<{fingerprint: string; crashes: string[]; untilMs: number}>;
	/** Weight rollouts under way or stuck, as control describes them. */
	rollouts: unknown[];
};

type DescribedRow = Pick<EndpointRow, 'id' | 'dataCentre' | 'isUp' | 'draining' | 'status'>;

export type StatusParts = {
	name: string;
	dataCentre: string;
	isLeaving: boolean;
	openCalls: number;
	accepted: AcceptedConfiguration;
	isStoreReachable?: boolean;
	endpoints: Iterable<DescribedRow>;
	quarantine: QuarantineStatus[];
	rollouts: unknown[];
};

function describeAgent({id, dataCentre, isUp, draining, status}: DescribedRow, newest: number): AgentStatus {
	const configurationVersion = status?.configurationVersion ?? 0;
	return {
		name: id,
		dataCentre,
		configurationVersion,
		isLagging: configurationVersion < newest,
		isLeaving: status?.isLeaving ?? false,
		service: status?.service,
		isUp,
		isHealthy: status?.isHealthy ?? false,
		models: status?.models ?? [],
		role: status?.role,
		limit: status?.limit ?? 0,
		running: status?.running ?? 0,
		waiting: status?.waiting ?? 0,
		draining,
	};
}

/** Builds the status; rows and names in order of name, so that two answers can be compared. */
export function describeStatus(parts: StatusParts): EntryStatus {
	const {name, dataCentre, isLeaving, openCalls, accepted, isStoreReachable, quarantine, rollouts} = parts;
	const {version, acceptedAt, author} = accepted;
	const agents = [...parts.endpoints]
		.map(row => describeAgent(row, version))
		.toSorted((a, b) => a.name.localeCompare(b.name));
	return {
		configuration: {
			version, acceptedAt, author, isStoreReachable,
		},
		entries: [{
			name, dataCentre, configurationVersion: version, isLagging: false, isLeaving, openCalls,
		}],
		agents,
		lagging: agents.filter(({isLagging}) => isLagging).map(agent => agent.name),
		// Milliseconds since the epoch, for people's clocks.
		quarantine: quarantine.map(({fingerprint, crashes, remainingMs}) => ({fingerprint, crashes, untilMs: Date.now() + remainingMs})),
		rollouts,
	};
}
