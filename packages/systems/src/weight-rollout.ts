/**
 * Rolls out new versions of models to all endpoints of a service, in waves.
 *
 * The holder of the lease on the service's orders runs it. Its only inputs are what endpoints report and what
 * the weight store lists, so another holder continues where the previous one stopped: fetches are ordered
 * again, and those already complete are answered quickly. An endpoint counts as done when it reports the version, not when an order is answered.
 */
import {planWave, type WeightReplica, type WavePlan} from '@wasabiusher/decisions';
import type {EndpointStatus, Message, MessageOf} from '@wasabiusher/link';
import type {WeightStore} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';
import {
	createProgress, applyFailure, applyReport, isStuck, type Progress,
} from './rollout-progress.js';

/** An endpoint as the control of its service knows it. */
export type ControlledEndpoint = {
	/** Name of its agent. */
	agent: string;
	isUp: boolean;
	status: EndpointStatus;
};

/** The lease that allows this process to send orders; a `LeaseHolder` satisfies this type. */
export type OrderLease = {readonly fence: number; holds(): boolean};

export type WeightRolloutSettings = {
	service: string;
	weights: WeightStore;
	lease: OrderLease;
	log: Log;
	/** Number of concurrent fetches that the weight store serves at full speed. */
	storeStreams?: number;
	/** Endpoints of the service that this process has links to. */
	listEndpoints(): ControlledEndpoint[];
	/** Sends to an agent by name; false if it has no link at present. */
	send(agent: string, message: Message): boolean;
};

/** Progress of the rollout of one version. */
export type RolloutProgress = {
	service: string;
	model: string;
	version: number;
	/** Number of endpoints in each state. */
	counts: Record<WeightReplica['state'], number>;
	/** Endpoints that stay at an older version, with the reason. */
	stuck: Array<{agent: string; detail: string}>;
	/** Time since the version was found in the weight store, in milliseconds; once the rollout is done, its duration. */
	elapsedMs: number;
	isDone: boolean;
};

/** Default number of concurrent fetches: enough to use the store's full rate, few enough that the first ones finish soon. */
const defaultStoreStreams = 4;

/** Interval at which the weight store is polled for new versions, in milliseconds: about a twentieth of the 17 s that a rollout may take. */
const versionPollIntervalMs = 1000;

/** Maximum wait for the answer to an order, in milliseconds; above the agent's own 30 s timeout for the engine. */
const orderTimeoutMs = 35_000;

/** Time constant with which recorded interactive demand decays, in milliseconds, so that a pause of one second does not release endpoints. */
const interactiveDecayMs = 20_000;

type Rollout = {
	model: string;
	version: number;
	discoveredAt: number;
	doneAt?: number;
	progress: Map<string, Progress>;
};

type PendingOrder = {rollout: Rollout; agent: string; kind: 'prefetch' | 'load'; sentAt: number};

/** Runs the rollouts of one service. */
export class WeightRollout {
	readonly #settings: WeightRolloutSettings;
	readonly #rollouts = new Map<string, Rollout>();
	readonly #orders = new Map<string, PendingOrder>();
	#orderCount = 0;
	#interactiveEndpoints = 0;
	#interactiveAt = Number.NEGATIVE_INFINITY;
	#versionsReadAt = Number.NEGATIVE_INFINITY;
	#isReading = false;
	#isStoreDown = false;

	constructor(settings: WeightRolloutSettings) {
		this.#settings = settings;
	}

	/** Reads new versions and sends the orders that are due; does nothing without the lease. Never rejects. */
	async tick(): Promise<void> {
		if (!this.#settings.lease.holds()) {
			this.#reset();
			return;
		}

		await this.#readVersions();
		this.#plan();
	}

	/** Handles an agent's answer to an order. */
	receive(agent: string, {order: id, outcome, detail}: MessageOf<'ordered'>): void {
		const order = this.#orders.get(id);
		if (order?.agent !== agent) {
			return;
		}

		this.#orders.delete(id);
		if (outcome === 'done') {
			this.#finishOrder(order);
		} else {
			this.#failOrder(order, detail);
		}

		this.#plan();
	}

	/** Returns whether an order of a rollout is pending at an endpoint. */
	isOrdered(agent: string): boolean {
		return [...this.#orders.values()].some(order => order.agent === agent);
	}

	/** Returns the newest version of a model that the weight store has listed; undefined if there is none. */
	findVersion(model: string): number | undefined {
		return this.#rollouts.get(model)?.version;
	}

	/** Returns the progress of all rollouts; empty without the lease. */
	describe(): RolloutProgress[] {
		const now = performance.now();
		return [...this.#rollouts.values()].map(({model, version, discoveredAt, doneAt, progress}) => {
			const counts: RolloutProgress['counts'] = {
				old: 0, fetching: 0, fetched: 0, swapping: 0, current: 0,
			};
			for (const {replica} of progress.values()) {
				counts[replica.state] += 1;
			}

			const stuck = [...progress].filter(([, {replica}]) => isStuck(replica)).map(([agent, {detail}]) => ({agent, detail}));
			return {
				service: this.#settings.service, model, version, counts, stuck, elapsedMs: (doneAt ?? now) - discoveredAt, isDone: doneAt !== undefined,
			};
		});
	}

	async #readVersions(): Promise<void> {
		const now = performance.now();
		if (this.#isReading || now - this.#versionsReadAt < versionPollIntervalMs) {
			return;
		}

		const {weights, log, service} = this.#settings;
		this.#versionsReadAt = now;
		this.#isReading = true;
		try {
			for (const {model, version} of await weights.listVersions()) {
				this.#addVersion(model, version);
			}

			this.#isStoreDown = false;
		} catch (error) {
			if (!this.#isStoreDown) {
				log.warn('weight_store_unreachable', {service, reason: describeError(error)});
			}

			this.#isStoreDown = true;
		} finally {
			this.#isReading = false;
		}
	}

	/** Starts the rollout of a newer version, which replaces a running one; older versions are ignored. */
	#addVersion(model: string, version: number): void {
		const known = this.#rollouts.get(model);
		if (!known || version > known.version) {
			this.#rollouts.set(model, {
				model, version, discoveredAt: performance.now(), progress: new Map(),
			});
		}
	}

	#plan(): void {
		// Each order checks the lease again, since it may expire between two of them.
		if (!this.#settings.lease.holds()) {
			return;
		}

		this.#expireOrders();
		const endpoints = this.#settings.listEndpoints().filter(({isUp, status}) => isUp && status.isHealthy && !status.isLeaving);
		this.#updateInteractive(endpoints);
		for (const rollout of this.#rollouts.values()) {
			this.#updateProgress(rollout, endpoints);
			this.#sendOrders(rollout, planWave(this.#listReplicas(rollout), {
				storeStreams: this.#settings.storeStreams ?? defaultStoreStreams,
				// Engines do not report whether they serve weights to each other.
				peerStreams: 0,
				interactiveEndpoints: this.#interactiveEndpoints,
			}, performance.now()));
		}
	}

	/** Updates the number of endpoints that interactive callers occupy: the current use, or the decayed earlier one if that is higher. */
	#updateInteractive(endpoints: readonly ControlledEndpoint[]): void {
		const used = endpoints.reduce((sum, {status}) => sum + ((status.interactive ?? 0) / Math.max(1, status.limit)), 0);
		const now = performance.now();
		this.#interactiveEndpoints = Math.max(used, this.#interactiveEndpoints * Math.exp(-(now - this.#interactiveAt) / interactiveDecayMs));
		this.#interactiveAt = now;
	}

	/** Updates the progress from the reports of endpoints; a new endpoint, or one that reports an older version again, starts over. */
	#updateProgress(rollout: Rollout, endpoints: readonly ControlledEndpoint[]): void {
		const holders = new Map(endpoints.flatMap(({agent, status}) => {
			const loaded = status.models.find(({model}) => model === rollout.model);
			return loaded ? [[agent, loaded.version] as const] : [];
		}));
		for (const agent of rollout.progress.keys()) {
			if (!holders.has(agent)) {
				rollout.progress.delete(agent);
			}
		}

		for (const [agent, version] of holders) {
			const known = rollout.progress.get(agent) ?? createProgress(agent);
			rollout.progress.set(agent, applyReport(known, version, rollout.version));
		}

		this.#updateDone(rollout);
	}

	#updateDone(rollout: Rollout): void {
		const isDone = rollout.progress.size > 0 && [...rollout.progress.values()].every(({replica}) => replica.state === 'current');
		if (!isDone) {
			rollout.doneAt = undefined;
		} else if (rollout.doneAt === undefined) {
			rollout.doneAt = performance.now();
			this.#settings.log.info('rollout_done', {
				model: rollout.model, version: rollout.version, endpoints: rollout.progress.size, elapsedMs: Math.round(rollout.doneAt - rollout.discoveredAt),
			});
		}
	}

	/** Returns the replicas; an endpoint that swaps another of its models counts as swapping for this one too. */
	#listReplicas(rollout: Rollout): WeightReplica[] {
		const swapping = new Set([...this.#orders.values()].filter(({kind}) => kind === 'load').map(({agent}) => agent));
		return [...rollout.progress].map(([agent, {replica}]) => swapping.has(agent) ? {...replica, state: 'swapping'} : replica);
	}

	#sendOrders(rollout: Rollout, {fetches, swaps}: WavePlan): void {
		for (const {id, source} of fetches) {
			this.#send(rollout, id, 'prefetch', source);
		}

		for (const id of swaps) {
			this.#send(rollout, id, 'load');
		}
	}

	#send(rollout: Rollout, agent: string, kind: PendingOrder['kind'], source?: string): void {
		const {lease, send, service} = this.#settings;
		const {fence} = lease;
		const {model, version} = rollout;
		const known = rollout.progress.get(agent);
		if (!known || !lease.holds()) {
			return;
		}

		this.#orderCount += 1;
		const order = `${service}/${model}@${version}/${agent}/${fence}.${this.#orderCount}`;
		const isSent = send(agent, {
			kind: 'order', order, fence, body: {kind, model, version},
		});
		if (isSent) {
			this.#orders.set(order, {
				rollout, agent, kind, sentAt: performance.now(),
			});
			rollout.progress.set(agent, {...known, replica: {...known.replica, state: kind === 'prefetch' ? 'fetching' : 'swapping', source}});
		}
	}

	#finishOrder({rollout, agent, kind}: PendingOrder): void {
		const known = rollout.progress.get(agent);
		if (known) {
			// A completed swap shows in a status; until then no further order is sent to the endpoint.
			const isFetch = kind === 'prefetch';
			rollout.progress.set(agent, {
				...known, replica: {...known.replica, state: isFetch ? 'fetched' : 'swapping'}, swappedAt: isFetch ? undefined : performance.now(),
			});
		}
	}

	#failOrder({rollout, agent, kind}: PendingOrder, detail: string): void {
		const known = rollout.progress.get(agent);
		const {log} = this.#settings;
		log.warn('weight_order_failed', {
			agent, order: kind, model: rollout.model, version: rollout.version, detail,
		});
		if (known) {
			rollout.progress.set(agent, applyFailure(known, kind, detail));
		}
	}

	/** Fails orders without an answer, which may have been lost with the link. */
	#expireOrders(): void {
		const now = performance.now();
		const up = new Set(this.#settings.listEndpoints().filter(({isUp}) => isUp).map(({agent}) => agent));
		for (const [id, order] of this.#orders) {
			if (order.rollout.progress.get(order.agent)?.replica.state === 'current') {
				this.#orders.delete(id);
			} else if (now - order.sentAt > orderTimeoutMs || !up.has(order.agent)) {
				this.#orders.delete(id);
				this.#failOrder(order, 'no answer');
			}
		}
	}

	/** Clears all state when the lease is lost: another holder continues, and the state would be outdated when the lease is regained. */
	#reset(): void {
		this.#rollouts.clear();
		this.#orders.clear();
		this.#versionsReadAt = Number.NEGATIVE_INFINITY;
	}
}
