/**
 * Circuit breaker for the store: fails calls at once while the store does not serve this host, and tracks the store's clock.
 *
 * Load pattern: a host is cut off from the store while callers still reach it. Without the breaker each call waits for its whole
 * timeout, and readers that could have used another host at once are held for 1.2 s each. The table followers
 * continue to poll; the first answer closes the breaker.
 */
import {
	PlatformError, type BlobStore, type ChangePage, type CommitReceipt, type RowPage, type RowRange, type RowStore, type RowTransaction,
} from '@wasabiusher/backends';

/** Duration from which a failed call counts as unanswered rather than refused, in milliseconds. */
const unresponsiveAfterMs = 500;

/**
 * Number of consecutive failures, and the time in milliseconds that they must span, after which the breaker trips on a store that refuses
 * calls. Single refusals happen while a part of the store is down.
 */
const maxFailures = 4;
const minFailureSpanMs = 300;

/** Largest difference in rate between two monotonic clocks, as a ratio. */
const maxClockDrift = 1e-4;

/** A cheap read that shows whether the store serves this host. */
export const probeRange: RowRange = {table: 'link-keys', part: '', limit: 1};

/** Codes of errors that are answers of the store, so that it counts as responding. */
const answerErrorCodes: ReadonlySet<string> = new Set(['conflict', 'missing', 'limited', 'refused', 'invalid']);

/** A row store that fails calls at once while the store does not serve this host. */
export class StoreCircuitBreaker implements RowStore {
	readonly #store: RowStore;
	/** The store's clock minus this process's monotonic clock at the last answer, in milliseconds. */
	#offsetMs = 0;
	/** The same offset by the fastest answers, which are the most precise. */
	#steadyOffsetMs = Number.NEGATIVE_INFINITY;
	#isUnresponsive = false;
	/** Whether the store has refused a call since the breaker tripped but has served none yet, so that the recovery listener is still to be called. */
	#hasPendingRecovery = false;
	#consecutiveFailures = 0;
	#firstFailureAt = 0;
	/** Time of the last served call, on the monotonic clock. */
	#lastAnswerAt = Number.NEGATIVE_INFINITY;
	#isProbing = false;
	#onRecovery: (() => void) | undefined;

	constructor(store: RowStore) {
		this.#store = store;
	}

	/** The store's clock now in milliseconds, extrapolated from its last answer. */
	get storeMs(): number {
		return performance.now() + this.#offsetMs;
	}

	/** The store's clock now in milliseconds, extrapolated from its fastest answers; undefined before the first answer. */
	get steadyStoreMs(): number | undefined {
		return Number.isFinite(this.#steadyOffsetMs) ? performance.now() + this.#steadyOffsetMs : undefined;
	}

	/** Whether the store has left a call unanswered or failed calls repeatedly, and has served none since. */
	get isTripped(): boolean {
		return this.#isUnresponsive || (this.#consecutiveFailures >= maxFailures && performance.now() - this.#firstFailureAt >= minFailureSpanMs);
	}

	/** Sets the listener that is called at the first answer after the breaker tripped. Calls that were sent before may never be answered. */
	setRecoveryListener(listener: () => void): void {
		this.#onRecovery = listener;
	}

	/** A view whose reads are sent even while the breaker is tripped, so that the first answer of the store is noticed. */
	get probing(): RowStore {
		return {
			commit: async transaction => this.commit(transaction),
			read: async range => this.#track(async () => this.#store.read(range)),
			follow: async (table, after, waitMs) => this.follow(table, after, waitMs),
		};
	}

	/** Wraps a blob store so that its calls also fail at once while the breaker is tripped. */
	guard(blobs: BlobStore): BlobStore {
		const check = () => {
			this.#checkAvailable();
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
		this.#checkAvailable();
		return this.#track(async () => this.#store.commit(transaction));
	}

	async read(range: RowRange): Promise<RowPage> {
		this.#checkAvailable();
		return this.#track(async () => this.#store.read(range));
	}

	/**
	 * Waits for changes, also while the breaker is tripped. An unanswered wait alone does not trip the breaker: a store that loses its history leaves
	 * the waits of all hosts unanswered while it serves every other call, and all hosts would refuse readers and trainers
	 * at the same time. The breaker trips only if a probe stays unanswered too.
	 */
	async follow(table: string, after: number, waitMs: number): Promise<ChangePage> {
		const startedAt = performance.now();
		try {
			return this.#recordAnswer(await this.#store.follow(table, after, waitMs));
		} catch (error) {
			if (this.#recordError(error, startedAt + waitMs)) {
				void this.#probe();
			}

			throw error;
		}
	}

	#checkAvailable(): void {
		if (this.isTripped) {
			throw new PlatformError('unavailable', 'the store does not serve this host at present; nothing was sent');
		}
	}

	#updateFailureCount(isAnswered: boolean): void {
		if (isAnswered) {
			this.#consecutiveFailures = 0;
			return;
		}

		this.#consecutiveFailures += 1;
		if (this.#consecutiveFailures === 1) {
			this.#firstFailureAt = performance.now();
		}
	}

	async #track<Answer extends {storeMs: number}>(call: () => Promise<Answer>): Promise<Answer> {
		const startedAt = performance.now();
		try {
			return this.#recordAnswer(await call());
		} catch (error) {
			this.#isUnresponsive = this.#recordError(error, startedAt) || (this.#isUnresponsive && !isAnswer(error));
			throw error;
		}
	}

	/** Sends a probe to a store that left a wait for changes unanswered. Never rejects. */
	async #probe(): Promise<void> {
		if (this.#isProbing) {
			return;
		}

		this.#isProbing = true;
		try {
			await this.probing.read(probeRange);
		} catch {
			// `#track` has recorded the failure.
		} finally {
			this.#isProbing = false;
		}
	}

	#recordAnswer<Answer extends {storeMs: number}>(answer: Answer): Answer {
		const now = performance.now();
		const wasTripped = this.isTripped || this.#hasPendingRecovery;
		// Before the first answer both the offset and the time since the last answer are infinite.
		const driftMs = Number.isFinite(this.#lastAnswerAt) ? (now - this.#lastAnswerAt) * maxClockDrift : 0;
		this.#lastAnswerAt = now;
		this.#offsetMs = answer.storeMs - now;
		this.#steadyOffsetMs = Math.max(this.#steadyOffsetMs - driftMs, this.#offsetMs);
		this.#isUnresponsive = false;
		this.#consecutiveFailures = 0;
		if (wasTripped) {
			this.#hasPendingRecovery = false;
			this.#onRecovery?.();
		}

		return answer;
	}

	/**
	 * Records a failed call.
	 *
	 * @param dueAt - time at which an answer was due, on the monotonic clock
	 * @returns whether the store has left the call unanswered
	 */
	#recordError(error: unknown, dueAt: number): boolean {
		const isAnswered = isAnswer(error);
		// The store has answered since the answer was due, so an older unanswered call says nothing about its present state.
		if (!isAnswered && this.#lastAnswerAt > dueAt) {
			return false;
		}

		this.#hasPendingRecovery ||= isAnswered && this.isTripped;
		this.#updateFailureCount(isAnswered);
		if (isAnswered) {
			this.#isUnresponsive = false;
		}

		return !isAnswered && performance.now() - dueAt >= unresponsiveAfterMs;
	}
}

function isAnswer(error: unknown): boolean {
	return error instanceof PlatformError && answerErrorCodes.has(error.code);
}
