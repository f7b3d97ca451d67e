/**
 * Which agents an entry links to, by the membership list: a subset of each service in its
 * own data centre, and a few elsewhere to spill to.
 */
import {defaultDegree, findSubset} from '@wasabiusher/decisions';
import type {Member} from '@wasabiusher/backends';
import {orderByRank} from '@wasabiusher/shared';

/**
 * Agents of a service linked to in each other data centre. Enough to carry on when the own
 * data centre's are lost, at an eighth of the links.
 */
export const farDegree = 8;

/**
 * Other data centres linked to for each service, those of the own region first. Were it all of 18, an entry would have
 * 208 links, and heartbeats and load reports alone would cost ten times what control may.
 */
export const farDataCentres = 3;

/** Who looks at the list. */
export type Viewer = {name: string; dataCentre: string; region: string};

type Group = {dataCentre: string; region: string; service: string; agents: string[]};

/** Chooses agents; remembers its choices, since a list that has not changed is read each second. */
export class ViewSubset {
	readonly #viewer: Viewer;
	readonly #choices = new Map<string, {signature: string; chosen: string[]}>();

	constructor(viewer: Viewer) {
		this.#viewer = viewer;
	}

	/** Names of the agents to be linked to. */
	choose(members: readonly Member[]): Set<string> {
		const entries = this.#listEntries(members);
		const groups = groupAgents(members);
		for (const key of this.#choices.keys()) {
			if (!groups.has(key)) {
				this.#choices.delete(key);
			}
		}

		return new Set([...this.#listNear(groups)].flatMap(([key, group]) => this.#chooseOf(key, group, entries)));
	}

	/** Entries of the own data centre that share its agents with this one. */
	#listEntries(members: readonly Member[]): string[] {
		const {name, dataCentre} = this.#viewer;
		const others = members
			.filter(member => member.role === 'entry' && member.state === 'live' && member.dataCentre === dataCentre)
			.map(({id}) => id);
		return [...new Set([...others, name])].toSorted((a, b) => a.localeCompare(b));
	}

	/** Groups of the own data centre, and for each service those of a few others. */
	#listNear(groups: ReadonlyMap<string, Group>): Map<string, Group> {
		const {dataCentre: home, region: homeRegion} = this.#viewer;
		const far = [...groups.values()].filter(({dataCentre}) => dataCentre !== home);
		return new Map([...groups].filter(([, {dataCentre, service}]) => {
			const others = far.filter(group => group.service === service);
			const near = new Set(others.filter(({region}) => region === homeRegion).map(group => group.dataCentre));
			// Ranked by the own data centre's name, so that its entries share links to the same few.
			const ranked = orderByRank(`far/${home}`, others.map(group => group.dataCentre));
			const chosen = [...ranked.filter(name => near.has(name)), ...ranked.filter(name => !near.has(name))].slice(0, farDataCentres);
			return dataCentre === home || chosen.includes(dataCentre);
		}));
	}

	#chooseOf(key: string, {dataCentre, agents}: Group, entries: string[]): string[] {
		const signature = JSON.stringify([entries, agents]);
		const known = this.#choices.get(key);
		if (known?.signature === signature) {
			return known.chosen;
		}

		const degree = dataCentre === this.#viewer.dataCentre ? defaultDegree : farDegree;
		const chosen = findSubset(this.#viewer.name, entries, agents, {degree});
		this.#choices.set(key, {signature, chosen});
		return chosen;
	}
}

/** Live agents by data centre and service. */
function groupAgents(members: readonly Member[]): Map<string, Group> {
	const groups = new Map<string, Group>();
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
