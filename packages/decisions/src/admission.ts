/**
 * Who is let into a waiting line, and who is refused at once.
 *
 * Load pattern: more arrives than can be served. Without this the line grows until each
 * request in it is answered after its caller has given up, so that all capacity is spent on answers
 * that nobody receives. Bounded in count, in work and in time: a request whose estimated wait
 * exceeds what is left of its deadline is refused now, with the time to come back.
 *
 * A position is reserved and counted in one step and freed by `release`, whatever the exit.
 */
import {priorityClasses, type PriorityClass} from '@wasabiusher/shared';

/** What is known of a request when it asks to be let in. */
export type AdmissionRequest = {
	id: string;
	class: PriorityClass;
	caller: string;
	/** Weight of its profile. */
	share: number;
	/** Work, in tokens or calls. */
	cost: number;
	/** Milliseconds on the clock of `now`. */
	deadlineAt: number;
	/** How long it is expected to run once started, in milliseconds. */
	serviceMs: number;
};

/** Bounds of a waiting line. */
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

/** Exactly one of these, at once. */
export type AdmissionDecision
	= | {kind: 'admitted'; waitMs: number}
		| {kind: 'refused'; reason: RefusalReason; retryAfterMs: number};

type Reservation = {request: AdmissionRequest; hasStarted: boolean};

type QueuedTotals = {count: number; work: number; share: number};

/** Soonest and latest time that a refused caller is told to come back after, in milliseconds. */
export const minRetryAfterMs = 100;
export const maxRetryAfterMs = 30_000;

/**
 * Part of the remaining deadline that the estimate may use up. The rest is for the error of the estimate:
 * the wait is that of a mean. In the experiment's burst onto 8 slots none that is let in expires, over seeds 1–10.
 */
export const maxDeadlineFraction = 0.8;

/** Reserves positions in one waiting line. */
export class Admission {
	readonly #bounds: AdmissionBounds;
	readonly #reservations = new Map<string, Reservation>();
	readonly #callerTotals = new Map<string, QueuedTotals>();
	readonly #classWork: Record<PriorityClass, number> = {interactive: 0, rollout: 0, background: 0};
	#waiting: QueuedTotals = {count: 0, work: 0, share: 0};

	constructor(bounds: AdmissionBounds) {
		this.#bounds = bounds;
	}

	/** Requests that wait. */
	get waiting(): number {
		return this.#waiting.count;
	}

	/** Work that waits. */
	get work(): number {
		return this.#waiting.work;
	}

	/**
	 * Lets a request in and counts it, or refuses it.
	 *
	 * @param now - milliseconds
	 * @param rate - work that is served in a millisecond, as `DrainRate` measures it
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

	/** The request left the line to run. */
	start(id: string): void {
		const reservation = this.#reservations.get(id);
		if (reservation && !reservation.hasStarted) {
			reservation.hasStarted = true;
			this.#addToTotals(reservation.request, -1);
		}
	}

	/** Frees the position on any exit: finished, failed, cancelled or expired. */
	release(id: string): void {
		this.start(id);
		this.#reservations.delete(id);
	}

	/**
	 * Expected wait in milliseconds: behind all work of its class and of more urgent ones, or,
	 * as turns are fair, behind its caller's own work at its share of the rate; whichever is less.
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

	/** When enough will have been served for a request like this to be let in. */
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
			// A caller weighs once, by the share that it first came with.
			share: this.#waiting.share + (isNew ? share : 0) - (count === 0 ? callerTotals!.share : 0),
		};
		if (count === 0) {
			this.#callerTotals.delete(caller);
		} else {
			this.#callerTotals.set(caller, {count, work: (callerTotals?.work ?? 0) + (sign * cost), share: callerTotals?.share ?? share});
		}
	}
}

/** With no wait it is let in whatever it is expected to take: the slot is idle, and the expectation may be wrong. */
function isDeadlineTooNear({deadlineAt, serviceMs}: AdmissionRequest, waitMs: number, now: number): boolean {
	const remainingMs = deadlineAt - now;
	return remainingMs <= 0 || (waitMs > 0 && waitMs + serviceMs > maxDeadlineFraction * remainingMs);
}
