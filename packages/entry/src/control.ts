/**
 * The control that an entry takes part in: orders to the engines of each model service, by whoever holds its lease.
 *
 * One lease a service, not one a model: an engine compares all orders by one fencing number, so all that may
 * order it must draw theirs from one lease. Every entry tries for each lease; no host is set aside for control.
 *
 * ```ts
 * const control = createControl({name, tables, weights, random, log, listEndpoints, send});
 * control.start();                    // once links may come up
 * control.onMessage(agent, message);  // each message from an agent; others than 'ordered' are ignored
 * control.describe();                 // rollouts, for `status`
 * await control.stop();               // gives the leases up
 * ```
 */
import type {EndpointStatus, Message} from '@wasabiusher/link';
import type {TableService, WeightStore} from '@wasabiusher/backends';
import {LeaseHolder, TakeOverPace} from '@wasabiusher/record';
import {orderByRank, type Log, type Random} from '@wasabiusher/shared';
import {
	PlacementRunner, WeightRollout, type ControlledEndpoint, type ModelDemand, type RolloutProgress,
} from '@wasabiusher/systems';

/**
 * Entries of a data centre that try for a lease; all of them would read its row every 2 s, which for 1,700 entries
 * are 850 reads a second a service. Three, as one may die and one lag.
 */
export const candidates = 3;

/** How often each service is looked at, in milliseconds; answers to orders are followed at once. */
const tickMs = 250;

/** An endpoint in view, as the dispatcher's table has it. */
export type ViewedEndpoint = {id: string; isUp: boolean; status?: EndpointStatus};

export type ControlSettings = {
	/** Name of this process, which holds the leases. */
	name: string;
	tables: TableService;
	weights: WeightStore;
	random: Random;
	log: Log;
	/** Names of the live entries of this data centre; without it this entry tries for each lease. */
	listEntries?(): readonly string[];
	/** All endpoints in view. */
	listEndpoints(): Iterable<ViewedEndpoint>;
	/** Requests of a service's models that wait here; engines are moved between models only if this is given. */
	listWaiting?(service: string): Iterable<ModelDemand>;
	/** Sends to an agent by name; false if it has no link at present. */
	send(agent: string, message: Message): boolean;
};

/** What an entry starts, feeds and stops. */
export type Control = {
	start(): void;
	/** Gives no more orders and gives the leases up. */
	stop(): Promise<void>;
	onMessage(agent: string, message: Message): void;
	/** Rollouts of the services whose lease this entry holds. */
	describe(): RolloutProgress[];
};

type Shard = {lease: LeaseHolder; rollout: WeightRollout; placement?: PlacementRunner};

/** Creates the control of one entry. */
export function createControl(settings: ControlSettings): Control {
	return new ShardedControl(settings);
}

class ShardedControl implements Control {
	readonly #settings: ControlSettings;
	readonly #shards = new Map<string, Shard>();
	readonly #pace = new TakeOverPace();
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
			this.#followCandidacy(service, lease);
			void rollout.tick();
			placement?.tick();
		}
	}

	/** A holder that is no longer a candidate goes on until it loses the lease, which would otherwise have to lapse. */
	#followCandidacy(service: string, lease: LeaseHolder): void {
		const {name, listEntries} = this.#settings;
		const entries = [...new Set([...listEntries?.() ?? [], name])];
		const isCandidate = !listEntries || orderByRank(`orders/${service}`, entries).slice(0, candidates).includes(name);
		if (isCandidate || lease.holds()) {
			lease.start();
		} else {
			lease.stop();
		}
	}

	/** Services whose endpoints hold models; plain ones take no orders. */
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
			tables, shard: `orders/${service}`, holder: name, random, log, pace: this.#pace,
		});
		const rollout = new WeightRollout({
			service,
			weights,
			lease,
			log,
			// Two orders about one engine would cross.
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
