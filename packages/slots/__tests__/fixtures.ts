/** Hosts with one coordinator and message latency between them. */
import {
	RationDesk, RationHome, type RationFor, type SlotDemand, type Want,
} from '../src/index.js';

/** Latency of a message between two hosts, in milliseconds. */
export const messageDelayMs = 1;

export type LinkSwitches = {
	/** The coordinator is linked. */
	isLinked: boolean;
	/** Demands are delivered. */
	passesDemands: boolean;
	/** Allocations are delivered. */
	passesRations: boolean;
};

/** Creates a coordinator of endpoints with six slots and a client for each host. */
export function createHosts(names: readonly string[]) {
	const switches: LinkSwitches = {isLinked: true, passesDemands: true, passesRations: true};
	const clients = new Map<string, RationDesk>();
	const send = (allocations: readonly RationFor[]) => {
		for (const {host, ration} of allocations) {
			setTimeout(() => {
				if (switches.passesRations) {
					clients.get(host)?.take(ration);
				}
			}, messageDelayMs);
		}
	};

	const coordinator = new RationHome(send);
	const deliver = (host: string, demand: SlotDemand) => {
		coordinator.take(host, demand, 6);
	};

	for (const name of names) {
		clients.set(name, new RationDesk({
			send(demand) {
				setTimeout(() => {
					if (switches.passesDemands) {
						deliver(name, demand);
					}
				}, messageDelayMs);
				return switches.isLinked;
			},
			isUsable: () => switches.isLinked,
			findFreePart: () => 1,
		}));
	}

	return {coordinator, clients, switches};
}

export function createWant(count: number, changes: Partial<Want> = {}): Want {
	return {
		urgency: 1, dueInMs: 1000, count, ...changes,
	};
}
