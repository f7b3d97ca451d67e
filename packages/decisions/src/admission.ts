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
export type Applicant = {
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

type Position = {applicant: Applicant; hasStarted: boolean};

type Tally = {count: number; work: number; share: number};

/** Soonest and latest time that a refused caller is told to come back after, in milliseconds. */
export const minRetryAfterMs = 100;
export const maxRetryAfterMs = 30_000;

/**
 * Part of the remaining deadline that the estimate may use up. The rest is for the error of the estimate:
 * the wait is that of a mean. In the experiment's burst onto 8 slots none that is let in expires, over seeds 1–10.
 */
export const deadlineUse = 0.8;

/** Reserves positions in one waiting line. */
export class Admission {
	readonly #bounds: AdmissionBounds;
	readonly #positions = new Map<string, Position>();
	readonly #callers = new Map<string, Tally>();
	readonly #classWork: Record<PriorityClass, number> = {interactive: 0, rollout: 0, background: 0};
	#waiting: Tally = {count: 0, work: 0, share: 0};

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
	reserve(applicant: Applicant, now: number, rate: number): AdmissionDecision {
		const waitMs = this.estimateWait(applicant, rate);
		const reason = this.#findRefusal(applicant, waitMs, now);
		if (reason) {
			return {kind: 'refused', reason, retryAfterMs: this.#estimateReturn(applicant, waitMs, now, rate)};
		}

		this.#positions.set(applicant.id, {applicant, hasStarted: false});
		this.#tally(applicant, 1);
		return {kind: 'admitted', waitMs};
	}

	/** The request left the line to run. */
	start(id: string): void {
		const position = this.#positions.get(id);
		if (position && !position.hasStarted) {
			position.hasStarted = true;
			this.#tally(position.applicant, -1);
		}
	}

	/** Frees the position on any exit: finished, failed, cancelled or expired. */
	release(id: string): void {
		this.start(id);
		this.#positions.delete(id);
	}

	/**
	 * Expected wait in milliseconds: behind all work of its class and of more urgent ones, or,
	 * as turns are fair, behind its caller's own work at its share of the rate; whichever is less.
	 */
	estimateWait({class: name, caller, share, cost}: Applicant, rate: number): number {
		if (this.#waiting.count === 0) {
			return 0;
		}

		const urgency = priorityClasses.indexOf(name);
		const urgentWork = priorityClasses.slice(0, urgency).reduce((sum, other) => sum + this.#classWork[other], 0);
		const own = this.#callers.get(caller);
		const othersShare = this.#waiting.share - (own?.share ?? 0);
		const turnWork = ((own?.work ?? 0) + cost) * (othersShare + share) / share;
		const ahead = Math.min(this.#classWork[name], turnWork);
		return (urgentWork + ahead) / Math.max(rate, Number.EPSILON);
	}

	#findRefusal(applicant: Applicant, waitMs: number, now: number): RefusalReason | undefined {
		const own = this.#callers.get(applicant.caller);
		const {count, work, callerCount, callerWork} = this.#bounds;
		const checks: Array<[RefusalReason, boolean]> = [
			['deadline-too-near', isTooLate(applicant, waitMs, now)],
			['queue-full', this.#waiting.count >= count],
			['work-full', this.#waiting.count > 0 && this.#waiting.work + applicant.cost > work],
			['caller-full', own !== undefined && (own.count >= callerCount || own.work + applicant.cost > callerWork)],
		];
		return checks.find(([, isMet]) => isMet)?.[0];
	}

	/** When enough will have been served for a request like this to be let in. */
	#estimateReturn({serviceMs, deadlineAt, cost}: Applicant, waitMs: number, now: number, rate: number): number {
		const affordableMs = Math.max(0, (deadlineUse * (deadlineAt - now)) - serviceMs);
		const excessMs = Math.max(waitMs - affordableMs, cost / Math.max(rate, Number.EPSILON));
		return Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, excessMs)));
	}

	#tally({class: name, caller, share, cost}: Applicant, sign: 1 | -1): void {
		const own = this.#callers.get(caller);
		const count = (own?.count ?? 0) + sign;
		const isNew = !own;
		this.#classWork[name] += sign * cost;
		this.#waiting = {
			count: this.#waiting.count + sign,
			work: this.#waiting.work + (sign * cost),
			// A caller weighs once, by the share that it first came with.
			share: this.#waiting.share + (isNew ? share : 0) - (count === 0 ? own!.share : 0),
		};
		if (count === 0) {
			this.#callers.delete(caller);
		} else {
			this.#callers.set(caller, {count, work: (own?.work ?? 0) + (sign * cost), share: own?.share ?? share});
		}
	}
}

/** With no wait it is let in whatever it is expected to take: the slot is idle, and the expectation may be wrong. */
function isTooLate({deadlineAt, serviceMs}: Applicant, waitMs: number, now: number): boolean {
	const leftMs = deadlineAt - now;
	return leftMs <= 0 || (waitMs > 0 && waitMs + serviceMs > deadlineUse * leftMs);
}
