/**
 * Wait queue of one process: assigns slots one by one, in order of service, when an endpoint has changed.
 *
 * Load pattern: a thousand generations wait on a host with a fifth of a core, and slots become free a hundred times a second. If each waiter searched for an
 * endpoint at each change, the host would do nothing else, and the first to search would be served. Waiters with the same eligible endpoints therefore share
 * an eligibility key; a key without a free endpoint is blocked until an endpoint changes.
 */
import type {AnswerCount, SlotQueue, FlowCount} from './slot-queue.js';
import {WaitEstimator} from './wait-estimator.js';
import {AnswerCounts} from './answer-counts.js';
import {FairPriorityQueue, type SchedulingAttributes} from './fair-priority-queue.js';
import type {SlotAnswer, Waiter} from './waiter.js';

/** Interval at which blocked keys are tried again without a change, in milliseconds: pauses of endpoints end without a notification. */
const rescanIntervalMs = 20;

/** Awaited to run after the current synchronous code. */
const microtask = Promise.resolve();

export type HostQueueSettings<Need, Endpoint> = {
	/** Returns the name of the pool of endpoints that needs compete for, such as a service. */
	getPoolName(need: Need): string;
	/** Returns the eligibility key of a need: the same for needs with the same eligible endpoints. */
	getEligibilityKey(need: Need): string;
	/** Returns the need of a waiter that is expected to wait for `waitMs`, in milliseconds. */
	adapt(waiter: Waiter<Need>, waitMs: number): Need;
	/** Takes a slot of an eligible endpoint; undefined if none is free. */
	take(need: Need): Endpoint | undefined;
	/** Returns the delay after which a refused waiter should retry, in milliseconds. */
	getRetryDelayMs(need: Need): number;
	/** Calls the listener when an endpoint of a pool (of any pool without a name) may have become free or eligible; returns a function that unsubscribes it. */
	onChange(listener: (pool?: string) => void): () => void;
};

type Job<Need, Endpoint> = {
	waiter: Waiter<Need>;
	need: Need;
	queuedAt: number;
	answer(answer: SlotAnswer<Endpoint>): void;
};

/** A new waiter and its expected wait, in milliseconds. */
type Arrival<Need> = {waiter: Waiter<Need>; need: Need; eligibilityKey: string; waitMs: number};

type Pool<Need, Endpoint> = {
	queue: FairPriorityQueue<Job<Need, Endpoint>>;
	waitEstimator: WaitEstimator;
	/** Eligibility keys without a free endpoint since the last change. */
	blockedKeys: Set<string>;
};

/** The wait queue. */
export class HostQueue<Need, Endpoint> implements SlotQueue<Need, Endpoint> {
	readonly #settings: HostQueueSettings<Need, Endpoint>;
	readonly #pools = new Map<string, Pool<Need, Endpoint>>();
	readonly #jobs = new Set<Job<Need, Endpoint>>();
	readonly #counts = new AnswerCounts();
	#unsubscribe: (() => void) | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isDispatching = false;
	#isDispatchScheduled = false;

	constructor(settings: HostQueueSettings<Need, Endpoint>) {
		this.#settings = settings;
	}

	get size(): number {
		return this.#jobs.size;
	}

	get counts(): readonly AnswerCount[] {
		return this.#counts.list();
	}

	async wait(waiter: Waiter<Need>, signal: AbortSignal): Promise<SlotAnswer<Endpoint>> {
		const answer = signal.aborted ? {kind: 'left'} as const : await this.#wait(waiter, signal);
		this.#counts.record(waiter.kind, answer.kind);
		return answer;
	}

	rescan(): void {
		for (const {blockedKeys} of this.#pools.values()) {
			blockedKeys.clear();
		}

		this.#dispatch();
	}

	listFlows(): FlowCount[] {
		const now = performance.now();
		const flows = new Map<string, FlowCount>();
		for (const {waiter: {turn, urgency}, queuedAt} of this.#jobs) {
			const key = `${urgency}/${turn}`;
			const known = flows.get(key) ?? {
				turn, urgency, waiting: 0, oldestMs: 0,
			};
			flows.set(key, {...known, waiting: known.waiting + 1, oldestMs: Math.max(known.oldestMs, Math.round(now - queuedAt))});
		}

		return [...flows.values()];
	}

	async #wait(waiter: Waiter<Need>, signal: AbortSignal): Promise<SlotAnswer<Endpoint>> {
		const pool = this.#findPool(this.#settings.getPoolName(waiter.need));
		const waitMs = pool.waitEstimator.estimateWait(pool.queue.countAhead(waiter), waiter.workMs);
		const need = this.#settings.adapt(waiter, waitMs);
		const eligibilityKey = this.#settings.getEligibilityKey(need);
		const endpoint = pool.queue.size === 0 && !pool.blockedKeys.has(eligibilityKey) ? this.#settings.take(need) : undefined;
		return endpoint === undefined
			? this.#enqueue(pool, {
				eligibilityKey, need, waitMs, waiter,
			}, signal)
			: {kind: 'granted', endpoint};
	}

	async #enqueue(pool: Pool<Need, Endpoint>, {eligibilityKey, need, waitMs, waiter}: Arrival<Need>, signal: AbortSignal): Promise<SlotAnswer<Endpoint>> {
		if (pool.queue.size === 0) {
			pool.waitEstimator.recordIdle(performance.now());
		}

		return new Promise(resolve => {
			const finish = (answer: SlotAnswer<Endpoint>) => {
				clearTimeout(timer);
				signal.removeEventListener('abort', leave);
				this.#jobs.delete(job);
				this.#unsubscribeIfEmpty();
				resolve(answer);
			};

			const withdraw = (answer: SlotAnswer<Endpoint>) => {
				pool.queue.remove(entry);
				if (pool.queue.size === 0) {
					pool.waitEstimator.recordIdle(performance.now());
				}

				finish(answer);
			};

			const leave = () => {
				withdraw({kind: 'left'});
			};

			const remainingMs = waiter.deadlineAt - performance.now();
			const job: Job<Need, Endpoint> = {
				waiter, need, queuedAt: performance.now(), answer: finish,
			};
			const timer = setTimeout(withdraw, Math.max(0, remainingMs), {kind: 'expired'});
			signal.addEventListener('abort', leave);
			this.#jobs.add(job);
			const entry = pool.queue.add(toAttributes(waiter, eligibilityKey), job);
			this.#subscribe();
			this.#dispatch();
			// A waiter that got a slot at once is not refused, however long others wait.
			if (waiter.isRefusable && waitMs > remainingMs && this.#jobs.has(job)) {
				withdraw({kind: 'refused', reason: 'too many requests are queued to be served by the deadline', retryAfterMs: this.#settings.getRetryDelayMs(waiter.need)});
			}
		});
	}

	/** Subscribes to changes of endpoints; there is no subscription while the queue is empty. */
	#subscribe(): void {
		this.#timer ??= setInterval(() => {
			this.rescan();
		}, rescanIntervalMs);
		this.#unsubscribe ??= this.#settings.onChange(pool => {
			this.#handleChange(pool);
		});
	}

	#unsubscribeIfEmpty(): void {
		if (this.#jobs.size > 0) {
			return;
		}

		clearInterval(this.#timer);
		this.#timer = undefined;
		this.#unsubscribe?.();
		this.#unsubscribe = undefined;
		for (const {blockedKeys} of this.#pools.values()) {
			blockedKeys.clear();
		}
	}

	#handleChange(name: string | undefined): void {
		for (const [other, {blockedKeys}] of this.#pools) {
			if (name === undefined || name === other) {
				blockedKeys.clear();
			}
		}

		this.#scheduleDispatch();
	}

	#scheduleDispatch(): void {
		if (!this.#isDispatchScheduled) {
			this.#isDispatchScheduled = true;
			void this.#dispatchSoon();
		}
	}

	/** Dispatches once for all changes of the current synchronous code. */
	async #dispatchSoon(): Promise<void> {
		await microtask;
		this.#isDispatchScheduled = false;
		this.#dispatch();
	}

	#dispatch(): void {
		if (this.#isDispatching) {
			return;
		}

		this.#isDispatching = true;
		try {
			for (const pool of this.#pools.values()) {
				this.#dispatchPool(pool);
			}
		} finally {
			this.#isDispatching = false;
		}
	}

	#dispatchPool({queue, blockedKeys, waitEstimator}: Pool<Need, Endpoint>): void {
		const now = performance.now();
		const isBlocked = (eligibilityKey: string) => blockedKeys.has(eligibilityKey);
		for (let entry = queue.findFirst(now, isBlocked); entry; entry = queue.findFirst(now, isBlocked)) {
			const endpoint = this.#settings.take(entry.job.need);
			if (endpoint === undefined) {
				blockedKeys.add(entry.attributes.eligibilityKey);
				continue;
			}

			queue.serve(entry);
			waitEstimator.recordGrant(now, queue.size > 0);
			entry.job.answer({kind: 'granted', endpoint});
		}
	}

	#findPool(name: string): Pool<Need, Endpoint> {
		const pool = this.#pools.get(name) ?? {queue: new FairPriorityQueue<Job<Need, Endpoint>>(), waitEstimator: new WaitEstimator(), blockedKeys: new Set<string>()};
		this.#pools.set(name, pool);
		return pool;
	}
}

function toAttributes<Need>({
	urgency, turn, weight, dueAt, workMs, rank = 0,
}: Waiter<Need>, eligibilityKey: string): SchedulingAttributes {
	return {
		urgency, turn, weight, eligibilityKey, beginBy: dueAt - workMs, rank, cost: workMs || 1,
	};
}
