/**
 * Moves engines between models as demand moves.
 *
 * Run by whoever holds the lease of the service's orders, as rollouts of weights are. It goes by what endpoints report and
 * by what waits at this entry, and leaves the choice to `decisions/placement`. An engine that holds several
 * models, as its operator has set it up, is left as it is.
 */
import {
	DemandHistory, planPlacement, type Change, type Demand, type Holder,
} from '@wasabiusher/decisions';
import type {MessageOf} from '@wasabiusher/link';
import type {Log} from '@wasabiusher/shared';
import type {ControlledEndpoint, WeightRolloutSettings} from './weight-rollout.js';

/** Requests of one model that wait for an endpoint, or run there. */
export type ModelDemand = {model: string; requests: number; interactive: number};

export type PlacementRunnerSettings = Pick<WeightRolloutSettings, 'service' | 'lease' | 'listEndpoints' | 'send'> & {
	log: Log;
	/** Requests that wait at entries, as far as this process knows. */
	listWaiting(): Iterable<ModelDemand>;
	/** Whether an endpoint carries out another order at present. */
	isOrdered(agent: string): boolean;
	/** The newest published version of a model; undefined if there is none. */
	findVersion(model: string): number | undefined;
};

/** How often demand is measured and a plan made, in milliseconds; demand moves over minutes. */
const planIntervalMs = 1000;

/** Longest time for a change until it is given up, in milliseconds: two orders of 30 s. */
const changeTimeoutMs = 65_000;

/** Time that a change takes an engine out until one was measured, in milliseconds: weights of some 100 GB at 10 GB/s. */
const initialCostMs = 10_000;

/** Part of that for another adapter of the same model, whose weights are there. */
const adapterCostRatio = 0.1;

/** Weight of the newest measurement of the cost. */
const costSmoothing = 0.3;

/**
 * What an engine is on its way to. The old model goes first: an engine that is left between the two steps holds
 * nothing, which the next holder of the lease sees and mends.
 */
type Move = Change & {order: string; step: 'unload' | 'load'; startedAt: number};

/** The placement of one service's models. */
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

	/** Engines that are being changed. */
	get moving(): number {
		return this.#moves.size;
	}

	isMoving(agent: string): boolean {
		return this.#moves.has(agent);
	}

	/** Measures demand and orders what is due; does nothing without the lease. */
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

	/** An agent has carried out an order, or not. */
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

	/** Demand of each model in endpoints: what runs and waits at those that hold it, and what waits at entries. */
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

	#describeHolder({agent, status}: ControlledEndpoint): Holder {
		const move = this.#moves.get(agent);
		// What is under way counts as done, or another would be sent after it.
		const holds = move?.to ?? status.models[0]?.model ?? '';
		return {
			id: agent,
			holds,
			// One that holds nothing has no reason to stay put.
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

	/** The answer may be lost; what the engine holds shows in its status. */
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

	/** Another holder goes on. */
	#reset(): void {
		this.#moves.clear();
		this.#changedAt.clear();
		this.#history = new DemandHistory();
	}
}
