/**
 * Slots kept free of less urgent work.
 *
 * Load pattern: rollouts of many seconds fill every slot, and an interactive request comes. Without this it
 * waits until one of them ends, as running work is not stopped. What is kept free follows what interactive
 * callers lately used at once, so that a share that they leave idle is lent: a fixed part would cost rollouts
 * an eighth of a pool in which nobody asks for it.
 */
import type {PriorityClass} from '@wasabiusher/shared';

/** Time in which what interactive callers used is mostly forgotten, in milliseconds; lent slots are back in less than it. */
const timeConstantMs = 10_000;

/**
 * Standard deviations over the mean that are kept free. Swept over seeds 1–10 of the experiment's long jobs among
 * short: at 0 the short calls' p99 is 2.2–3.5 times that alone, at 0.5 1.6–2.0, at 0.7 1.4–1.8, at 1 1.2–1.4; of what
 * is left the rollouts get at the least 0.94, 0.92, 0.91 and 0.88.
 */
const reservedDeviations = 0.7;

/** Most of a limit that is kept free, whatever was used: rollouts keep at least half. */
const maxReservedFraction = 0.5;

/** Slots kept free though none were used lately, from this limit on: the first request after a quiet hour finds one. */
const idleReserve = 1;
const minLimitForReserve = 8;

/** Requests in the mean that are as good as none: the mean never quite comes to nothing. */
const negligibleRequests = 0.05;

/** Slots that each class leaves free, in parts of what is reserved; background work leaves more than rollouts. */
const reserveFactors: Readonly<Record<PriorityClass, number>> = {interactive: 0, rollout: 1, background: 1.5};

/** What interactive requests use at once, and what is to be left for them. */
export class Headroom {
	#mean = 0;
	#variance = 0;
	#observedAt: number | undefined;
	#current = 0;

	/** Notes how many interactive requests are in flight from `now` on. */
	observe(inFlight: number, now: number): void {
		const {mean, variance} = this.#project(now);
		this.#mean = mean;
		this.#variance = variance;
		this.#observedAt = now;
		this.#current = inFlight;
	}

	/** Slots to be left free now, besides those that interactive requests already use. */
	reserve(limit: number, now: number): number {
		const {mean, variance} = this.#project(now);
		const expected = Math.ceil(mean + (reservedDeviations * Math.sqrt(variance)) - negligibleRequests);
		const wanted = Math.max(expected - this.#current, limit >= minLimitForReserve ? idleReserve : 0);
		return Math.min(wanted, Math.floor(maxReservedFraction * limit));
	}

	/** Requests that may be in flight in all when one of this class starts; always at least one. */
	limitFor(name: PriorityClass, limit: number, now: number): number {
		return Math.max(1, limit - Math.ceil(reserveFactors[name] * this.reserve(limit, now)));
	}

	/** Mean and variance as they are now, with what has been in flight since the last observation. */
	#project(now: number): {mean: number; variance: number} {
		const weight = this.#observedAt === undefined ? 1 : 1 - Math.exp(-(now - this.#observedAt) / timeConstantMs);
		const difference = this.#current - this.#mean;
		return {
			mean: this.#mean + (weight * difference),
			variance: (1 - weight) * (this.#variance + (weight * (difference ** 2))),
		};
	}
}
