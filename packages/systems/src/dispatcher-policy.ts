/**
 * Applies the decisions (routing, retries, hedging, admission) to the calls of an entry.
 */
import {decideRetry, RetryBudget} from '@wasabiusher/decisions';
import type {Ran, Random} from '@wasabiusher/shared';
import type {Call, CallRecord} from './call.js';
import type {Attempt} from './dispatcher-attempt.js';
import {createOpen, type Attempts} from './dispatcher-attempts.js';
import type {EndpointTable} from './dispatcher-endpoints.js';
import type {Pools} from './dispatcher-pools.js';
import type {AttemptHistory, Route, Router} from './dispatcher-routing.js';
import type {AttemptListener, RetryFacts, RunContext} from './dispatcher-run-context.js';
import type {Invariants} from './invariants.js';

export type PolicySettings = {
	endpoints: EndpointTable;
	pools: Pools;
	router: Router;
	attempts: Attempts;
	random: Random;
	invariants?: Invariants;
	onEnded(call: Call, record: CallRecord): void;
};

function isHedgeable({profile}: Call): boolean {
	return profile.hedge && profile.idempotent;
}

export class Policy implements RunContext {
	readonly #settings: PolicySettings;
	readonly #retries = new RetryBudget();

	constructor(settings: PolicySettings) {
		this.#settings = settings;
	}

	onStarted({id, caller, service}: Call): void {
		const pool = this.#settings.pools.get(service);
		pool.admission.start(id);
		pool.hedging.recordFirstTry();
		this.#retries.recordFirstTry(caller);
	}

	choose(call: Call, history: AttemptHistory): Route {
		const {router, pools} = this.#settings;
		const route = router.choose(call, pools.get(call.service), history);
		return route.kind === 'endpoint' && !this.#acceptsWork(route.id) ? {kind: 'none'} : route;
	}

	createAttempt(call: Call, number: number, endpoint: string, listener: AttemptListener): Attempt {
		return this.#settings.attempts.create(call, number, endpoint, listener);
	}

	startAttempt(call: Call, attempt: Attempt, isSuspect: boolean): void {
		this.#settings.router.recordSent(call, attempt.endpoint);
		attempt.start(createOpen(call, attempt.number, isSuspect));
	}

	decideRetry(call: Call, facts: RetryFacts): number | undefined {
		const {pools, random} = this.#settings;
		const {caller, deadlineAt, profile, service, cost} = call;
		const decision = decideRetry({
			...facts, caller, deadlineAt, serviceMs: pools.get(service).estimateMs(cost) ?? 0, isIdempotent: profile.idempotent,
		}, this.#retries, random, performance.now());
		return decision.kind === 'retry' ? decision.delayMs : undefined;
	}

	findHedgeDelay(call: Call): number | undefined {
		const {delayMs} = this.#settings.pools.get(call.service).hedging;
		// Timers count whole milliseconds and may fire a little early, when the call would not count as slow yet.
		return isHedgeable(call) && delayMs !== undefined ? Math.ceil(delayMs) + 1 : undefined;
	}

	tryHedge(call: Call, startedAt: number): boolean {
		const {endpoints, pools} = this.#settings;
		const {service, deadlineAt} = call;
		return pools.get(service).hedging.tryTake({
			isAllowed: isHedgeable(call), startedAt, deadlineAt, isHedged: false,
		}, endpoints.measureUtilization(service), performance.now());
	}

	onFirstEvent({service}: Call, waitMs: number): void {
		this.#settings.pools.get(service).hedging.recordTime(waitMs);
	}

	checkAtMostOnce({id, profile}: Call, mayHaveRun: boolean): boolean {
		return this.#settings.invariants?.checkAtMostOnce(id, {isIdempotent: profile.idempotent, mayHaveRun}) ?? true;
	}

	checkRan({id}: Call, ran: Ran, mayHaveRun: boolean): Ran {
		return this.#settings.invariants?.checkRan(id, ran, mayHaveRun) ?? ran;
	}

	onEnded(call: Call, record: CallRecord): void {
		this.#settings.pools.get(call.service).admission.release(call.id);
		this.#settings.onEnded(call, record);
	}

	#acceptsWork(endpoint: string): boolean {
		const {endpoints, invariants} = this.#settings;
		return invariants?.checkTakesWork(endpoint, endpoints.findLeavingMs(endpoint, performance.now())) ?? true;
	}
}
