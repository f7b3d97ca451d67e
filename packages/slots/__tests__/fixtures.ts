/** Hosts with one coordinator and message latency between them. */
import {
	AllocationClient, AllocationCoordinator, type HostAllocation, type SlotDemand, type QueuedWork,
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
	const clients = new Map<string, AllocationClient>();
	const send = (allocations: readonly HostAllocation[]) => {
		for (const {host, ration} of allocations) {
			setTimeout(() => {
				if (switches.passesRations) {
					clients.get(host)?.handleAllocation(ration);
				}
			}, messageDelayMs);
		}
	};

	const coordinator = new AllocationCoordinator(send);
	const deliver = (host: string, demand: SlotDemand) => {
		coordinator.handleDemand(host, demand, 6);
	};

	for (const name of names) {
		clients.set(name, new AllocationClient({
			send(demand) {
				setTimeout(() => {
					if (switches.passesDemands) {
						deliver(name, demand);
					}
				}, messageDelayMs);
				return switches.isLinked;
			},
			isCoordinatorAvailable: () => switches.isLinked,
			findDefaultLimit: () => 1,
		}));
	}

	return {coordinator, clients, switches};
}

export function createWant(count: number, changes: Partial<QueuedWork> = {}): QueuedWork {
	return {
		urgency: 1, dueInMs: 1000, count, ...changes,
	};
}
