/**
 * Limits the number of concurrent requests of an endpoint.
 *
 * Load pattern: an endpoint's real capacity differs from its configured one and changes with the lengths of its requests. Without an adaptive limit too
 * many requests are sent, each slows all others, and urgent ones wait behind those already sent. The limit follows the measured latency: it grows by one
 * while it is used and latency stays near its floor, and shrinks by a factor otherwise (additive increase, multiplicative decrease: Chiu and Jain,
 * 1989).
 */
import type {PriorityClass} from '@wasabiusher/shared';
import {Headroom} from './headroom.js';

/** Bounds and initial value of a limit, in requests. */
export type LimitBounds = {min: number; max: number; initial: number};

/**
 * Ratio of latency to its floor above which the limit shrinks. Continuous batching slows each request by up to about two times at a full batch, which is
 * accepted; beyond it requests wait inside the endpoint.
 */
const latencyTolerance = 2;

/** Factor of each decrease, customary for latency-based limits (0.9 instead of TCP's 0.5, as nothing has been lost yet). */
const decreaseFactor = 0.9;

/** Minimum time between two decreases, as a multiple of the latency floor. */
const minDecreaseSpacingFloors = 1;

/**
 * Time after which the floor is measured again, in milliseconds. A floor that only drifts follows the latency that the limit itself causes, and the
 * limit then grows without bound; so it is measured at half the limit, as BBR does for its round-trip time (Cardwell et al., 2016). With requests of one
 * second this costs 1–2% of capacity.
 */
const floorValidityMs = 30_000;

/**
 * Ratio of latency to the floor up to which the floor is trusted and not measured again. Unconditional measurements every 30 s cost an overloaded pool a
 * quarter of its throughput for one second, and delayed short calls behind long ones.
 */
const trustedFloorRatio = 1.5;

/** Fraction of the limit that is used while the floor is measured. */
const floorProbeFraction = 0.5;

/**
 * Minimum number of measurements per mean; the limit if that is larger. When they were evaluated one by one, calls of 100–300 ms shrank the limit of a
 * healthy endpoint to a third, as the shortest call ever measured was the floor.
 */
const minWindowSize = 16;

/** Fraction of the limit that must be in use before it grows; an unused limit has not been tested. */
const minGrowthUtilization = 0.8;

/** The limit of one endpoint. */
export class ConcurrencyLimit {
	readonly #bounds: LimitBounds;
	readonly #headroom = new Headroom();
	#limit: number;
	#floorMs = Number.POSITIVE_INFINITY;
	#lastDecreaseAt = Number.NEGATIVE_INFINITY;
	#floorValidUntil: number | undefined;
	/** Whether the floor is being measured again. */
	#isProbing = false;
	#windowSum = 0;
	#windowCount = 0;
	#windowMaxInFlight = 0;

	constructor(bounds: LimitBounds) {
		this.#bounds = bounds;
		this.#limit = bounds.initial;
	}

	/** Current limit in requests, an integer. */
	get limit(): number {
		const effectiveLimit = this.#isProbing ? this.#limit * floorProbeFraction : this.#limit;
		return Math.max(this.#bounds.min, Math.floor(effectiveLimit));
	}

	/** Returns the number of requests that may be in flight when one of this class starts, after the reserve of `Headroom`; at least one. */
	limitFor(name: PriorityClass, now: number): number {
		return this.#headroom.limitFor(name, this.limit, now);
	}

	/** Records the number of interactive requests in flight at the endpoint from `now` on. */
	observeInteractive(inFlight: number, now: number): void {
		this.#headroom.observe(inFlight, now);
	}

	/**
	 * Records a finished request.
	 *
	 * @param latencyMs - time at the endpoint, divided by the actual amount of work if that is known
	 * @param inFlight - requests at the endpoint when it started
	 * @param hasFailed - refused or timed out for lack of capacity
	 */
	record(latencyMs: number, inFlight: number, hasFailed: boolean, now: number): void {
		if (hasFailed) {
			this.#decrease(now);
			return;
		}

		// A request that started under the full limit says nothing about the floor.
		if (this.#isProbing && inFlight > this.limit) {
			return;
		}

		this.#windowSum += latencyMs;
		this.#windowCount += 1;
		this.#windowMaxInFlight = Math.max(this.#windowMaxInFlight, inFlight);
		if (this.#windowCount >= Math.max(minWindowSize, this.limit)) {
			this.#closeWindow(now);
		}
	}

	/** Records the number of requests that the endpoint reports as waiting; the report lags, but needs no floor. */
	recordWaiting(waiting: number, now: number): void {
		if (waiting > 0) {
			this.#decrease(now);
		}
	}

	#closeWindow(now: number): void {
		const meanMs = this.#windowSum / this.#windowCount;
		const wasUsed = this.#windowMaxInFlight >= minGrowthUtilization * this.limit;
		this.#windowSum = 0;
		this.#windowCount = 0;
		this.#windowMaxInFlight = 0;
		if (this.#updateFloor(meanMs, now)) {
			return;
		}

		if (meanMs > latencyTolerance * this.#floorMs) {
			this.#decrease(now);
		} else if (wasUsed) {
			this.#limit = Math.min(this.#bounds.max, this.#limit + 1);
		}
	}

	/** Updates the floor; returns true if this window measured it and must have no other effect. */
	#updateFloor(meanMs: number, now: number): boolean {
		if (this.#isProbing) {
			this.#isProbing = false;
			this.#floorMs = meanMs;
			this.#floorValidUntil = now + floorValidityMs;
			return true;
		}

		this.#floorMs = Math.min(this.#floorMs, meanMs);
		if (meanMs <= trustedFloorRatio * this.#floorMs) {
			this.#floorValidUntil = now + floorValidityMs;
		}

		this.#floorValidUntil ??= now + floorValidityMs;
		this.#isProbing = now >= this.#floorValidUntil;
		return false;
	}

	#decrease(now: number): void {
		if (now - this.#lastDecreaseAt < minDecreaseSpacingFloors * this.#floorMs) {
			return;
		}

		this.#lastDecreaseAt = now;
		this.#limit = Math.max(this.#bounds.min, this.#limit * decreaseFactor);
	}
}
