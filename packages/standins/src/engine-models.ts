/**
 * The models that a stand-in engine holds, and the orders that change them.
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
	/** Where weights come from; without one they are there at once. */
	weights?: WeightSource;
};

/** Carries out orders; an order resolves once its state is in force. */
export class EngineModels {
	role = 'any';
	readonly #settings: EngineModelsSettings;
	readonly #versions: Map<string, number>;
	readonly #fetched = new Set<string>();
	#highestFence = 0;
	#swaps = 0;

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

	/** Whether weights are being put in force, while no token is made. */
	get isSwapping(): boolean {
		return this.#swaps > 0;
	}

	versionOf(model: string): number | undefined {
		return this.#versions.get(model);
	}

	list(): Array<{model: string; version: number}> {
		return [...this.#versions].map(([model, version]) => ({model, version}));
	}

	/** Throws `PlatformError`: `fenced`, or `refused` when a swap fails. */
	async carryOut(order: Order): Promise<void> {
		if (this.#settings.honoursFence && order.fence < this.#highestFence) {
			throw new PlatformError('fenced', `fence ${order.fence} is older than ${this.#highestFence}`);
		}

		this.#highestFence = Math.max(this.#highestFence, order.fence);
		// The table pairs each kind with a handler of that kind's order.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		await (this.#handlers[order.kind] as (order: Order) => void | Promise<void>)(order);
	}

	async #load(model: string, version: number): Promise<void> {
		await this.#fetch(model, version);
		this.#swaps += 1;
		await wait(this.#settings.swapMs);
		this.#swaps -= 1;
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
