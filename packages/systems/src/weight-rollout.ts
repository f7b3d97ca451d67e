/**
 * Brings new versions of models to all endpoints of a service, in waves.
 *
 * Run by whoever holds the lease of the service's orders. All that it goes by is what endpoints report and what
 * the weight store lists, so another holder goes on from where the last one was: what was fetched is asked for
 * again, which is soon answered. An endpoint counts as done when it reports the version, never by an order.
 */
import {planWave, type Replica, type WavePlan} from '@wasabiusher/decisions';
import type {EndpointStatus, Message, MessageOf} from '@wasabiusher/link';
import type {WeightStore} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';
import {
	createProgress, applyFailure, applyReport, isStuck, type Progress,
} from './rollout-progress.js';

/** An endpoint as control sees it. */
export type ControlledEndpoint = {
	/** Name of its agent. */
	agent: string;
	isUp: boolean;
	status: EndpointStatus;
};

/** The right to give orders; a `LeaseHolder` has this shape. */
export type OrderLease = {readonly fence: number; holds(): boolean};

export type WeightRolloutSettings = {
	service: string;
	weights: WeightStore;
	lease: OrderLease;
	log: Log;
	/** Fetches that the weight store serves at once at full speed. */
	storeStreams?: number;
	/** Endpoints of the service that this process has links to. */
	listEndpoints(): ControlledEndpoint[];
	/** Sends to an agent by name; false if it has no link at present. */
	send(agent: string, message: Message): boolean;
};

/** How the rollout of one version stands. */
export type RolloutProgress = {
	service: string;
	model: string;
	version: number;
	/** Endpoints by their state. */
	counts: Record<Replica['state'], number>;
	/** Endpoints that are left at an older version, and why. */
	stuck: Array<{agent: string; detail: string}>;
	/** Since the version was seen, in milliseconds, or until it was everywhere. */
	elapsedMs: number;
	isDone: boolean;
};

/** Fetches at once by default: enough to use a store's rate whole, few enough that the first ones soon end. */
const defaultStoreStreams = 4;

/** How often the weight store is asked for new versions, in milliseconds: a twentieth of the 17 s that a rollout may take. */
const versionPollIntervalMs = 1000;

/** Longest wait for the answer to an order, in milliseconds; the agent's own limit towards the engine is 30 s. */
const orderTimeoutMs = 35_000;

/** Time in which interactive demand is mostly forgotten, in milliseconds, so that a pause of a second lends nothing. */
const interactiveDecayMs = 20_000;

type Rollout = {
	model: string;
	version: number;
	seenAt: number;
	doneAt?: number;
	progress: Map<string, Progress>;
};

type PendingOrder = {rollout: Rollout; agent: string; kind: 'prefetch' | 'load'; sentAt: number};

/** The rollouts of one service. */
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

	/** Reads what is new and orders what is due; does nothing without the lease. Never rejects. */
	async tick(): Promise<void> {
		if (!this.#settings.lease.holds()) {
			this.#reset();
			return;
		}

		await this.#readVersions();
		this.#plan();
	}

	/** An agent has carried out an order, or not. */
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

	/** Whether an endpoint carries out an order of a rollout at present. */
	isOrdered(agent: string): boolean {
		return [...this.#orders.values()].some(order => order.agent === agent);
	}

	/** The newest version of a model that the weight store has shown. */
	findVersion(model: string): number | undefined {
		return this.#rollouts.get(model)?.version;
	}

	/** How all rollouts stand; empty without the lease. */
	describe(): RolloutProgress[] {
		const now = performance.now();
		return [...this.#rollouts.values()].map(({model, version, seenAt, doneAt, progress}) => {
			const counts: RolloutProgress['counts'] = {
				old: 0, fetching: 0, fetched: 0, swapping: 0, current: 0,
			};
			for (const {replica} of progress.values()) {
				counts[replica.state] += 1;
			}

			const stuck = [...progress].filter(([, {replica}]) => isStuck(replica)).map(([agent, {detail}]) => ({agent, detail}));
			return {
				service: this.#settings.service, model, version, counts, stuck, elapsedMs: (doneAt ?? now) - seenAt, isDone: doneAt !== undefined,
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

	/** A version only ever goes up; a newer one takes the place of a rollout under way. */
	#addVersion(model: string, version: number): void {
		const known = this.#rollouts.get(model);
		if (!known || version > known.version) {
			this.#rollouts.set(model, {
				model, version, seenAt: performance.now(), progress: new Map(),
			});
		}
	}

	#plan(): void {
		// Each order asks again, since the lease may lapse between two of them.
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
				// Engines say nothing of serving weights to one another.
				peerStreams: 0,
				interactiveEndpoints: this.#interactiveEndpoints,
			}, performance.now()));
		}
	}

	/** Endpoints that interactive callers keep busy: what they use now, or a little less than what they used before. */
	#updateInteractive(endpoints: readonly ControlledEndpoint[]): void {
		const used = endpoints.reduce((sum, {status}) => sum + ((status.interactive ?? 0) / Math.max(1, status.limit)), 0);
		const now = performance.now();
		this.#interactiveEndpoints = Math.max(used, this.#interactiveEndpoints * Math.exp(-(now - this.#interactiveAt) / interactiveDecayMs));
		this.#interactiveAt = now;
	}

	/** Takes over what endpoints report; one that has come, or come back with an older version, begins anew. */
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
				model: rollout.model, version: rollout.version, endpoints: rollout.progress.size, elapsedMs: Math.round(rollout.doneAt - rollout.seenAt),
			});
		}
	}

	/** An endpoint that swaps another of its models is out for this one too. */
	#listReplicas(rollout: Rollout): Replica[] {
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
			// A swap that is done shows in a status; until then the endpoint is not asked again.
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

	/** The answer to an order may be lost with the link that would have brought it. */
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

	/** Another holder goes on; what is known here would be old when the lease comes back. */
	#reset(): void {
		this.#rollouts.clear();
		this.#orders.clear();
		this.#versionsReadAt = Number.NEGATIVE_INFINITY;
	}
}
