/**
 * Admits requests to a wait queue or refuses them immediately.
 *
 * Load pattern: more requests arrive than can be served. Without admission control the queue grows until each request is answered after its caller has
 * given up, so that all capacity is spent on answers that nobody receives. The queue is bounded in count, in work and in time: a request whose estimated
 * wait exceeds the rest of its deadline is refused immediately, with the time after which to retry.
 *
 * A position is reserved and counted in one step and released by `release`, however the request ends.
 */
import {priorityClasses, type PriorityClass} from '@wasabiusher/shared';

/** Properties of a request that applies for admission. */
export type AdmissionRequest = {
	id: string;
	class: PriorityClass;
	caller: string;
	/** Weight of its profile in fair queueing. */
	share: number;
	/** Work, in tokens or calls. */
	cost: number;
	/** Milliseconds on the clock of `now`. */
	deadlineAt: number;
	/** Expected duration once started, in milliseconds. */
	serviceMs: number;
};

/** Bounds of a wait queue. */
export type AdmissionBounds = {
	/** Requests waiting. */
	count: number;
	/** Work waiting. */
	work: number;
	/** Requests of one caller waiting. */
	callerCount: number;
	/** Work of one caller waiting. */
	callerWork: number;
};

export type RefusalReason = 'deadline-too-near' | 'queue-full' | 'work-full' | 'caller-full';

/** The outcome, decided immediately. */
export type AdmissionDecision
	= | {kind: 'admitted'; waitMs: number}
		| {kind: 'refused'; reason: RefusalReason; retryAfterMs: number};

type Reservation = {request: AdmissionRequest; hasStarted: boolean};

type QueuedTotals = {count: number; work: number; share: number};

/** Shortest and longest retry-after time that a refused caller gets, in milliseconds. */
export const minRetryAfterMs = 100;
export const maxRetryAfterMs = 30_000;

/**
 * Maximum fraction of the remaining deadline that the estimated wait and service time may use. The rest covers the estimation error, since the wait is
 * estimated from a mean. In the experiment's burst onto 8 slots no admitted request expires, over seeds 1–10.
 */
export const maxDeadlineFraction = 0.8;

/** Reserves positions in one wait queue. */
export class Admission {
	readonly #bounds: AdmissionBounds;
	readonly #reservations = new Map<string, Reservation>();
	readonly #callerTotals = new Map<string, QueuedTotals>();
	readonly #classWork: Record<PriorityClass, number> = {interactive: 0, rollout: 0, background: 0};
	#waiting: QueuedTotals = {count: 0, work: 0, share: 0};

	constructor(bounds: AdmissionBounds) {
		this.#bounds = bounds;
	}

	/** Number of waiting requests. */
	get waiting(): number {
		return this.#waiting.count;
	}

	/** Waiting work, in tokens or calls. */
	get work(): number {
		return this.#waiting.work;
	}

	/**
	 * Admits and counts a request, or refuses it.
	 *
	 * @param now - milliseconds
	 * @param rate - work served per millisecond, as measured by `DrainRate`
	 */
	reserve(request: AdmissionRequest, now: number, rate: number): AdmissionDecision {
		const waitMs = this.estimateWaitMs(request, rate);
		const reason = this.#findRefusal(request, waitMs, now);
		if (reason) {
			return {kind: 'refused', reason, retryAfterMs: this.#estimateRetryAfter(request, waitMs, now, rate)};
		}

		this.#reservations.set(request.id, {request, hasStarted: false});
		this.#addToTotals(request, 1);
		return {kind: 'admitted', waitMs};
	}

	/** Marks a request as having left the queue to run. */
	start(id: string): void {
		const reservation = this.#reservations.get(id);
		if (reservation && !reservation.hasStarted) {
			reservation.hasStarted = true;
			this.#addToTotals(reservation.request, -1);
		}
	}

	/** Releases the position of a request that finished, failed, was cancelled or expired. */
	release(id: string): void {
		this.start(id);
		this.#reservations.delete(id);
	}

	/**
	 * Returns the expected wait in milliseconds: the smaller of the wait behind all work of its class and of more urgent ones, and the wait behind its
	 * caller's own work at the caller's share of the rate, as the queue is fair.
	 */
	estimateWaitMs({class: name, caller, share, cost}: AdmissionRequest, rate: number): number {
		if (this.#waiting.count === 0) {
			return 0;
		}

		const urgency = priorityClasses.indexOf(name);
		const urgentWork = priorityClasses.slice(0, urgency).reduce((sum, other) => sum + this.#classWork[other], 0);
		const callerTotals = this.#callerTotals.get(caller);
		const otherCallersShare = this.#waiting.share - (callerTotals?.share ?? 0);
		const fairQueueWork = ((callerTotals?.work ?? 0) + cost) * (otherCallersShare + share) / share;
		const workAhead = Math.min(this.#classWork[name], fairQueueWork);
		return (urgentWork + workAhead) / Math.max(rate, Number.EPSILON);
	}

	#findRefusal(request: AdmissionRequest, waitMs: number, now: number): RefusalReason | undefined {
		const callerTotals = this.#callerTotals.get(request.caller);
		const {count, work, callerCount, callerWork} = this.#bounds;
		const checks: Array<[RefusalReason, boolean]> = [
			['deadline-too-near', isDeadlineTooNear(request, waitMs, now)],
			['queue-full', this.#waiting.count >= count],
			['work-full', this.#waiting.count > 0 && this.#waiting.work + request.cost > work],
			['caller-full', callerTotals !== undefined && (callerTotals.count >= callerCount || callerTotals.work + request.cost > callerWork)],
		];
		return checks.find(([, isMet]) => isMet)?.[0];
	}

	/** Returns the time after which enough work will have been served to admit a request like this, in milliseconds. */
	#estimateRetryAfter({serviceMs, deadlineAt, cost}: AdmissionRequest, waitMs: number, now: number, rate: number): number {
		const affordableMs = Math.max(0, (maxDeadlineFraction * (deadlineAt - now)) - serviceMs);
		const excessMs = Math.max(waitMs - affordableMs, cost / Math.max(rate, Number.EPSILON));
		return Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, excessMs)));
	}

	#addToTotals({class: name, caller, share, cost}: AdmissionRequest, sign: 1 | -1): void {
		const callerTotals = this.#callerTotals.get(caller);
		const count = (callerTotals?.count ?? 0) + sign;
		const isNew = !callerTotals;
		this.#classWork[name] += sign * cost;
		this.#waiting = {
			count: this.#waiting.count + sign,
			work: this.#waiting.work + (sign * cost),
			// A caller counts once, with the share of its first waiting request.
			share: this.#waiting.share + (isNew ? share : 0) - (count === 0 ? callerTotals!.share : 0),
		};
		if (count === 0) {
			this.#callerTotals.delete(caller);
		} else {
			this.#callerTotals.set(caller, {count, work: (callerTotals?.work ?? 0) + (sign * cost), share: callerTotals?.share ?? share});
		}
	}
}

/** Without a wait a request is admitted whatever its expected duration: the slot is idle, and the estimate may be wrong. */
function isDeadlineTooNear({deadlineAt, serviceMs}: AdmissionRequest, waitMs: number, now: number): boolean {
	const remainingMs = deadlineAt - now;
	return remainingMs <= 0 || (waitMs > 0 && waitMs + serviceMs > maxDeadlineFraction * remainingMs);
}
