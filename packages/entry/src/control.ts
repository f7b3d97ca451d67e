/**
 * Controls the engines of each model service: the entry that holds the lease of a service sends orders to its engines.
 *
 * There is one lease per service rather than per model: an engine compares all orders by a single fencing token, so all
 * tokens for that engine must come from one lease. Entries compete for the leases; no host is dedicated to control.
 *
 * ```ts
 * const control = createControl({name, tables, weights, random, log, listEndpoints, send});
 * control.start();                    // when links can come up
 * control.onMessage(agent, message);  // each message from an agent; kinds other than 'ordered' are ignored
 * control.describe();                 // rollouts, for `status`
 * await control.stop();               // releases the leases
 * ```
 */
import type {EndpointStatus, Message} from '@wasabiusher/link';
import type {TableService, WeightStore} from '@wasabiusher/backends';
import {LeaseHolder, TakeoverRateLimit} from '@wasabiusher/record';
import {orderByRank, type Log, type Random} from '@wasabiusher/shared';
import {
	PlacementRunner, WeightRollout, type ControlledEndpoint, type ModelDemand, type RolloutProgress,
} from '@wasabiusher/systems';

/**
 * Number of entries per data centre that compete for a lease. If all 1,700 entries read its row every 2 s, a service
 * would cause 850 reads per second. Three tolerate one dead and one lagging candidate.
 */
export const candidatesPerDataCentre = 3;

/** Interval between checks of each service, in milliseconds; replies to orders are handled immediately. */
const tickMs = 250;

/** An endpoint known to this entry, as in the dispatcher's table. */
export type KnownEndpoint = {id: string; isUp: boolean; status?: EndpointStatus};

export type ControlSettings = {
	/** Name of this process; the holder's name in the leases. */
	name: string;
	tables: TableService;
	weights: WeightStore;
	random: Random;
	log: Log;
	/** Names of the live entries of this data centre; if absent, this entry competes for every lease. */
	listEntries?(): readonly string[];
	/** All endpoints known to this entry. */
	listEndpoints(): Iterable<KnownEndpoint>;
	/** Requests queued here by model of a service; engines are moved between models only if this is given. */
	listWaiting?(service: string): Iterable<ModelDemand>;
	/** Sends a message to an agent by name; returns false if there is no link to it. */
	send(agent: string, message: Message): boolean;
};

/** Control as seen by the entry. */
export type Control = {
	start(): void;
	/** Stops sending orders and releases the leases. */
	stop(): Promise<void>;
	onMessage(agent: string, message: Message): void;
	/** Rollouts of the services whose lease this entry holds. */
	describe(): RolloutProgress[];
};

type Shard = {lease: LeaseHolder; rollout: WeightRollout; placement?: PlacementRunner};

/** Creates the control of an entry. */
export function createControl(settings: ControlSettings): Control {
	return new ShardedControl(settings);
}

class ShardedControl implements Control {
	readonly #settings: ControlSettings;
	readonly #shards = new Map<string, Shard>();
	readonly #pace = new TakeoverRateLimit();
	#timer: NodeJS.Timeout | undefined;

	constructor(settings: ControlSettings) {
		this.#settings = settings;
	}

	start(): void {
		this.#timer ??= setInterval(() => {
			this.#tick();
		}, tickMs);
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		this.#timer = undefined;
		const shards = [...this.#shards.values()];
		this.#shards.clear();
		await Promise.all(shards.map(async ({lease}) => lease.release()));
	}

	onMessage(agent: string, message: Message): void {
		if (message.kind === 'ordered') {
			for (const {rollout, placement} of this.#shards.values()) {
				rollout.receive(agent, message);
				placement?.receive(agent, message);
			}
		}
	}

	describe(): RolloutProgress[] {
		return [...this.#shards.values()].flatMap(({rollout}) => rollout.describe());
	}

	#tick(): void {
		for (const service of this.#listModelServices()) {
			if (!this.#shards.has(service)) {
				this.#shards.set(service, this.#openShard(service));
			}
		}

		for (const [service, {lease, rollout, placement}] of this.#shards) {
			this.#updateCandidacy(service, lease);
			void rollout.tick();
			placement?.tick();
		}
	}

	/** Competes for a lease while this entry is a candidate. A holder that is no longer a candidate keeps the lease, since successors would have to wait for it to expire. */
	#updateCandidacy(service: string, lease: LeaseHolder): void {
		const {name, listEntries} = this.#settings;
		const entries = [...new Set([...listEntries?.() ?? [], name])];
		const isCandidate = !listEntries || orderByRank(`orders/${service}`, entries).slice(0, candidatesPerDataCentre).includes(name);
		if (isCandidate || lease.holds()) {
			lease.start();
		} else {
			lease.stop();
		}
	}

	/** Services whose endpoints serve models; endpoints of plain services accept no orders. */
	#listModelServices(): Set<string> {
		const services = new Set<string>();
		for (const {status} of this.#settings.listEndpoints()) {
			if (status && status.models.length > 0) {
				services.add(status.service);
			}
		}

		return services;
	}

	#openShard(service: string): Shard {
		const {name, tables, weights, random, log, send} = this.#settings;
		const lease = new LeaseHolder({
			tables, shard: `orders/${service}`, holder: name, random, log, takeoverLimit: this.#pace,
		});
		const rollout = new WeightRollout({
			service,
			weights,
			lease,
			log,
			// Excludes engines that are being moved: concurrent orders to one engine would conflict.
			listEndpoints: () => this.#listEndpointsOf(service).filter(({agent}) => !placement?.isMoving(agent)),
			send,
		});
		const placement = this.#createPlacement(service, lease, rollout);
		return {lease, rollout, placement};
	}

	#createPlacement(service: string, lease: LeaseHolder, rollout: WeightRollout): PlacementRunner | undefined {
		const {log, send, listWaiting} = this.#settings;
		return listWaiting && new PlacementRunner({
			service,
			lease,
			log,
			send,
			listEndpoints: () => this.#listEndpointsOf(service),
			listWaiting: () => listWaiting(service),
			isOrdered: agent => rollout.isOrdered(agent),
			findVersion: model => rollout.findVersion(model),
		});
	}

	#listEndpointsOf(service: string): ControlledEndpoint[] {
		return [...this.#settings.listEndpoints()].flatMap(({id, isUp, status}) => status?.service === service ? [{agent: id, isUp, status}] : []);
	}
}
