/**
 * Index of the API keys of customers, read once per request.
 *
 * Load pattern: 100,000 keys, of which one is added or removed by each configuration version, thousands of times a day, while every
 * request needs a lookup. The cost of a change is proportional to the number of keys of the affected customers.
 */
import type {Customer} from '@wasabiusher/shared';

const noCustomers: ReadonlyMap<string, Customer> = new Map();

/** The keys of the current configuration. */
export class CustomerKeys {
	readonly #owners = new Map<string, string>();
	#customers = noCustomers;

	/** Replaces the keys by those of a newer configuration. */
	adopt(customers: ReadonlyMap<string, Customer> = noCustomers): void {
		const previous = this.#customers;
		this.#customers = customers;
		for (const [name, {keys}] of previous) {
			if (!hasSameKeys(keys, customers.get(name)?.keys)) {
				this.#remove(name, keys);
			}
		}

		for (const [name, {keys}] of customers) {
			if (!hasSameKeys(keys, previous.get(name)?.keys)) {
				this.#add(name, keys);
			}
		}
	}

	/** Returns the owner of a key; undefined if the key is unknown. */
	findOwner(key: string): Customer | undefined {
		const name = this.#owners.get(key);
		return name === undefined ? undefined : this.#customers.get(name);
	}

	#add(name: string, keys: readonly string[]): void {
		for (const key of keys) {
			this.#owners.set(key, name);
		}
	}

	#remove(name: string, keys: readonly string[]): void {
		for (const key of keys) {
			if (this.#owners.get(key) === name) {
				this.#owners.delete(key);
			}
		}
	}
}

function hasSameKeys(keys: readonly string[], others: readonly string[] | undefined): boolean {
	return others?.length === keys.length && keys.every((key, i) => key === others[i]);
}
