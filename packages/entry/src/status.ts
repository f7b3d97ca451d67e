/**
 * Builds the status that an entry reports to operators, covering itself and the agents that it links to.
 */
import type {AcceptedConfiguration} from '@wasabiusher/shared';
import type {EndpointRow, QuarantineStatus} from '@wasabiusher/systems';

/** A process and the configuration version in force there. */
type ProcessStatus = {
	name: string;
	dataCentre: string;
	configurationVersion: number;
	/** Whether it runs an older version than the newest that this entry knows. */
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
	/** Number of cancelled attempts of this entry whose stop is not confirmed yet. */
	draining: number;
};

export type EntryStatus = {
	/** Metadata of the newest known configuration. */
	configuration: Pick<AcceptedConfiguration, 'version' | 'acceptedAt' | 'author'> & {
		/** Undefined if this entry does not read the store itself. While the store is unreachable, no change is accepted. */
		isStoreReachable?: boolean;
	};
	/** Contains only the responding entry; the command line queries several entries and merges the results. */
	entries: Array<ProcessStatus & {openCalls: number}>;
	agents: AgentStatus[];
	/** Names of the processes that run an older configuration. */
	lagging: string[];
	/** Requests that are currently not run because they have crashed endpoints. */
	quarantine: Array<{fingerprint: string; crashes: string[]; untilMs: number}>;
	/** Weight rollouts in progress or stuck, as `Control.describe` returns them. */
	rollouts: unknown[];
};

type DescribedEndpoint = Pick<EndpointRow, 'id' | 'dataCentre' | 'isUp' | 'draining' | 'status'>;

export type StatusInput = {
	name: string;
	dataCentre: string;
	isLeaving: boolean;
	openCalls: number;
	accepted: AcceptedConfiguration;
	isStoreReachable?: boolean;
	endpoints: Iterable<DescribedEndpoint>;
	quarantine: QuarantineStatus[];
	rollouts: unknown[];
};

function describeAgent({id, dataCentre, isUp, draining, status}: DescribedEndpoint, newest: number): AgentStatus {
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

/** Builds the status. Agents are sorted by name, so that two responses can be compared. */
export function describeStatus(parts: StatusInput): EntryStatus {
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
		// Converted to wall-clock time, in milliseconds since the epoch.
		quarantine: quarantine.map(({fingerprint, crashes, remainingMs}) => ({fingerprint, crashes, untilMs: Date.now() + remainingMs})),
		rollouts,
	};
}
