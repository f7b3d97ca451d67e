/**
 * Executes orders to the engine sequentially, each under the fence (fencing token) of its sender.
 *
 * Orders set an absolute state, and some engines ignore fences, so an order that has timed out may still take effect
 * later. The last successful order is therefore kept and compared with each report, and repeated if the engine's state
 * differs. Version labels of generated text do not depend on orders: they come from what the engine reports for each part.
 */
import PQueue from 'p-queue';
import type {MessageOf} from '@wasabiusher/link';
import {
	PlatformError, type Engine, type EngineOrder, type EngineReport,
} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';
import {AgentError} from './errors.js';
import type {FenceFloor} from './fence-floor.js';

/** Outcome of an order. */
export type OrderResult = {outcome: MessageOf<'ordered'>['outcome']; detail: string};

export type OrderHandlerSettings = {
	engine: Engine;
	floor: FenceFloor;
	log: Log;
	/** Stops accepting requests for a model that is about to be unloaded; resolves to whether all running ones have ended in time. */
	retire?(model: string): Promise<boolean>;
	/** Accepts requests for a model again: it was loaded, or could not be unloaded. */
	restore?(model: string): void;
	/** Called with the outcome of each order, and with `mended` for each order that is repeated. */
	observe?(event: 'fenced' | 'mended' | 'failed' | 'done'): void;
};

/** Initial delay before an order is repeated to an engine in a different state, in milliseconds; doubles up to `maxRepairDelayMs`. */
const firstRepairDelayMs = 2000;

/** Maximum delay, in milliseconds. An engine that cannot keep a version is handled by the weight rollout. */
const maxRepairDelayMs = 30_000;

/** Maximum time by which a report may lag behind an order that is in force, in milliseconds. */
const maxReportLagMs = 3000;

/** Polling interval of the report during that time, in milliseconds. */
const readBackIntervalMs = 100;

/** An order whose effect is visible in a report. */
type StateOrder = Exclude<EngineOrder, {kind: 'prefetch'}>;

type DesiredOrder = {order: StateOrder; fence: number};

/** Executes the orders of one engine. */
export class OrderHandler {
	readonly #settings: OrderHandlerSettings;
	readonly #queue = new PQueue({concurrency: 1});
	/** Last successful order by subject; describes the desired state of the engine. */
	readonly #desired = new Map<string, DesiredOrder>();
	#repairDelayMs = firstRepairDelayMs;
	#nextRepairAt = Number.NEGATIVE_INFINITY;

	constructor(settings: OrderHandlerSettings) {
		this.#settings = settings;
	}

	/** Executes an order after all earlier ones; never rejects. */
	async execute(order: EngineOrder, fence: number): Promise<OrderResult> {
		return this.#queue.add(async () => this.#executeNow(order, fence));
	}

	/** Compares a report with the desired state, and repeats an order that is not in force. The delay between repetitions grows while they have no effect. */
	reconcile(report: EngineReport): void {
		const mismatch = [...this.#desired.values()].find(({order}) => !isInForce(order, report));
		if (!mismatch) {
			this.#repairDelayMs = firstRepairDelayMs;
			return;
		}

		// Reports lag: one created before an order was done does not show its effect.
		const isBusy = this.#queue.pending > 0 || this.#queue.size > 0;
		if (isBusy || performance.now() < this.#nextRepairAt) {
			return;
		}

		this.#nextRepairAt = performance.now() + this.#repairDelayMs;
		this.#repairDelayMs = Math.min(maxRepairDelayMs, this.#repairDelayMs * 2);
		void this.#queue.add(async () => this.#repair(mismatch));
	}

	async #executeNow(order: EngineOrder, fence: number): Promise<OrderResult> {
		const {floor, log, observe} = this.#settings;
		try {
			if (!await floor.raise(fence)) {
				observe?.('fenced');
				log.warn('order_fenced', {order: order.kind, fence, highest: floor.fence});
				return {outcome: 'fenced', detail: `fence ${fence} is older than ${floor.fence}`};
			}

			await this.#applyWhenIdle(order, fence);
			observe?.('done');
			return {outcome: 'done', detail: ''};
		} catch (error) {
			const outcome = error instanceof PlatformError && error.code === 'fenced' ? 'fenced' : 'failed';
			observe?.(outcome);
			log.warn('order_failed', {order: order.kind, fence, reason: describeError(error)});
			return {outcome, detail: describeError(error)};
		}
	}

	/** Unloads a model only when no request for it is running, and accepts requests for a model only while it is loaded. */
	async #applyWhenIdle(order: EngineOrder, fence: number): Promise<void> {
		const {retire, restore} = this.#settings;
		if (order.kind !== 'unload') {
			await this.#apply(order, fence);
			if (order.kind === 'load') {
				restore?.(order.model);
			}

			return;
		}

		try {
			if (await retire?.(order.model) === false) {
				throw new AgentError('busy', `model ${order.model} cannot be unloaded: requests for it are still running`);
			}

			await this.#apply(order, fence);
		} catch (error) {
			restore?.(order.model);
			throw error;
		}
	}

	/** Sends an order to the engine and verifies it against the report; throws an `AgentError` (`not-in-force`) if the report does not show it. */
	async #apply(order: EngineOrder, fence: number): Promise<void> {
		const {engine} = this.#settings;
		if (order.kind === 'prefetch') {
			await engine.order(order, fence);
			return;
		}

		const subject = getSubject(order);
		// No desired state is known until the order is done: the engine may be in either state.
		this.#desired.delete(subject);
		await engine.order(order, fence);
		await this.#readBack(order);
		this.#desired.set(subject, {order, fence});
		this.#nextRepairAt = performance.now() + firstRepairDelayMs;
	}

	async #readBack(order: StateOrder): Promise<void> {
		const deadlineAt = performance.now() + maxReportLagMs;
		// Reports are read sequentially.
		/* eslint-disable no-await-in-loop */
		while (!isInForce(order, await this.#settings.engine.report())) {
			if (performance.now() >= deadlineAt) {
				throw new AgentError('not-in-force', `the engine accepted the order to ${describeOrder(order)} but its report does not show it in force`);
			}

			await new Promise(resolve => {
				setTimeout(resolve, readBackIntervalMs);
			});
		}
		/* eslint-enable no-await-in-loop */
	}

	async #repair({order, fence}: DesiredOrder): Promise<void> {
		const {engine, log, observe} = this.#settings;
		const isStillDesired = this.#desired.get(getSubject(order))?.order === order;
		if (!isStillDesired) {
			return;
		}

		observe?.('mended');
		log.warn('order_repeated', {order: describeOrder(order), fence});
		try {
			await engine.order(order, fence);
		} catch (error) {
			log.warn('order_failed', {order: order.kind, fence, reason: describeError(error)});
		}
	}
}

/** Returns the subject of an order; a later order replaces an earlier one on the same subject. */
function getSubject(order: StateOrder): string {
	return order.kind === 'role' ? 'role' : `model ${order.model}`;
}

/** Checks whether a report shows an order as in force, by kind of order. */
const inForceChecks: {[Kind in StateOrder['kind']]: (order: Extract<StateOrder, {kind: Kind}>, report: EngineReport) => boolean} = {
	load: (order, {models}) => models.some(({model, version}) => model === order.model && version === order.version),
	unload: (order, {models}) => models.every(({model}) => model !== order.model),
	role: (order, {role}) => role === order.role,
};

function isInForce(order: StateOrder, report: EngineReport): boolean {
	// The table pairs each kind with a check of that kind's order.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const check = inForceChecks[order.kind] as (order: StateOrder, report: EngineReport) => boolean;
	return check(order, report);
}

const descriptions: {[Kind in StateOrder['kind']]: (order: Extract<StateOrder, {kind: Kind}>) => string} = {
	load: ({model, version}) => `load ${model} at version ${version}`,
	unload: ({model}) => `unload ${model}`,
	role: ({role}) => `take the role ${role}`,
};

function describeOrder(order: StateOrder): string {
	// The table pairs each kind with a description of that kind's order.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const describe = descriptions[order.kind] as (order: StateOrder) => string;
	return describe(order);
}
