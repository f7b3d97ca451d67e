/**
 * Shares the slots of endpoints among hosts: requests allocations for contended endpoints from their coordinator hosts, and allocates the slots of the endpoints that this host coordinates.
 */
import type {LiveHost} from '@wasabiusher/batches';
import type {EndpointDirectory, SlotLimits} from '@wasabiusher/direct';
import type {Link, Message} from '@wasabiusher/link';
import type {Log, Random} from '@wasabiusher/shared';
import {
	chooseCoordinator, listCoordinatorCandidates, AllocationClient, AllocationCoordinator, type CoordinatorCandidate, type HostAllocation, type SlotDemand,
} from '@wasabiusher/slots';
import {HostLinks} from './host-links.js';

/** Interval at which the candidates for coordinators are refreshed, in milliseconds; hosts that are unresponsive or have a high event-loop lag are detected within 1 s. */
const refreshIntervalMs = 500;

export type SlotSharingSettings = {
	/** Name of this host. */
	host: string;
	directory: EndpointDirectory;
	random: Random;
	log: Log;
	listHosts(): LiveHost[];
	/** Returns the key by which hosts authenticate to each other; undefined until it is known. */
	findKey(): string | undefined;
};

/** Counts since the start, by the names under which they are logged and exported. */
export type SharingCounts = Readonly<Record<
	'demands' | 'rations' | 'lateRations' | 'unanswered' | 'demandsTaken' | 'lateDemands' | 'rationsGiven' | 'linksOpened' | 'messagesSent' | 'linksRefused', number
>>;

/** Client and coordinator of slot allocations on one host. */
export class SlotSharing {
	readonly client: AllocationClient;
	readonly coordinator: AllocationCoordinator;
	readonly links: HostLinks;
	readonly #settings: SlotSharingSettings;
	readonly #limits: SlotLimits;
	/** Newest link from each other host to this one, by host name. */
	readonly #inboundLinks = new Map<string, Link>();
	readonly #coordinators = new Map<string, CoordinatorCandidate | undefined>();
	#candidates: CoordinatorCandidate[] = [];
	#refreshedAt = Number.NEGATIVE_INFINITY;

	constructor(settings: SlotSharingSettings) {
		this.#settings = settings;
		const {host, random, log, findKey, directory} = settings;
		this.links = new HostLinks({
			host, random, log, findKey, onMessage: message => {
				this.#handleMessage(message);
			},
			onUp: () => {
				this.client.tick();
			},
		});
		this.coordinator = new AllocationCoordinator(allocations => {
			this.#sendAllocations(allocations);
		});
		this.client = new AllocationClient({
			send: demand => this.#sendDemand(demand),
			isCoordinatorAvailable: endpoint => this.#isUsable(endpoint),
			findDefaultLimit: endpoint => this.#limits.findDefaultLimit(endpoint),
		});
		this.#limits = directory.shareSlots(this.client);
	}

	/** Demands, allocations and ignored messages of both sides, and messages and links; each only grows. */
	get counts(): SharingCounts {
		const {demands, rations, lateRations, unanswered} = this.client.counts;
		const {demands: demandsTaken, lateDemands, rations: rationsGiven} = this.coordinator.counts;
		const {opened: linksOpened, sent: messagesSent, unopened: linksRefused} = this.links.counts;
		return {
			demands, rations, lateRations, unanswered, demandsTaken, lateDemands, rationsGiven, linksOpened, messagesSent, linksRefused,
		};
	}

	/** Handles a demand that another host has sent on its link. */
	handleDemand(link: Link, demand: SlotDemand): void {
		this.#inboundLinks.set(link.peer, link);
		this.#allocate(link.peer, demand);
	}

	/** Removes a closed link of another host. The slots allocated to that host expire by themselves. */
	removeLink(link: Link): void {
		if (this.#inboundLinks.get(link.peer) === link) {
			this.#inboundLinks.delete(link.peer);
		}
	}

	/** Updates coordinators, demands and links. To be called about every 50 ms. */
	tick(): void {
		const now = performance.now();
		if (now - this.#refreshedAt >= refreshIntervalMs) {
			this.#refreshedAt = now;
			this.#refreshCandidates();
			this.coordinator.sweep();
			this.links.sweep();
		}

		this.#limits.tick();
		this.client.tick();
	}

	close(): void {
		this.links.close();
	}

	#refreshCandidates(): void {
		const hosts = this.#settings.listHosts();
		const candidates = listCoordinatorCandidates(hosts);
		const isSame = candidates.length === this.#candidates.length && candidates.every(({host, address}, i) => host === this.#candidates[i]!.host && address === this.#candidates[i]!.address);
		if (!isSame) {
			this.#candidates = candidates;
			this.#coordinators.clear();
		}
	}

	#findCoordinator(endpoint: string): CoordinatorCandidate | undefined {
		if (!this.#coordinators.has(endpoint)) {
			this.#coordinators.set(endpoint, chooseCoordinator(endpoint, this.#settings.directory.get(endpoint)?.dataCentre ?? '', this.#candidates));
		}

		return this.#coordinators.get(endpoint);
	}

	#isUsable(endpoint: string): boolean {
		const coordinator = this.#findCoordinator(endpoint);
		return coordinator !== undefined && (coordinator.host === this.#settings.host || this.links.isUsable(coordinator.address));
	}

	#sendDemand(demand: SlotDemand): boolean {
		const coordinator = this.#findCoordinator(demand.endpoint);
		if (!coordinator) {
			return false;
		}

		if (coordinator.host === this.#settings.host) {
			this.#allocate(coordinator.host, demand);
			return true;
		}

		return this.links.send(coordinator.address, {kind: 'slot-demand', demand});
	}

	/** Passes a demand to the coordinator. A demand for an endpoint that is unknown here gets no answer; the requesting host then limits itself by its own observations. */
	#allocate(host: string, demand: SlotDemand): void {
		const slots = this.#settings.directory.get(demand.endpoint)?.slots;
		if (slots !== undefined) {
			this.coordinator.handleDemand(host, demand, slots);
		}
	}

	#handleMessage(message: Message): void {
		if (message.kind === 'slot-ration') {
			this.client.handleAllocation(message.ration);
		}
	}

	#sendAllocations(allocations: readonly HostAllocation[]): void {
		for (const {host, ration} of allocations) {
			if (host === this.#settings.host) {
				this.client.handleAllocation(ration);
			} else {
				this.#inboundLinks.get(host)?.send({kind: 'slot-ration', ration});
			}
		}
	}
}
