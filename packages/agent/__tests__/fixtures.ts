/**
 * Fixtures of the agent's tests: an engine with reports, orders and failures scripted by the test.
 */
import {
	PlatformError, type Engine, type EngineOrder, type EngineReport,
} from '@wasabiusher/backends';

/** An engine that implements only orders and reports; it ignores fences unless `honoursFence` is set. */
export class FakeEngine implements Pick<Engine, 'order' | 'report'> {
	readonly orders: Array<{order: EngineOrder; fence: number}> = [];
	honoursFence = false;
	isReachable = true;
	/** Replaces the effect of the next order, once. */
	nextOrder: ((order: EngineOrder) => Promise<void>) | undefined;
	#highest = 0;
	readonly #report: EngineReport = {
		models: [{model: 'trail', version: 1}], role: 'any', running: 0, waiting: 0, slots: 8, tokensPerSecond: 0, cacheUse: 0, startId: 'run-1',
	};

	get version(): number | undefined {
		return this.#report.models.find(({model}) => model === 'trail')?.version;
	}

	/** Replaces the process of the engine by one with another start id. */
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

	/** Applies an order regardless of its sender, its fence and its time. */
	putInForce(order: EngineOrder): void {
		if (order.kind === 'load') {
			this.#report.models = [{model: order.model, version: order.version}];
		} else if (order.kind === 'unload') {
			this.#report.models = [];
		}
	}

	/** Returns this engine as the full interface, of which no other method is called. */
	asEngine(): Engine {
		return this as unknown as Engine;
	}
}

export function createLoad(version: number): EngineOrder {
	return {kind: 'load', model: 'trail', version};
}
