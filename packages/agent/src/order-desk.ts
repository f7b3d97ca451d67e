/**
 * Carries out orders to the engine, one after another, under the fence of whoever gives them.
 *
 * Orders are absolute and some engines ignore fences, so an order that was given up may still take effect
 * later. What was last ordered is therefore kept, compared with each report, and ordered again where the
 * engine differs. Labels are no matter of orders: they come from what the engine reports for each part.
 */
import PQueue from 'p-queue';
import type {MessageOf} from '@wasabiusher/link';
import {
	PlatformError, type Engine, type EngineOrder, type EngineReport,
} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';
import {AgentError} from './errors.js';
import type {FenceFloor} from './fence-floor.js';

/** How an order ended. */
export type OrderResult = {outcome: MessageOf<'ordered'>['outcome']; detail: string};

export type OrderDeskSettings = {
	engine: Engine;
	floor: FenceFloor;
	log: Log;
	/** Takes nothing new for a model that is to be unloaded; resolves to whether nothing runs for it, in time. */
	retire?(model: string): Promise<boolean>;
	/** The model is there again, or still. */
	restore?(model: string): void;
	/** Told of each order that was refused for its fence, and of each that had to be given again. */
	observe?(event: 'fenced' | 'mended' | 'failed' | 'done'): void;
};

/** First wait before an engine that differs is ordered again, in milliseconds; doubled up to the greatest. */
const firstMendMs = 2000;

/** Greatest wait, in milliseconds: an engine that can't hold a version is a matter for the rollout. */
const maxMendMs = 30_000;

/** How long a report may lag behind an order that is in force, in milliseconds. */
const reportLagMs = 3000;

/** How often the report is read meanwhile, in milliseconds. */
const readBackMs = 100;

/** An order that shows in a report. */
type StateOrder = Exclude<EngineOrder, {kind: 'prefetch'}>;

type Wanted = {order: StateOrder; fence: number};

/** Orders of one engine. */
export class OrderDesk {
	readonly #settings: OrderDeskSettings;
	readonly #queue = new PQueue({concurrency: 1});
	/** What the last order that was done asks for, by its subject. */
	readonly #wanted = new Map<string, Wanted>();
	#mendMs = firstMendMs;
	#mendAt = Number.NEGATIVE_INFINITY;

	constructor(settings: OrderDeskSettings) {
		this.#settings = settings;
	}

	/** Carries out an order after those before it; never rejects. */
	async execute(order: EngineOrder, fence: number): Promise<OrderResult> {
		return this.#queue.add(async () => this.#executeNow(order, fence));
	}

	/** Compares a report with what was ordered, and orders again what differs; the wait grows while that does not help. */
	compare(report: EngineReport): void {
		const differing = [...this.#wanted.values()].find(({order}) => !isInForce(order, report));
		if (!differing) {
			this.#mendMs = firstMendMs;
			return;
		}

		// Reports lag: one that was made before an order was done says nothing of it.
		const isBusy = this.#queue.pending > 0 || this.#queue.size > 0;
		if (isBusy || performance.now() < this.#mendAt) {
			return;
		}

		this.#mendAt = performance.now() + this.#mendMs;
		this.#mendMs = Math.min(maxMendMs, this.#mendMs * 2);
		void this.#queue.add(async () => this.#mend(differing));
	}

	async #executeNow(order: EngineOrder, fence: number): Promise<OrderResult> {
		const {floor, log, observe} = this.#settings;
		try {
			if (!await floor.raise(fence)) {
				observe?.('fenced');
				log.warn('order_fenced', {order: order.kind, fence, highest: floor.fence});
				return {outcome: 'fenced', detail: `fence ${fence} is older than ${floor.fence}`};
			}

			await this.#applyBetweenRuns(order, fence);
			observe?.('done');
			return {outcome: 'done', detail: ''};
		} catch (error) {
			const outcome = error instanceof PlatformError && error.code === 'fenced' ? 'fenced' : 'failed';
			observe?.(outcome);
			log.warn('order_failed', {order: order.kind, fence, reason: describeError(error)});
			return {outcome, detail: describeError(error)};
		}
	}

	/** A model is unloaded only when nothing runs for it, and taken work for only when it is there. */
	async #applyBetweenRuns(order: EngineOrder, fence: number): Promise<void> {
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
				throw new AgentError('busy', `${order.model} can not be unloaded, as requests for it run`);
			}

			await this.#apply(order, fence);
		} catch (error) {
			restore?.(order.model);
			throw error;
		}
	}

	/** Gives an order and reads back what is in force; throws if that is something else. */
	async #apply(order: EngineOrder, fence: number): Promise<void> {
		const {engine} = this.#settings;
		if (order.kind === 'prefetch') {
			await engine.order(order, fence);
			return;
		}

		const subject = nameSubject(order);
		// Until it is done, nothing is known to be wanted: the engine may be in either state.
		this.#wanted.delete(subject);
		await engine.order(order, fence);
		await this.#readBack(order);
		this.#wanted.set(subject, {order, fence});
		this.#mendAt = performance.now() + firstMendMs;
	}

	async #readBack(order: StateOrder): Promise<void> {
		const giveUpAt = performance.now() + reportLagMs;
		// Reports are read one after another.
		/* eslint-disable no-await-in-loop */
		while (!isInForce(order, await this.#settings.engine.report())) {
			if (performance.now() >= giveUpAt) {
				throw new AgentError('not-in-force', `the engine took the order to ${describeOrder(order)} but does not report it in force`);
			}

			await new Promise(resolve => {
				setTimeout(resolve, readBackMs);
			});
		}
		/* eslint-enable no-await-in-loop */
	}

	async #mend({order, fence}: Wanted): Promise<void> {
		const {engine, log, observe} = this.#settings;
		const isWanted = this.#wanted.get(nameSubject(order))?.order === order;
		if (!isWanted) {
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

/** What an order is about; the last order about a subject counts. */
function nameSubject(order: StateOrder): string {
	return order.kind === 'role' ? 'role' : `model ${order.model}`;
}

/** Whether a report shows what an order asks for, by kind. */
const checks: {[Kind in StateOrder['kind']]: (order: Extract<StateOrder, {kind: Kind}>, report: EngineReport) => boolean} = {
	load: (order, {models}) => models.some(({model, version}) => model === order.model && version === order.version),
	unload: (order, {models}) => models.every(({model}) => model !== order.model),
	role: (order, {role}) => role === order.role,
};

function isInForce(order: StateOrder, report: EngineReport): boolean {
	// The table pairs each kind with a check of that kind's order.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const check = checks[order.kind] as (order: StateOrder, report: EngineReport) => boolean;
	return check(order, report);
}

const texts: {[Kind in StateOrder['kind']]: (order: Extract<StateOrder, {kind: Kind}>) => string} = {
	load: ({model, version}) => `load ${model} at version ${version}`,
	unload: ({model}) => `unload ${model}`,
	role: ({role}) => `take the role ${role}`,
};

function describeOrder(order: StateOrder): string {
	// The table pairs each kind with a text of that kind's order.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const describe = texts[order.kind] as (order: StateOrder) => string;
	return describe(order);
}
