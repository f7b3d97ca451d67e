/**
 * What attempts show of their endpoints and of the work, passed on to the decisions.
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

/** Learns from attempts as they end. */
export class Evidence {
	readonly #settings: EvidenceSettings;

	constructor(settings: EvidenceSettings) {
		this.#settings = settings;
	}

	/** An attempt is stopped. Before its time that says nothing of the endpoint; overdue it does. */
	recordStopping(call: Call, attempt: Attempt): void {
		const pool = this.#settings.pools.get(call.service);
		if (attempt.runMs > (pool.estimateMs(call.cost) ?? Number.POSITIVE_INFINITY)) {
			this.#judge(pool, call, attempt, false);
		}
	}

	/** An attempt that was not stopped has ended. */
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
		this.#judge(pool, call, attempt, false);
		recordPace(row, call.cost, attempt.runMs);
		pool.recordFinished(call, attempt.runMs, performance.now());
	}

	#recordFailed(call: Call, attempt: Attempt, {refusal}: AttemptFailure): void {
		const {endpoints, pools} = this.#settings;
		if (refusal === 'leaving') {
			endpoints.markLeaving(attempt.endpoint, performance.now());
			pools.resize(call.service);
		}

		// A refusal is the agent's word, and a lost link is seen by the link; neither is the endpoint's failure.
		if (refusal === undefined && endpoints.get(attempt.endpoint)?.isUp) {
			this.#judge(pools.get(call.service), call, attempt, true);
		}
	}

	#judge(pool: Pool, call: Call, {endpoint, runMs}: Attempt, hasFailed: boolean): void {
		const expectedMs = pool.estimateMs(call.cost);
		const slowness = expectedMs === undefined ? 1 : runMs / Math.max(1, expectedMs);
		if (pool.ejection.record(endpoint, {hasFailed, slowness}, performance.now())) {
			this.#settings.pools.resize(call.service);
		}
	}
}
