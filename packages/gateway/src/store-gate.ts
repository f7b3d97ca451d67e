/**
 * The way to the store: keeps its clock, and refuses at once while it is known not to serve this host.
 *
 * Load pattern: a host that is cut off from the store while callers still reach it. Each call would wait for its whole
 * time, so readers that could have asked another host at once were held for 1.2 s each. The followers of the
 * tables go on asking; the first answer opens the gate.
 */
import {
	PlatformError, type BlobStore, type ChangePage, type CommitReceipt, type RowPage, type RowRange, type RowStore, type RowTransaction,
} from '@wasabiusher/backends';

/** A call that fails after this time, in milliseconds, shows that the store is silent rather than refusing. */
const silentMs = 500;

/**
 * Failures one after the other, and the time that they must span in milliseconds, after which a store that refuses is taken for
 * lost to this host. Single refusals happen while a part of the store is down.
 */
const maxFailures = 4;
const failingMs = 300;

/** Greatest difference in rate between two steady clocks, as a ratio. */
const maxDrift = 1e-4;

/** A read that costs the store little and tells whether it serves this host. */
export const probeRange: RowRange = {table: 'link-keys', part: '', limit: 1};

/** Errors that say nothing of whether the store answers: it did. */
const answeredCodes: ReadonlySet<string> = new Set(['conflict', 'missing', 'limited', 'refused', 'invalid']);

/** Passes calls to the store and notes the time that it tells. */
export class StoreGate implements RowStore {
	readonly #store: RowStore;
	/** The store's clock less this process's monotonic one, in milliseconds. */
	#offsetMs = 0;
	/** The same by the quickest answers, which tell it best. */
	#steadyOffsetMs = Number.NEGATIVE_INFINITY;
	#isSilent = false;
	/** Whether the store has refused a call since it was lost, but served none yet, so that nobody was told of its return. */
	#owesReturn = false;
	#failures = 0;
	#failingSince = 0;
	/** When a call was last answered, on the monotonic clock. */
	#answeredAt = Number.NEGATIVE_INFINITY;
	#isVerifying = false;
	#onRegained: (() => void) | undefined;

	constructor(store: RowStore) {
		this.#store = store;
	}

	/** The store's clock now, as last told and counted on from there. */
	get storeMs(): number {
		return performance.now() + this.#offsetMs;
	}

	/** The store's clock now by its quickest answers; undefined until the store was heard. */
	get steadyStoreMs(): number | undefined {
		return Number.isFinite(this.#steadyOffsetMs) ? performance.now() + this.#steadyOffsetMs : undefined;
	}

	/** Whether the store has left calls without an answer, or refused them again and again, and has served none since. */
	get isLost(): boolean {
		return this.#isSilent || (this.#failures >= maxFailures && performance.now() - this.#failingSince >= failingMs);
	}

	/** Has a listener called at the first answer after the store was lost: calls that were sent meanwhile may never be answered. */
	watchRegained(listener: () => void): void {
		this.#onRegained = listener;
	}

	/** The store for those who ask on while it is silent, so that its first answer is noticed. */
	get probing(): RowStore {
		return {
			commit: async transaction => this.commit(transaction),
			read: async range => this.#pass(async () => this.#store.read(range)),
			follow: async (table, after, waitMs) => this.follow(table, after, waitMs),
		};
	}

	/** Objects, refused at once as well while the store is silent. */
	guard(blobs: BlobStore): BlobStore {
		const check = () => {
			this.#check();
		};

		return {
			async put(name, content) {
				check();
				return blobs.put(name, content);
			},
			async get(name) {
				check();
				return blobs.get(name);
			},
			async drop(name) {
				check();
				return blobs.drop(name);
			},
		};
	}

	async commit(transaction: RowTransaction): Promise<CommitReceipt> {
		this.#check();
		return this.#pass(async () => this.#store.commit(transaction));
	}

	async read(range: RowRange): Promise<RowPage> {
		this.#check();
		return this.#pass(async () => this.#store.read(range));
	}

	/**
	 * A feed that hangs is no sign that the store is silent to this host: a store that forgets its history leaves the waits of all hosts
	 * without an answer, while it serves every other call. Taken for a loss, it would have all hosts refuse readers and trainers
	 * at the same moment. So another call must be left without an answer too.
	 */
	async follow(table: string, after: number, waitMs: number): Promise<ChangePage> {
		const startedAt = performance.now();
		try {
			return this.#noteAnswer(await this.#store.follow(table, after, waitMs));
		} catch (error) {
			if (this.#noteError(error, startedAt + waitMs)) {
				void this.#verify();
			}

			throw error;
		}
	}

	#check(): void {
		if (this.isLost) {
			throw new PlatformError('unavailable', 'the store does not serve this host at present; nothing was sent');
		}
	}

	#noteFailure(isAnswered: boolean): void {
		if (isAnswered) {
			this.#failures = 0;
			return;
		}

		this.#failures += 1;
		if (this.#failures === 1) {
			this.#failingSince = performance.now();
		}
	}

	async #pass<Answer extends {storeMs: number}>(call: () => Promise<Answer>): Promise<Answer> {
		const startedAt = performance.now();
		try {
			return this.#noteAnswer(await call());
		} catch (error) {
			this.#isSilent = this.#noteError(error, startedAt) || (this.#isSilent && !hasAnswered(error));
			throw error;
		}
	}

	/** Asks something else of a store whose feed hangs; never rejects. */
	async #verify(): Promise<void> {
		if (this.#isVerifying) {
			return;
		}

		this.#isVerifying = true;
		try {
			await this.probing.read(probeRange);
		} catch {
			// What the failure tells is noted where the call was passed on.
		} finally {
			this.#isVerifying = false;
		}
	}

	#noteAnswer<Answer extends {storeMs: number}>(answer: Answer): Answer {
		const now = performance.now();
		const wasLost = this.isLost || this.#owesReturn;
		// Before the first answer both are infinite.
		const driftMs = Number.isFinite(this.#answeredAt) ? (now - this.#answeredAt) * maxDrift : 0;
		this.#answeredAt = now;
		this.#offsetMs = answer.storeMs - now;
		this.#steadyOffsetMs = Math.max(this.#steadyOffsetMs - driftMs, this.#offsetMs);
		this.#isSilent = false;
		this.#failures = 0;
		if (wasLost) {
			this.#owesReturn = false;
			this.#onRegained?.();
		}

		return answer;
	}

	/**
	 * Notes a failed call.
	 *
	 * @param dueAt - when an answer could be expected
	 * @returns whether the store has left it without an answer
	 */
	#noteError(error: unknown, dueAt: number): boolean {
		const isAnswered = hasAnswered(error);
		// The store has answered something that was asked later: what was sent while it was silent tells nothing of the present.
		if (!isAnswered && this.#answeredAt > dueAt) {
			return false;
		}

		this.#owesReturn ||= isAnswered && this.isLost;
		this.#noteFailure(isAnswered);
		if (isAnswered) {
			this.#isSilent = false;
		}

		return !isAnswered && performance.now() - dueAt >= silentMs;
	}
}

function hasAnswered(error: unknown): boolean {
	return error instanceof PlatformError && answeredCodes.has(error.code);
}
