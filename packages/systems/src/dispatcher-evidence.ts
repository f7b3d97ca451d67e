/**
 * Feeds the results of attempts to the decisions: outlier ejection, pace estimates and poison detection.
 */
import type {Call} from './call.js';
import type {Attempt} from './dispatcher-attempt.js';
import {recordPace, type EndpointTable} from './dispatcher-endpoints.js';
import type {AttemptFailure, AttemptOutcome} from './dispatcher-outcome.js';
import type {Pool} from './dispatcher-pool.js';
import type {Pools} from './dispatcher-pools.js';
import type {SuspicionExchange} from './suspicion-exchange.js';

export type EvidenceSettings = {
	endpoints: EndpointTable;
	pools: Pools;
	suspicions: Pick<SuspicionExchange, 'recordFinished'>;
};

/** Records the results of attempts. */
export class Evidence {
	readonly #settings: EvidenceSettings;

	constructor(settings: EvidenceSettings) {
		this.#settings = settings;
	}

	/** Records the cancellation of an attempt. It counts against the endpoint only if the attempt ran longer than expected. */
	recordStopping(call: Call, attempt: Attempt): void {
		const pool = this.#settings.pools.get(call.service);
		if (attempt.runMs > (pool.estimateMs(call.cost) ?? Number.POSITIVE_INFINITY)) {
			this.#updateEjection(pool, call, attempt, false);
		}
	}

	/** Records the end of an attempt that was not cancelled. */
	recordEnd(call: Call, attempt: Attempt, outcome: AttemptOutcome): void {
		if (outcome.kind === 'finished') {
			this.#recordFinished(call, attempt);
		} else if (outcome.kind === 'failed') {
			this.#recordFailed(call, attempt, outcome);
		}
	}

	#recordFinished(call: Call, attempt: Attempt): void {
		const {endpoints, pools, suspicions} = this.#settings;
		suspicions.recordFinished(call.fingerprint);
		const row = endpoints.get(attempt.endpoint);
		if (!row || attempt.wasPaused) {
			return;
		}

		const pool = pools.get(call.service);
		this.#updateEjection(pool, call, attempt, false);
		recordPace(row, call.cost, attempt.runMs);
		pool.recordFinished(call, attempt.runMs, performance.now());
	}

	#recordFailed(call: Call, attempt: Attempt, {refusal}: AttemptFailure): void {
		const {endpoints, pools} = this.#settings;
		if (refusal === 'leaving') {
			endpoints.markLeaving(attempt.endpoint, performance.now());
			pools.resize(call.service);
		}

		// Refusals come from the agent, and lost links are detected by the link itself; neither is a failure of the endpoint.
		if (refusal === undefined && endpoints.get(attempt.endpoint)?.isUp) {
			this.#updateEjection(pools.get(call.service), call, attempt, true);
		}
	}

	#updateEjection(pool: Pool, call: Call, {endpoint, runMs}: Attempt, hasFailed: boolean): void {
		const expectedMs = pool.estimateMs(call.cost);
		const slowness = expectedMs === undefined ? 1 : runMs / Math.max(1, expectedMs);
		if (pool.ejection.record(endpoint, {hasFailed, slowness}, performance.now())) {
			this.#settings.pools.resize(call.service);
		}
	}
}
