/**
 * Ejects endpoints that are slow or failing, and restores them once they have recovered.
 *
 * Load pattern: one endpoint of a few runs ten times slower, or fails half of its calls. Without ejection each request sent to it is late or lost, and
 * fast failures attract even more requests, as a failing endpoint looks idle. Each endpoint is judged by its own requests relative to those of the
 * others at the same time, so that a pool that is slow as a whole stays in use; and only a part of a pool may be ejected at the same time.
 */

/** Result of one request to an endpoint. */
export type RequestObservation = {
	hasFailed: boolean;
	/** Duration, or duration so far, over the expected duration of its work. */
	slowness: number;
};

/** Weight of a new request in the moving averages: ten requests make up three quarters of an average. */
const smoothingWeight = 0.13;

/** Minimum number of requests for the averages to be used. */
const minObservations = 5;

/** Consecutive bad requests that eject an endpoint; by chance, where one in ten is bad, this happens once in 100,000 requests. */
const maxConsecutiveBad = 5;

/** Rate of bad requests that ejects an endpoint: with retries within their budget of 10%, a higher rate can't be compensated by retrying. */
const maxBadRate = 0.25;

/**
 * Slowness relative to the median of the other endpoints above which a request counts as bad; smaller differences are left to routing. Of heavy-tailed
 * lengths (lognormal, sigma 0.8) 4% exceed it on a healthy endpoint.
 */
const maxRelativeSlowness = 3;

/** Maximum fraction of a pool that may be ejected at the same time; the rest must carry the load. In a pool of two or more, one may be ejected. */
const maxEjectedFraction = 0.34;

/** Time until the first probe and between successful probes, in milliseconds. */
const probeIntervalMs = 500;

/** Factor by which each failed probe delays the next, and the maximum interval, in milliseconds. */
const probeBackoffFactor = 1.5;
const maxProbeIntervalMs = 2000;

/**
 * Consecutive successful probes that restore an endpoint. An endpoint that fails half of its calls passes five by chance once in 32 tries. A recovered
 * endpoint is restored after at most 2 s and five probes half a second apart: 4.5 s plus the duration of the probes.
 */
const requiredProbes = 5;

/** Time after which an unfinished probe counts as failed, in milliseconds. */
const probeTimeoutMs = 3000;

type Health = {
	isEjected: boolean;
	count: number;
	consecutiveBad: number;
	badRate: number;
	slowness: number;
	probesPassed: number;
	probeIntervalMs: number;
	nextProbeAt: number;
};

/** Tracks the health of the endpoints of one pool. */
export class Ejection {
	readonly #endpoints = new Map<string, Health>();

	/** Adds an endpoint to the pool, in use. */
	add(endpoint: string): void {
		if (!this.#endpoints.has(endpoint)) {
			this.#endpoints.set(endpoint, createHealth());
		}
	}

	/** Removes an endpoint that has left the pool. */
	remove(endpoint: string): void {
		this.#endpoints.delete(endpoint);
	}

	isEjected(endpoint: string): boolean {
		return this.#endpoints.get(endpoint)?.isEjected ?? false;
	}

	/** Number of ejected endpoints. */
	get ejectedCount(): number {
		return this.#listHealth().filter(({isEjected}) => isEjected).length;
	}

	/** Returns whether a running request has taken so long that it should be passed to `record` now instead of when it ends. */
	isOverdue(endpoint: string, slowness: number): boolean {
		const health = this.#endpoints.get(endpoint);
		return health !== undefined && this.#isSlow(health, slowness);
	}

	/**
	 * Records a request that has ended or is overdue; must be called once per request.
	 *
	 * @returns whether this ejected the endpoint, so that its running requests may be tried elsewhere
	 */
	record(endpoint: string, {hasFailed, slowness}: RequestObservation, now: number): boolean {
		const health = this.#endpoints.get(endpoint);
		if (!health || health.isEjected) {
			return false;
		}

		const isBad = hasFailed || this.#isSlow(health, slowness);
		const weight = Math.max(smoothingWeight, 1 / (health.count + 1));
		health.count += 1;
		health.consecutiveBad = isBad ? health.consecutiveBad + 1 : 0;
		health.badRate += weight * (Number(isBad) - health.badRate);
		if (!hasFailed) {
			health.slowness += weight * (slowness - health.slowness);
		}

		const hasEvidence = health.consecutiveBad >= maxConsecutiveBad || (health.count >= minObservations && health.badRate > maxBadRate);
		if (!hasEvidence || !this.#canEject()) {
			return false;
		}

		Object.assign(health, createHealth(), {isEjected: true, nextProbeAt: now + probeIntervalMs});
		return true;
	}

	/**
	 * Starts a probe of an ejected endpoint; returns false if none is due. A probe is a second copy of an idempotent request or a health check, never the
	 * only copy of a caller's request.
	 */
	tryStartProbe(endpoint: string, now: number): boolean {
		const health = this.#endpoints.get(endpoint);
		if (!health?.isEjected || now < health.nextProbeAt) {
			return false;
		}

		// Applies until the probe ends; a probe that never ends delays the next one by this time only.
		health.nextProbeAt = now + probeTimeoutMs;
		return true;
	}

	/** Records the result of a probe; enough successful ones in a row restore the endpoint. */
	recordProbe(endpoint: string, {hasFailed, slowness}: RequestObservation, now: number): void {
		const health = this.#endpoints.get(endpoint);
		if (!health?.isEjected) {
			return;
		}

		if (hasFailed || this.#isSlow(health, slowness)) {
			health.probesPassed = 0;
			health.probeIntervalMs = Math.min(maxProbeIntervalMs, health.probeIntervalMs * probeBackoffFactor);
			health.nextProbeAt = now + health.probeIntervalMs;
			return;
		}

		health.probesPassed += 1;
		health.probeIntervalMs = probeIntervalMs;
		health.nextProbeAt = now + probeIntervalMs;
		if (health.probesPassed >= requiredProbes) {
			Object.assign(health, createHealth());
		}
	}

	#listHealth(): Health[] {
		return [...this.#endpoints.values()];
	}

	#isSlow(health: Health, slowness: number): boolean {
		// The median is at least 1, so for most requests it need not be computed.
		return slowness > maxRelativeSlowness && slowness > maxRelativeSlowness * this.#findMedianSlowness(health);
	}

	#canEject(): boolean {
		const total = this.#endpoints.size;
		const allowed = total < 2 ? 0 : Math.max(1, Math.floor(maxEjectedFraction * total));
		return this.ejectedCount < allowed;
	}

	/** Returns the median slowness of the other endpoints in use; 1, the expected slowness, without any to compare with. */
	#findMedianSlowness(health: Health): number {
		const others = this.#listHealth()
			.filter(other => other !== health && !other.isEjected && other.count >= minObservations)
			.map(({slowness}) => slowness)
			.toSorted((a, b) => a - b);
		return Math.max(1, others[Math.floor(others.length / 2)] ?? 1);
	}
}

function createHealth(): Health {
	return {
		isEjected: false, count: 0, consecutiveBad: 0, badRate: 0, slowness: 1, probesPassed: 0, probeIntervalMs, nextProbeAt: 0,
	};
}
