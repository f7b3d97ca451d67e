/** Six hosts with one home between them and messages that take a while. */
import {
	RationDesk, RationHome, type RationFor, type SlotDemand, type Want,
} from '../src/index.js';

/** Time of a message between two hosts, in milliseconds. */
export const wayMs = 1;

export type DeskSwitches = {
	/** The home is linked. */
	isLinked: boolean;
	/** Demands get through, and rations do. */
	passesDemands: boolean;
	passesRations: boolean;
};

/** A home and the desks that ask it about endpoints with six slots. */
export function createHosts(names: readonly string[]) {
	const switches: DeskSwitches = {isLinked: true, passesDemands: true, passesRations: true};
	const desks = new Map<string, RationDesk>();
	const tell = (rations: readonly RationFor[]) => {
		for (const {host, ration} of rations) {
			setTimeout(() => {
				if (switches.passesRations) {
					desks.get(host)?.take(ration);
				}
			}, wayMs);
		}
	};

	const home = new RationHome(tell);
	const deliver = (host: string, demand: SlotDemand) => {
		home.take(host, demand, 6);
	};

	for (const name of names) {
		desks.set(name, new RationDesk({
			send(demand) {
				setTimeout(() => {
					if (switches.passesDemands) {
						deliver(name, demand);
					}
				}, wayMs);
				return switches.isLinked;
			},
			isUsable: () => switches.isLinked,
			findFreePart: () => 1,
		}));
	}

	return {home, desks, switches};
}

export function createWant(count: number, changes: Partial<Want> = {}): Want {
	return {
		urgency: 1, dueInMs: 1000, count, ...changes,
	};
}
