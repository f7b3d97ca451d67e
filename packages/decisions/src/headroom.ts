/**
 * Reserves slots of an endpoint for more urgent work.
 *
 * Load pattern: rollouts of many seconds fill every slot when an interactive request arrives. Without a reserve it waits until one of them ends, as
 * running work is not stopped. The reserve follows the recent concurrency of interactive callers, so that slots which they don't use are lent: a fixed
 * reserve would cost rollouts an eighth of a pool that has no interactive load.
 */
import type {PriorityClass} from '@wasabiusher/shared';

/** Time constant with which the past interactive concurrency is forgotten, in milliseconds; lent slots are returned in less time. */
const timeConstantMs = 10_000;

/**
 * Number of standard deviations above the mean to reserve. Swept over seeds 1–10 of the experiment's long jobs among short ones: the short calls' p99 is
 * 2.2–3.5 times that without long jobs at 0, 1.6–2.0 at 0.5, 1.4–1.8 at 0.7 and 1.2–1.4 at 1; rollouts get at least 0.94, 0.92, 0.91 and 0.88 of the
 * remaining capacity.
 */
const reservedDeviations = 0.7;

/** Maximum fraction of a limit that is reserved: rollouts keep at least half. */
const maxReservedFraction = 0.5;

/** Slots reserved without recent interactive load, for limits from `minLimitForReserve` on: the first request after a quiet period finds a free slot. */
const idleReserve = 1;
const minLimitForReserve = 8;

/** Mean number of requests that counts as zero, since the mean never decays to exactly zero. */
const negligibleRequests = 0.05;

/** Slots that each class leaves free, as a multiple of the reserve; background work leaves more than rollouts. */
const reserveFactors: Readonly<Record<PriorityClass, number>> = {interactive: 0, rollout: 1, background: 1.5};

/** Tracks the concurrency of interactive requests and reserves slots for them. */
export class Headroom {
	#mean = 0;
	#variance = 0;
	#observedAt: number | undefined;
	#current = 0;

	/** Records the number of interactive requests in flight from `now` on. */
	observe(inFlight: number, now: number): void {
		const {mean, variance} = this.#estimateAt(now);
		this.#mean = mean;
		this.#variance = variance;
		this.#observedAt = now;
		this.#current = inFlight;
	}

	/** Returns the number of slots to keep free now, in addition to those that interactive requests use. */
	reserve(limit: number, now: number): number {
		const {mean, variance} = this.#estimateAt(now);
		const expected = Math.ceil(mean + (reservedDeviations * Math.sqrt(variance)) - negligibleRequests);
		const wanted = Math.max(expected - this.#current, limit >= minLimitForReserve ? idleReserve : 0);
		return Math.min(wanted, Math.floor(maxReservedFraction * limit));
	}

	/** Returns the number of requests that may be in flight in total when one of this class starts; at least one. */
	limitFor(name: PriorityClass, limit: number, now: number): number {
		return Math.max(1, limit - Math.ceil(reserveFactors[name] * this.reserve(limit, now)));
	}

	/** Returns the mean and variance at `now`, with the in-flight count of the last observation. */
	#estimateAt(now: number): {mean: number; variance: number} {
		const weight = this.#observedAt === undefined ? 1 : 1 - Math.exp(-(now - this.#observedAt) / timeConstantMs);
		const difference = this.#current - this.#mean;
		return {
			mean: this.#mean + (weight * difference),
			variance: (1 - weight) * (this.#variance + (weight * (difference ** 2))),
		};
	}
}
