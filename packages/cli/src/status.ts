/**
 * Merges the statuses that several entries report of themselves and of the agents that they know.
 */
import {z} from 'zod';
import {formatTable, formatTime, formatBoolean} from './layout.js';

const processShape = {
	name: z.string(),
	dataCentre: z.string(),
	configurationVersion: z.int(),
	isLeaving: z.boolean(),
};

export const statusSchema = z.object({
	configuration: z.object({version: z.int(), acceptedAt: z.number(), author: z.string()}),
	entries: z.array(z.object({...processShape, openCalls: z.int()})),
	agents: z.array(z.object({
		...processShape,
		service: z.string().optional(),
		isUp: z.boolean(),
		isHealthy: z.boolean(),
		models: z.array(z.object({model: z.string(), version: z.int()})),
		role: z.string().optional(),
		limit: z.number(),
		running: z.number(),
		waiting: z.number(),
		draining: z.number(),
	})),
	quarantine: z.array(z.object({fingerprint: z.string(), untilMs: z.number(), crashes: z.array(z.string())})).default([]),
	rollouts: z.array(z.unknown()).default([]),
});

export type EntryStatus = z.infer<typeof statusSchema>;

export type SystemStatus = Omit<EntryStatus, 'configuration'> & {
	/** Newest version that any entry knows. */
	version: number;
	/** Number of processes with this version in force, out of all entries and agents in the answers. */
	inForce: {count: number; total: number};
	lagging: string[];
	/** Entries that did not answer, with reasons. */
	missing: Array<{origin: string; reason: string}>;
};

type ConfiguredProcess = {name: string; configurationVersion: number};

/** Returns one row per name. If several entries report the same agent, the row with the newest version is used. */
function joinByName<Process extends ConfiguredProcess>(processes: readonly Process[]): Process[] {
	const joined = new Map<string, Process>();
	for (const process of processes) {
		const known = joined.get(process.name);
		if (!known || known.configurationVersion < process.configurationVersion) {
			joined.set(process.name, process);
		}
	}

	return [...joined.values()].toSorted((a, b) => a.name.localeCompare(b.name));
}

/** Merges the statuses of several entries. */
export function joinStatuses(answers: ReadonlyArray<{origin: string; status?: EntryStatus; error?: string}>): SystemStatus {
	const statuses = answers.map(({status}) => status).filter(status => status !== undefined);
	const entries = joinByName(statuses.flatMap(status => status.entries));
	const agents = joinByName(statuses.flatMap(status => status.agents));
	const version = Math.max(0, ...statuses.map(({configuration}) => configuration.version));
	const lagging = [...entries, ...agents].filter(({configurationVersion}) => configurationVersion < version);
	const total = entries.length + agents.length;
	return {
		version,
		inForce: {count: total - lagging.length, total},
		lagging: lagging.map(({name}) => name),
		entries,
		agents,
		quarantine: joinQuarantine(statuses),
		rollouts: statuses.flatMap(status => status.rollouts),
		missing: answers.filter(({error}) => error !== undefined).map(({origin, error}) => ({origin, reason: error!})),
	};
}

function joinQuarantine(statuses: readonly EntryStatus[]): EntryStatus['quarantine'] {
	const byFingerprint = new Map(statuses.flatMap(({quarantine}) => quarantine).map(row => [row.fingerprint, row]));
	return [...byFingerprint.values()];
}

function formatProcesses(status: SystemStatus): string[] {
	const entryRows = status.entries.map(({name, dataCentre, configurationVersion, isLeaving, openCalls}) => [
		name, dataCentre, String(configurationVersion), formatBoolean(isLeaving), String(openCalls),
	]);
	const agentRows = status.agents.map(agent => [
		agent.name,
		agent.dataCentre,
		String(agent.configurationVersion),
		formatBoolean(agent.isLeaving),
		agent.service ?? '-',
		agent.isUp ? formatBoolean(agent.isHealthy) : 'no link',
		agent.models.map(({model, version}) => `${model}@${version}`).join(' ') || '-',
		`${agent.running}/${agent.limit}`,
		String(agent.waiting),
		String(agent.draining),
	]);
	return [
		formatTable(['ENTRY', 'DATA CENTRE', 'VERSION', 'LEAVING', 'OPEN CALLS'], entryRows),
		formatTable(['AGENT', 'DATA CENTRE', 'VERSION', 'LEAVING', 'SERVICE', 'HEALTHY', 'MODELS', 'RUNNING', 'WAITING', 'DRAINING'], agentRows),
	];
}

/** Formats the status for people. */
export function formatStatus(status: SystemStatus): string {
	const {version, inForce, lagging, quarantine, rollouts, missing} = status;
	const sections = [
		`configuration ${version} is in force at ${inForce.count} of ${inForce.total} processes${lagging.length === 0 ? '' : `; behind: ${lagging.join(', ')}`}`,
		...missing.map(({origin, reason}) => `no answer from ${origin}: ${reason}`),
		...formatProcesses(status),
	];
	if (rollouts.length > 0) {
		sections.push(`weight rollouts:\n${rollouts.map(rollout => JSON.stringify(rollout)).join('\n')}`);
	}

	if (quarantine.length > 0) {
		const rows = quarantine.map(({fingerprint, untilMs, crashes}) => [fingerprint, formatTime(untilMs), crashes.join(' ')]);
		sections.push(formatTable(['QUARANTINED', 'UNTIL', 'CRASHED'], rows));
	}

	return sections.join('\n\n');
}
