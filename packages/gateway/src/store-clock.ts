/**
 * The store's steady clock, kept from its answers.
 *
 * Hosts' clocks differ and jump; ages that several hosts must agree on are counted by the store's.
 */
import type {
	ChangePage, CommitReceipt, RowPage, RowRange, RowStore, RowTransaction,
} from '@wasabiusher/backends';

/** Passes calls to the store and notes the time that it tells. */
export class StoreClock implements RowStore {
	readonly #store: RowStore;
	/** The store's clock less this process's monotonic one, in milliseconds. */
	#offsetMs = 0;

	constructor(store: RowStore) {
		this.#store = store;
	}

	/** The store's clock now, as last told and counted on from there. */
	get storeMs(): number {
		return performance.now() + this.#offsetMs;
	}

	async commit(transaction: RowTransaction): Promise<CommitReceipt> {
		return this.#note(await this.#store.commit(transaction));
	}

	async read(range: RowRange): Promise<RowPage> {
		return this.#note(await this.#store.read(range));
	}

	async follow(table: string, after: number, waitMs: number): Promise<ChangePage> {
		return this.#note(await this.#store.follow(table, after, waitMs));
	}

	#note<Answer extends {storeMs: number}>(answer: Answer): Answer {
		this.#offsetMs = answer.storeMs - performance.now();
		return answer;
	}
}
