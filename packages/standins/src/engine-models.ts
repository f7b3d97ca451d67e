/**
 * The models that a stand-in engine has loaded, and the orders that change them.
 */
import {PlatformError} from '@wasabiusher/backends';
import type {EngineSwitches, Order} from './engine-settings.js';
import type {WeightSource} from './memory-weight-store.js';
import {wait} from './wait.js';

export type EngineModelsSettings = {
	models: Readonly<Record<string, number>>;
	swapMs: number;
	honoursFence: boolean;
	switches: EngineSwitches;
	/** Source of the weights. Without one, fetching takes no time. */
	weights?: WeightSource;
};

/** Executes orders. An order resolves when the state that it requests is active. */
export class EngineModels {
	role = 'any';
	readonly #settings: EngineModelsSettings;
	readonly #versions: Map<string, number>;
	readonly #fetched = new Set<string>();
	#highestFence = 0;
	#runningSwaps = 0;

	readonly #handlers: {[Kind in Order['kind']]: (order: Extract<Order, {kind: Kind}>) => void | Promise<void>} = {
		load: async ({model, version}) => this.#load(model, version),
		prefetch: async ({model, version}) => this.#fetch(model, version),
		unload: ({model}) => {
			this.#versions.delete(model);
		},
		role: ({role}) => {
			this.role = role;
		},
	};

	constructor(settings: EngineModelsSettings) {
		this.#settings = settings;
		this.#versions = new Map(Object.entries(settings.models));
	}

	/** Whether weights are being activated. The engine generates no tokens in this time. */
	get isSwapping(): boolean {
		return this.#runningSwaps > 0;
	}

	getVersion(model: string): number | undefined {
		return this.#versions.get(model);
	}

	list(): Array<{model: string; version: number}> {
		return [...this.#versions].map(([model, version]) => ({model, version}));
	}

	/**
	 * Executes an order.
	 *
	 * @throws {PlatformError} `fenced` for an older fencing token, `refused` when a swap fails
	 */
	async execute(order: Order): Promise<void> {
		if (this.#settings.honoursFence && order.fence < this.#highestFence) {
			throw new PlatformError('fenced', `fence ${order.fence} is older than ${this.#highestFence}`);
		}

		this.#highestFence = Math.max(this.#highestFence, order.fence);
		// The handler table maps each kind to a handler of orders of that kind.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		await (this.#handlers[order.kind] as (order: Order) => void | Promise<void>)(order);
	}

	async #load(model: string, version: number): Promise<void> {
		await this.#fetch(model, version);
		this.#runningSwaps += 1;
		await wait(this.#settings.swapMs);
		this.#runningSwaps -= 1;
		if (this.#settings.switches.loadsToFail > 0) {
			this.#settings.switches.loadsToFail -= 1;
			throw new PlatformError('refused', `the swap to version ${version} of ${model} failed`);
		}

		this.#versions.set(model, version);
	}

	async #fetch(model: string, version: number): Promise<void> {
		const key = `${model}@${version}`;
		if (!this.#fetched.has(key) && this.#versions.get(model) !== version) {
			await this.#settings.weights?.fetch(model, version);
		}

		this.#fetched.add(key);
	}
}
