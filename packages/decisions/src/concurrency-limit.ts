/**
 * How many requests an endpoint may hold at once.
 *
 * Load pattern: an endpoint's real capacity differs from its setting and changes with the lengths of
 * what it runs. Without this, too much is sent, each request slows all others, and urgent ones wait
 * behind what was already sent. The limit follows the measured latency: it grows by a little while
 * the limit is used and latency stays near its floor, and shrinks by a factor when it does not
 * (additive increase, multiplicative decrease: Chiu and Jain, 1989).
 */
import type {PriorityClass} from '@wasabiusher/shared';
import {Headroom} from './headroom.js';

/** Bounds and start of a limit, in requests. */
export type LimitBounds = {min: number; max: number; initial: number};

/**
 * Latency over its floor at which the limit shrinks. Continuous batching slows each request by up to about
 * twice at a full batch, which is wanted; beyond it requests wait inside the endpoint.
 */
const latencyTolerance = 2;

/** Factor of each decrease, customary for latency-driven limits (0.9 rather than TCP's 0.5, as nothing is lost yet). */
const decreaseFactor = 0.9;

/** Decreases that may follow one another, at most one in each of these times the latency floor. */
const minDecreaseSpacingFloors = 1;

/**
 * Time after which the floor is measured anew, in milliseconds. A floor that only drifts follows the latency that
 * the limit itself makes, and the limit then grows without bound; so it is measured at half the limit, as
 * BBR does for its round trip (Cardwell et al., 2016). At requests of a second this costs 1–2% of capacity.
 */
const floorValidityMs = 30_000;

/**
 * Latency over the floor up to which the floor is not in doubt, so that it need not be measured. Measured every 30 s
 * regardless, it cost an overloaded pool a quarter of its work for a second, and held up short calls behind long ones.
 */
const trustedFloorRatio = 1.5;

/** Part of the limit that is used while the floor is measured. */
const floorProbeFraction = 0.5;

/**
 * Measurements of which the mean is taken, at the least; a limit's worth if that is more. Judged one by one, calls of
 * 100–300 ms shrank the limit of a healthy endpoint to a third, as the shortest ever seen was the floor.
 */
const minWindowSize = 16;

/** Fraction of the limit that must be in use before it grows; an unused limit proves nothing. */
const minGrowthUtilization = 0.8;

/** The limit of one endpoint. */
export class ConcurrencyLimit {
	readonly #bounds: LimitBounds;
	readonly #headroom = new Headroom();
	#limit: number;
	#floorMs = Number.POSITIVE_INFINITY;
	#lastDecreaseAt = Number.NEGATIVE_INFINITY;
	#floorValidUntil: number | undefined;
	/** While the floor is measured anew. */
	#isProbing = false;
	#windowSum = 0;
	#windowCount = 0;
	#windowMaxInFlight = 0;

	constructor(bounds: LimitBounds) {
		this.#bounds = bounds;
		this.#limit = bounds.initial;
	}

	/** Requests, a whole number. */
	get limit(): number {
		const effectiveLimit = this.#isProbing ? this.#limit * floorProbeFraction : this.#limit;
		return Math.max(this.#bounds.min, Math.floor(effectiveLimit));
	}

	/** Requests that may be in flight when one of this class starts, as `Headroom` leaves them; always at least one. */
	limitFor(name: PriorityClass, now: number): number {
		return this.#headroom.limitFor(name, this.limit, now);
	}

	/** Notes how many interactive requests are in flight there from `now` on. */
	observeInteractive(inFlight: number, now: number): void {
		this.#headroom.observe(inFlight, now);
	}

	/**
	 * Learns from a finished request.
	 *
	 * @param latencyMs - time at the endpoint, divided by the work that it turned out to be, if that is known
	 * @param inFlight - requests there when it started
	 * @param hasFailed - refused or timed out for want of capacity
	 */
	record(latencyMs: number, inFlight: number, hasFailed: boolean, now: number): void {
		if (hasFailed) {
			this.#decrease(now);
			return;
		}

		// What started under the full limit says nothing of the floor.
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

	/** Takes the endpoint's word that it holds more than it can run; it lags, but needs no floor. */
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

	/** Keeps the floor; true if this window measured it and is to have no other effect. */
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
