/**
 * Takes an endpoint that is slow or failing out of use, and brings it back when it has healed.
 *
 * Load pattern: one endpoint of a few runs ten times slower, or fails half of its calls. Without this each
 * request sent there is late or lost, and a fast failure even draws more, as a failing endpoint looks idle.
 * Each endpoint is judged by its own requests, against what the others show at the same time, so that a pool
 * that is slow as a whole is not taken apart; and only a part of a pool may be out at once.
 */

/** What one request showed of its endpoint. */
export type RequestObservation = {
	hasFailed: boolean;
	/** Time taken, or taken so far, over the time expected for its work. */
	slowness: number;
};

/** Weight of a new request in the averages: ten requests are three quarters of it. */
const smoothingWeight = 0.13;

/** Requests before the averages count. */
const minObservations = 5;

/** Bad requests in a row that eject; by chance, where one in ten is bad, it happens once in 100,000 requests. */
const maxConsecutiveBad = 5;

/** Part of bad requests that ejects: with retries within their budget of 10%, more than a quarter can't be mended by trying again. */
const maxBadRate = 0.25;

/**
 * Slowness over the median of the others from which a request is as bad as a failed one; smaller differences are left to
 * routing. Of heavy-tailed lengths (lognormal, sigma 0.8) 4% pass it on a healthy endpoint.
 */
const maxRelativeSlowness = 3;

/** Most of a pool that may be out at once; the rest must carry the load. One may be out in a pool of two or more. */
const maxEjectedFraction = 0.34;

/** Time until the first probe and between good ones, in milliseconds. */
const probeIntervalMs = 500;

/** Factor by which each failed probe puts off the next, and the most that it may be put off, in milliseconds. */
const probeBackoffFactor = 1.5;
const maxProbeIntervalMs = 2000;

/**
 * Good probes in a row that bring it back. An endpoint that fails half of its calls passes five by chance once in 32 tries.
 * Healed, it is back after at most 2 s and five probes half a second apart: 4.5 s and the time of the probes.
 */
const requiredProbes = 5;

/** Time after which a probe that has not ended counts as failed, in milliseconds. */
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

/** Judges the endpoints of one pool. */
export class Ejection {
	readonly #endpoints = new Map<string, Health>();

	/** Adds an endpoint of the pool, in use. */
	add(endpoint: string): void {
		if (!this.#endpoints.has(endpoint)) {
			this.#endpoints.set(endpoint, createHealth());
		}
	}

	/** Forgets an endpoint that has left. */
	remove(endpoint: string): void {
		this.#endpoints.delete(endpoint);
	}

	isEjected(endpoint: string): boolean {
		return this.#endpoints.get(endpoint)?.isEjected ?? false;
	}

	/** Endpoints out of use. */
	get ejectedCount(): number {
		return this.#listHealth().filter(({isEjected}) => isEjected).length;
	}

	/** Whether a request that still runs has taken so long that `record` should be told now rather than at its end. */
	isOverdue(endpoint: string, slowness: number): boolean {
		const health = this.#endpoints.get(endpoint);
		return health !== undefined && this.#isSlow(health, slowness);
	}

	/**
	 * Learns from a request that has ended, or that is overdue; once from each.
	 *
	 * @returns whether this ejected the endpoint; what runs there may then be tried elsewhere
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
	 * Takes the turn to probe an ejected endpoint; false if it is not due.
	 * The probe is a second copy of an idempotent request or a health call, never the only copy of a caller's.
	 */
	tryTakeProbe(endpoint: string, now: number): boolean {
		const health = this.#endpoints.get(endpoint);
		if (!health?.isEjected || now < health.nextProbeAt) {
			return false;
		}

		// Until it ends; a probe that never does is not waited for.
		health.nextProbeAt = now + probeTimeoutMs;
		return true;
	}

	/** Learns from a probe; enough good ones bring the endpoint back. */
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
		// The typical is 1 at the least, so most requests are judged without it.
		return slowness > maxRelativeSlowness && slowness > maxRelativeSlowness * this.#findMedianSlowness(health);
	}

	#canEject(): boolean {
		const total = this.#endpoints.size;
		const allowed = total < 2 ? 0 : Math.max(1, Math.floor(maxEjectedFraction * total));
		return this.ejectedCount < allowed;
	}

	/** Median of the others in use; 1, as expected, while there is nothing to compare with. */
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
