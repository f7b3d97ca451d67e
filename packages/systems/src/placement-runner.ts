/**
 * Moves engines between models as demand changes.
 *
 * The holder of the lease on the service's orders runs it, as with rollouts of weights. Its inputs are what endpoints report and
 * the requests queued at this entry; `decisions/placement` makes the choice. An engine that its operator has set up with several
 * models is not changed.
 */
import {
	DemandHistory, planPlacement, type Change, type Demand, type PlacedEndpoint,
} from '@wasabiusher/decisions';
import type {MessageOf} from '@wasabiusher/link';
import type {Log} from '@wasabiusher/shared';
import type {ControlledEndpoint, WeightRolloutSettings} from './weight-rollout.js';

/** Number of requests of one model that wait for an endpoint or run there. */
export type ModelDemand = {model: string; requests: number; interactive: number};

export type PlacementRunnerSettings = Pick<WeightRolloutSettings, 'service' | 'lease' | 'listEndpoints' | 'send'> & {
	log: Log;
	/** Returns the requests queued at entries that this process knows of. */
	listWaiting(): Iterable<ModelDemand>;
	/** Returns whether another order is pending at an endpoint. */
	isOrdered(agent: string): boolean;
	/** Returns the newest published version of a model; undefined if there is none. */
	findVersion(model: string): number | undefined;
};

/** Interval at which demand is measured and a plan is made, in milliseconds; demand changes over minutes. */
const planIntervalMs = 1000;

/** Time after which a change is abandoned, in milliseconds: two orders of 30 s each, with a margin. */
const changeTimeoutMs = 65_000;

/** Assumed time that an engine is unavailable during a change, in milliseconds, until one was measured: weights of about 100 GB at 10 GB/s. */
const initialCostMs = 10_000;

/** Fraction of the cost for a change to another adapter of the same model, whose weights are already loaded. */
const adapterCostRatio = 0.1;

/** Weight of the newest measurement in the smoothed cost. */
const costSmoothing = 0.3;

/**
 * A change of an engine's model that is in progress. The old model is unloaded first: an engine that is left between the two steps holds
 * no model, which the next holder of the lease detects and corrects.
 */
type Move = Change & {order: string; step: 'unload' | 'load'; startedAt: number};

/** Runs the placement of one service's models. */
export class PlacementRunner {
	readonly #settings: PlacementRunnerSettings;
	#history = new DemandHistory();
	readonly #moves = new Map<string, Move>();
	readonly #changedAt = new Map<string, number>();
	#costMs = initialCostMs;
	#plannedAt = Number.NEGATIVE_INFINITY;
	#orderCount = 0;

	constructor(settings: PlacementRunnerSettings) {
		this.#settings = settings;
	}

	/** Number of engines that are being changed. */
	get movingCount(): number {
		return this.#moves.size;
	}

	isMoving(agent: string): boolean {
		return this.#moves.has(agent);
	}

	/** Measures demand and sends the orders that are due; does nothing without the lease. */
	tick(): void {
		const now = performance.now();
		if (!this.#settings.lease.holds()) {
			this.#reset();
			return;
		}

		if (now - this.#plannedAt < planIntervalMs) {
			return;
		}

		this.#plannedAt = now;
		this.#expireMoves(now);
		const endpoints = this.#settings.listEndpoints().filter(({isUp, status}) => isUp && status.isHealthy && !status.isLeaving && status.models.length <= 1);
		for (const demand of this.#measure(endpoints)) {
			this.#history.record(demand, now);
		}

		const holders = endpoints.map(endpoint => this.#describeHolder(endpoint));
		const demands = this.#history.list().filter(({name}) => this.#settings.findVersion(name) !== undefined);
		for (const change of planPlacement(holders, demands, {costMs: (from, to) => this.#estimateCost(from, to)}, now)) {
			this.#begin(change, now);
		}
	}

	/** Handles an agent's answer to an order. */
	receive(agent: string, {order, outcome, detail}: MessageOf<'ordered'>): void {
		const move = this.#moves.get(agent);
		if (move?.order !== order) {
			return;
		}

		const now = performance.now();
		if (outcome !== 'done') {
			this.#settings.log.warn('placement_failed', {
				agent, from: move.from, to: move.to, step: move.step, detail,
			});
			this.#end(agent, now);
			return;
		}

		if (move.step === 'unload') {
			this.#load(move);
			return;
		}

		this.#costMs += costSmoothing * (now - move.startedAt - this.#costMs);
		this.#settings.log.info('placement_changed', {agent, from: move.from, to: move.to});
		this.#end(agent, now);
	}

	/** Returns the demand of each model, as a number of endpoints: requests that run and wait at endpoints that hold it, and requests queued at entries. */
	#measure(endpoints: readonly ControlledEndpoint[]): Demand[] {
		const demands = new Map<string, Demand>();
		const add = (name: string, total: number, interactive: number) => {
			const known = demands.get(name) ?? {name, total: 0, interactive: 0};
			demands.set(name, {name, total: known.total + total, interactive: known.interactive + interactive});
		};

		for (const {status} of endpoints) {
			for (const {model} of status.models) {
				const limit = Math.max(1, status.limit);
				add(model, (status.running + status.waiting) / limit, (status.interactive ?? 0) / limit);
			}
		}

		const limit = endpoints.reduce((sum, {status}) => sum + status.limit, 0) / Math.max(1, endpoints.length);
		for (const {model, requests, interactive} of this.#settings.listWaiting()) {
			add(model, requests / Math.max(1, limit), interactive / Math.max(1, limit));
		}

		return [...demands.values()];
	}

	#describeHolder({agent, status}: ControlledEndpoint): PlacedEndpoint {
		const move = this.#moves.get(agent);
		// A change in progress counts as done; otherwise another engine would be moved for the same demand.
		const holds = move?.to ?? status.models[0]?.model ?? '';
		return {
			id: agent,
			holds,
			// An engine that holds no model may be changed at any time.
			changedAt: holds === '' ? Number.NEGATIVE_INFINITY : this.#changedAt.get(agent) ?? Number.NEGATIVE_INFINITY,
			isChanging: move !== undefined || this.#settings.isOrdered(agent),
		};
	}

	#estimateCost(from: string, to: string): number {
		const isAdapter = from.split(':')[0] === to.split(':')[0];
		return isAdapter ? this.#costMs * adapterCostRatio : this.#costMs;
	}

	#begin(change: Change, now: number): void {
		const move: Move = {
			...change, order: '', step: 'unload', startedAt: now,
		};
		if (change.from === '') {
			this.#load(move);
		} else {
			this.#send(move, {kind: 'unload', model: change.from});
		}
	}

	#load(move: Move): void {
		const version = this.#settings.findVersion(move.to);
		if (version !== undefined) {
			this.#send({...move, step: 'load'}, {kind: 'load', model: move.to, version});
		}
	}

	#send(move: Move, body: MessageOf<'order'>['body']): void {
		const {lease, send, service} = this.#settings;
		const {fence} = lease;
		if (!lease.holds()) {
			return;
		}

		this.#orderCount += 1;
		const order = `${service}/placement/${move.id}/${fence}.${this.#orderCount}`;
		this.#moves.set(move.id, {...move, order});
		const isSent = send(move.id, {
			kind: 'order', order, fence, body,
		});
		if (!isSent) {
			this.#end(move.id, performance.now());
		}
	}

	/** Abandons changes without an answer, which may have been lost; the engine's status shows what it holds. */
	#expireMoves(now: number): void {
		for (const [agent, {startedAt}] of this.#moves) {
			if (now - startedAt > changeTimeoutMs) {
				this.#end(agent, now);
			}
		}
	}

	#end(agent: string, now: number): void {
		this.#moves.delete(agent);
		this.#changedAt.set(agent, now);
	}

	/** Clears all state when the lease is lost, since another holder continues. */
	#reset(): void {
		this.#moves.clear();
		this.#changedAt.clear();
		this.#history = new DemandHistory();
	}
}
