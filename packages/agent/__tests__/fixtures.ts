/**
 * Fixtures of the agent's tests: an engine whose reports, orders and failures the test sets.
 */
import {
	PlatformError, type Engine, type EngineOrder, type EngineReport,
} from '@wasabiusher/backends';

/** An engine of which only orders and reports matter; it ignores fences unless told otherwise. */
export class OrderedEngine implements Pick<Engine, 'order' | 'report'> {
	readonly orders: Array<{order: EngineOrder; fence: number}> = [];
	honoursFence = false;
	isReachable = true;
	/** Given once to the next order: what happens instead of it. */
	nextOrder: ((order: EngineOrder) => Promise<void>) | undefined;
	#highest = 0;
	readonly #report: EngineReport = {
		models: [{model: 'trail', version: 1}], role: 'any', running: 0, waiting: 0, slots: 8, tokensPerSecond: 0, cacheUse: 0, startId: 'run-1',
	};

	get version(): number | undefined {
		return this.#report.models.find(({model}) => model === 'trail')?.version;
	}

	/** The process of the engine is another one. */
	restart(startId: string): void {
		this.#report.startId = startId;
		this.putInForce({kind: 'load', model: 'trail', version: 1});
	}

	async report(): Promise<EngineReport> {
		if (!this.isReachable) {
			throw new PlatformError('unavailable', 'connection refused');
		}

		return structuredClone(this.#report);
	}

	async order(order: EngineOrder, fence: number): Promise<void> {
		this.orders.push({order, fence});
		if (this.honoursFence && fence < this.#highest) {
			throw new PlatformError('fenced', `fence ${fence} is older than ${this.#highest}`);
		}

		this.#highest = Math.max(this.#highest, fence);
		const special = this.nextOrder;
		this.nextOrder = undefined;
		if (special) {
			await special(order);
		} else {
			this.putInForce(order);
		}
	}

	/** Takes effect, whoever asked for it and whenever. */
	putInForce(order: EngineOrder): void {
		if (order.kind === 'load') {
			this.#report.models = [{model: order.model, version: order.version}];
		} else if (order.kind === 'unload') {
			this.#report.models = [];
		}
	}

	/** This engine as the whole interface; nothing else of it is called. */
	asEngine(): Engine {
		return this as unknown as Engine;
	}
}

export function createLoad(version: number): EngineOrder {
	return {kind: 'load', model: 'trail', version};
}
