/**
 * Selects the agents that an entry links to from the membership list: a subset of each service in
 * its own data centre, and a few in other data centres for spillover.
 */
import {defaultDegree, findSubset} from '@wasabiusher/decisions';
import type {Member} from '@wasabiusher/backends';
import {orderByRank} from '@wasabiusher/shared';

/**
 * Number of agents linked per service in each other data centre. They are enough to keep serving when all
 * agents of the own data centre are lost, at an eighth of the links.
 */
export const remoteDegree = 8;

/**
 * Number of other data centres linked per service, those of the own region first. With all of 18 data centres an entry
 * would have 208 links, and heartbeats and load reports alone would exceed the bandwidth budget for control tenfold.
 */
export const maxRemoteDataCentres = 3;

/** The entry that the subset is selected for. */
export type SubsetOwner = {name: string; dataCentre: string; region: string};

type AgentGroup = {dataCentre: string; region: string; service: string; agents: string[]};

/** Selects agents. Caches the selection per group, since an unchanged list is read again every second. */
export class AgentSubset {
	readonly #owner: SubsetOwner;
	readonly #choices = new Map<string, {signature: string; chosen: string[]}>();

	constructor(owner: SubsetOwner) {
		this.#owner = owner;
	}

	/** Returns the names of the agents to link to. */
	choose(members: readonly Member[]): Set<string> {
		const entries = this.#listEntries(members);
		const groups = groupAgents(members);
		for (const key of this.#choices.keys()) {
			if (!groups.has(key)) {
				this.#choices.delete(key);
			}
		}

		return new Set([...this.#listEligibleGroups(groups)].flatMap(([key, group]) => this.#chooseFromGroup(key, group, entries)));
	}

	/** Live entries of the own data centre, including this one, sorted by name. */
	#listEntries(members: readonly Member[]): string[] {
		const {name, dataCentre} = this.#owner;
		const others = members
			.filter(member => member.role === 'entry' && member.state === 'live' && member.dataCentre === dataCentre)
			.map(({id}) => id);
		return [...new Set([...others, name])].toSorted((a, b) => a.localeCompare(b));
	}

	/** Groups of the own data centre and, for each service, of up to `maxRemoteDataCentres` others. */
	#listEligibleGroups(groups: ReadonlyMap<string, AgentGroup>): Map<string, AgentGroup> {
		const {dataCentre: ownDataCentre, region: ownRegion} = this.#owner;
		const remoteGroups = [...groups.values()].filter(({dataCentre}) => dataCentre !== ownDataCentre);
		return new Map([...groups].filter(([, {dataCentre, service}]) => {
			const others = remoteGroups.filter(group => group.service === service);
			const sameRegion = new Set(others.filter(({region}) => region === ownRegion).map(group => group.dataCentre));
			// Ranked by the name of the own data centre, so that all of its entries select the same others.
			const ranked = orderByRank(`far/${ownDataCentre}`, others.map(group => group.dataCentre));
			const chosen = [...ranked.filter(name => sameRegion.has(name)), ...ranked.filter(name => !sameRegion.has(name))].slice(0, maxRemoteDataCentres);
			return dataCentre === ownDataCentre || chosen.includes(dataCentre);
		}));
	}

	#chooseFromGroup(key: string, {dataCentre, agents}: AgentGroup, entries: string[]): string[] {
		const signature = JSON.stringify([entries, agents]);
		const cached = this.#choices.get(key);
		if (cached?.signature === signature) {
			return cached.chosen;
		}

		const degree = dataCentre === this.#owner.dataCentre ? defaultDegree : remoteDegree;
		const chosen = findSubset(this.#owner.name, entries, agents, {degree});
		this.#choices.set(key, {signature, chosen});
		return chosen;
	}
}

/** Groups live agents by data centre and service. */
function groupAgents(members: readonly Member[]): Map<string, AgentGroup> {
	const groups = new Map<string, AgentGroup>();
	for (const {id, role, state, dataCentre, region, service = ''} of members) {
		if (role === 'agent' && state === 'live') {
			const key = `${dataCentre}/${service}`;
			const group = groups.get(key) ?? {
				dataCentre, region, service, agents: [],
			};
			group.agents.push(id);
			groups.set(key, group);
		}
	}

	for (const {agents} of groups.values()) {
		agents.sort((a, b) => a.localeCompare(b));
	}

	return groups;
}
