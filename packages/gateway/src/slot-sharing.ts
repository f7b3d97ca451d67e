/**
 * Shares the slots of endpoints with other hosts: asks the homes of those that are contended, and answers for those whose home this host is.
 */
import type {LiveHost} from '@wasabiusher/batches';
import type {EndpointDirectory, SlotLimits} from '@wasabiusher/direct';
import type {Link, Message} from '@wasabiusher/link';
import type {Log, Random} from '@wasabiusher/shared';
import {
	chooseHome, listHomeCandidates, RationDesk, RationHome, type HomeCandidate, type RationFor, type SlotDemand,
} from '@wasabiusher/slots';
import {HostLinks} from './host-links.js';

/** How often homes are chosen anew, in milliseconds: hosts that are silent or late are noticed within a second. */
const chooseMs = 500;

export type SlotSharingSettings = {
	/** Name of this host. */
	host: string;
	directory: EndpointDirectory;
	random: Random;
	log: Log;
	listHosts(): LiveHost[];
	/** The key that hosts prove to each other; undefined until it is known. */
	findKey(): string | undefined;
};

/** Counts since the start. */
export type SharingCounts = Readonly<Record<
	'demands' | 'rations' | 'lateRations' | 'unanswered' | 'demandsTaken' | 'lateDemands' | 'rationsGiven' | 'linksOpened' | 'messagesSent' | 'linksRefused', number
>>;

/** Both sides of rations on one host. */
export class SlotSharing {
	readonly desk: RationDesk;
	readonly home: RationHome;
	readonly links: HostLinks;
	readonly #settings: SlotSharingSettings;
	readonly #limits: SlotLimits;
	/** Links of other hosts to this one, by their names; the newest of each. */
	readonly #askers = new Map<string, Link>();
	readonly #homes = new Map<string, HomeCandidate | undefined>();
	#candidates: HomeCandidate[] = [];
	#chosenAt = Number.NEGATIVE_INFINITY;

	constructor(settings: SlotSharingSettings) {
		this.#settings = settings;
		const {host, random, log, findKey, directory} = settings;
		this.links = new HostLinks({
			host, random, log, findKey, onMessage: message => {
				this.#take(message);
			},
			onUp: () => {
				this.desk.tick();
			},
		});
		this.home = new RationHome(rations => {
			this.#tell(rations);
		});
		this.desk = new RationDesk({
			send: demand => this.#send(demand),
			isUsable: endpoint => this.#isUsable(endpoint),
			findFreePart: endpoint => this.#limits.findFreePart(endpoint),
		});
		this.#limits = directory.shareSlots(this.desk);
	}

	/** What was asked, answered and ignored on both sides, and messages and links; each only grows. */
	get counts(): SharingCounts {
		const {demands, rations, lateRations, unanswered} = this.desk.counts;
		const {demands: demandsTaken, lateDemands, rations: rationsGiven} = this.home.counts;
		const {opened: linksOpened, sent: messagesSent, unopened: linksRefused} = this.links.counts;
		return {
			demands, rations, lateRations, unanswered, demandsTaken, lateDemands, rationsGiven, linksOpened, messagesSent, linksRefused,
		};
	}

	/** Takes a demand of another host that has come on its link. */
	takeDemand(link: Link, demand: SlotDemand): void {
		this.#askers.set(link.peer, link);
		this.#demand(link.peer, demand);
	}

	/** Forgets a link of another host; what was given to it ends by itself. */
	forget(link: Link): void {
		if (this.#askers.get(link.peer) === link) {
			this.#askers.delete(link.peer);
		}
	}

	/** Looks after homes, demands and links; to be called each 50 ms or so. */
	tick(): void {
		const now = performance.now();
		if (now - this.#chosenAt >= chooseMs) {
			this.#chosenAt = now;
			this.#learnHosts();
			this.home.sweep();
			this.links.sweep();
		}

		this.#limits.tick();
		this.desk.tick();
	}

	close(): void {
		this.links.close();
	}

	#learnHosts(): void {
		const live = this.#settings.listHosts();
		const candidates = listHomeCandidates(live);
		const isSame = candidates.length === this.#candidates.length && candidates.every(({host, address}, i) => host === this.#candidates[i]!.host && address === this.#candidates[i]!.address);
		if (!isSame) {
			this.#candidates = candidates;
			this.#homes.clear();
		}
	}

	#findHome(endpoint: string): HomeCandidate | undefined {
		if (!this.#homes.has(endpoint)) {
			this.#homes.set(endpoint, chooseHome(endpoint, this.#settings.directory.get(endpoint)?.dataCentre ?? '', this.#candidates));
		}

		return this.#homes.get(endpoint);
	}

	#isUsable(endpoint: string): boolean {
		const home = this.#findHome(endpoint);
		return home !== undefined && (home.host === this.#settings.host || this.links.isUsable(home.address));
	}

	#send(demand: SlotDemand): boolean {
		const home = this.#findHome(demand.endpoint);
		if (!home) {
			return false;
		}

		if (home.host === this.#settings.host) {
			this.#demand(home.host, demand);
			return true;
		}

		return this.links.send(home.address, {kind: 'slot-demand', demand});
	}

	/** A demand for an endpoint that is not known here gets no answer; who asks then goes by what it sees itself. */
	#demand(host: string, demand: SlotDemand): void {
		const slots = this.#settings.directory.get(demand.endpoint)?.slots;
		if (slots !== undefined) {
			this.home.take(host, demand, slots);
		}
	}

	#take(message: Message): void {
		if (message.kind === 'slot-ration') {
			this.desk.take(message.ration);
		}
	}

	#tell(rations: readonly RationFor[]): void {
		for (const {host, ration} of rations) {
			if (host === this.#settings.host) {
				this.desk.take(ration);
			} else {
				this.#askers.get(host)?.send({kind: 'slot-ration', ration});
			}
		}
	}
}
