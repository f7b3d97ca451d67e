/**
 * The line of one process: hands out slots one by one, in order, when something has changed.
 *
 * Load pattern: a thousand texts wait on a host of a fifth of a core, and slots become free a hundred times a second. If each looks for an endpoint at
 * each change the host does nothing else, and whoever looks first is served. Those with the same need share a lane; a lane for which nothing was found
 * is passed over until an endpoint changes.
 */
import type {AnswerCount, SlotLine, TurnCount} from './slot-line.js';
import {LineBound} from './line-bound.js';
import {LineCounts} from './line-counts.js';
import {WaitOrder, type Place} from './wait-order.js';
import type {SlotAnswer, Waiter} from './waiter.js';

/** Longest time until lanes are looked at again though nothing has changed, in milliseconds: pauses of endpoints end by themselves. */
const lookMs = 20;

/** Resolves once what happens at the moment is done. */
const moment = Promise.resolve();

export type HostLineSettings<Need, Endpoint> = {
	/** Names the endpoints for which needs compete, such as a service. */
	namePool(need: Need): string;
	/** Names the endpoints that fit a need: the same for needs that the same endpoints fit. */
	nameLane(need: Need): string;
	/** What one needs that is expected to wait so long, in milliseconds. */
	adapt(waiter: Waiter<Need>, waitMs: number): Need;
	/** Takes a slot of an endpoint that fits; undefined if there is none now. */
	take(need: Need): Endpoint | undefined;
	/** Time after which one that is refused should come back, in milliseconds. */
	planReturn(need: Need): number;
	/** Calls back when an endpoint of a pool may have become free or fit, of any pool without a name; returns how to end that. */
	onChange(listener: (pool?: string) => void): () => void;
};

type Job<Need, Endpoint> = {
	waiter: Waiter<Need>;
	need: Need;
	since: number;
	answer(answer: SlotAnswer<Endpoint>): void;
};

/** One that comes, and how long it is expected to wait, in milliseconds. */
type Newcomer<Need> = {waiter: Waiter<Need>; need: Need; lane: string; waitMs: number};

type Pool<Need, Endpoint> = {
	order: WaitOrder<Job<Need, Endpoint>>;
	bound: LineBound;
	/** Lanes for which nothing was found since the last change. */
	blocked: Set<string>;
};

/** The line. */
export class HostLine<Need, Endpoint> implements SlotLine<Need, Endpoint> {
	readonly #settings: HostLineSettings<Need, Endpoint>;
	readonly #pools = new Map<string, Pool<Need, Endpoint>>();
	readonly #jobs = new Set<Job<Need, Endpoint>>();
	readonly #counts = new LineCounts();
	#unsubscribe: (() => void) | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isLooking = false;
	#isLookPlanned = false;

	constructor(settings: HostLineSettings<Need, Endpoint>) {
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

	look(): void {
		for (const {blocked} of this.#pools.values()) {
			blocked.clear();
		}

		this.#handOut();
	}

	listTurns(): TurnCount[] {
		const now = performance.now();
		const turns = new Map<string, TurnCount>();
		for (const {waiter: {turn, urgency}, since} of this.#jobs) {
			const key = `${urgency}/${turn}`;
			const known = turns.get(key) ?? {
				turn, urgency, waiting: 0, oldestMs: 0,
			};
			turns.set(key, {...known, waiting: known.waiting + 1, oldestMs: Math.max(known.oldestMs, Math.round(now - since))});
		}

		return [...turns.values()];
	}

	async #wait(waiter: Waiter<Need>, signal: AbortSignal): Promise<SlotAnswer<Endpoint>> {
		const pool = this.#findPool(this.#settings.namePool(waiter.need));
		const waitMs = pool.bound.estimateWait(pool.order.countAhead(waiter), waiter.workMs);
		const need = this.#settings.adapt(waiter, waitMs);
		const lane = this.#settings.nameLane(need);
		const endpoint = pool.order.size === 0 && !pool.blocked.has(lane) ? this.#settings.take(need) : undefined;
		return endpoint === undefined
			? this.#enter(pool, {
				lane, need, waitMs, waiter,
			}, signal)
			: {kind: 'granted', endpoint};
	}

	async #enter(pool: Pool<Need, Endpoint>, {lane, need, waitMs, waiter}: Newcomer<Need>, signal: AbortSignal): Promise<SlotAnswer<Endpoint>> {
		if (pool.order.size === 0) {
			pool.bound.recordIdle(performance.now());
		}

		return new Promise(resolve => {
			const finish = (answer: SlotAnswer<Endpoint>) => {
				clearTimeout(timer);
				signal.removeEventListener('abort', leave);
				this.#jobs.delete(job);
				this.#rest();
				resolve(answer);
			};

			const giveUp = (answer: SlotAnswer<Endpoint>) => {
				pool.order.remove(entry);
				if (pool.order.size === 0) {
					pool.bound.recordIdle(performance.now());
				}

				finish(answer);
			};

			const leave = () => {
				giveUp({kind: 'left'});
			};

			const leftMs = waiter.deadlineAt - performance.now();
			const job: Job<Need, Endpoint> = {
				waiter, need, since: performance.now(), answer: finish,
			};
			const timer = setTimeout(giveUp, Math.max(0, leftMs), {kind: 'expired'});
			signal.addEventListener('abort', leave);
			this.#jobs.add(job);
			const entry = pool.order.add(toPlace(waiter, lane), job);
			this.#watch();
			this.#handOut();
			// What finds room at once is not refused, however long others wait.
			if (waiter.isRefusable && waitMs > leftMs && this.#jobs.has(job)) {
				giveUp({kind: 'refused', reason: 'too many wait to be served in time', retryAfterMs: this.#settings.planReturn(waiter.need)});
			}
		});
	}

	/** Begins to hear of changes; nothing is heard while nobody waits. */
	#watch(): void {
		this.#timer ??= setInterval(() => {
			this.look();
		}, lookMs);
		this.#unsubscribe ??= this.#settings.onChange(pool => {
			this.#noteChange(pool);
		});
	}

	#rest(): void {
		if (this.#jobs.size > 0) {
			return;
		}

		clearInterval(this.#timer);
		this.#timer = undefined;
		this.#unsubscribe?.();
		this.#unsubscribe = undefined;
		for (const {blocked} of this.#pools.values()) {
			blocked.clear();
		}
	}

	#noteChange(name: string | undefined): void {
		for (const [other, {blocked}] of this.#pools) {
			if (name === undefined || name === other) {
				blocked.clear();
			}
		}

		this.#planLook();
	}

	#planLook(): void {
		if (!this.#isLookPlanned) {
			this.#isLookPlanned = true;
			void this.#lookSoon();
		}
	}

	/** Looks once for all that changes at the same moment. */
	async #lookSoon(): Promise<void> {
		await moment;
		this.#isLookPlanned = false;
		this.#handOut();
	}

	#handOut(): void {
		if (this.#isLooking) {
			return;
		}

		this.#isLooking = true;
		try {
			for (const pool of this.#pools.values()) {
				this.#handOutPool(pool);
			}
		} finally {
			this.#isLooking = false;
		}
	}

	#handOutPool({order, blocked, bound}: Pool<Need, Endpoint>): void {
		const now = performance.now();
		const isPassedOver = (lane: string) => blocked.has(lane);
		for (let entry = order.findFirst(now, isPassedOver); entry; entry = order.findFirst(now, isPassedOver)) {
			const endpoint = this.#settings.take(entry.job.need);
			if (endpoint === undefined) {
				blocked.add(entry.place.lane);
				continue;
			}

			order.serve(entry);
			bound.recordGrant(now, order.size > 0);
			entry.job.answer({kind: 'granted', endpoint});
		}
	}

	#findPool(name: string): Pool<Need, Endpoint> {
		const pool = this.#pools.get(name) ?? {order: new WaitOrder<Job<Need, Endpoint>>(), bound: new LineBound(), blocked: new Set<string>()};
		this.#pools.set(name, pool);
		return pool;
	}
}

function toPlace<Need>({
	urgency, turn, weight, dueAt, workMs, rank = 0,
}: Waiter<Need>, lane: string): Place {
	return {
		urgency, turn, weight, lane, beginBy: dueAt - workMs, rank, cost: workMs || 1,
	};
}
