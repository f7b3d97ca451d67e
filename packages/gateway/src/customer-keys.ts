/**
 * The keys of customers, for one lookup a request.
 *
 * Load pattern: 100,000 keys of which one comes or goes with a version of the configuration, thousands of times a day, before
 * requests that are each looked up. A change costs in proportion to the keys of the customers that it touches.
 */
import type {Customer} from '@wasabiusher/shared';

const noCustomers: ReadonlyMap<string, Customer> = new Map();

/** The keys in force. */
export class CustomerKeys {
	readonly #owners = new Map<string, string>();
	#customers = noCustomers;

	/** Puts the keys of a newer configuration in force. */
	adopt(customers: ReadonlyMap<string, Customer> = noCustomers): void {
		const before = this.#customers;
		this.#customers = customers;
		for (const [name, {keys}] of before) {
			if (!hasSameKeys(keys, customers.get(name)?.keys)) {
				this.#remove(name, keys);
			}
		}

		for (const [name, {keys}] of customers) {
			if (!hasSameKeys(keys, before.get(name)?.keys)) {
				this.#add(name, keys);
			}
		}
	}

	/** Whose key it is; undefined if it is not known. */
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
