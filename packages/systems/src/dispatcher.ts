/**
 * The entry's side of requests: each waits its turn, is sent to an endpoint, is tried
 * again where that is safe, and ends exactly once.
 */
import {decideRetry, PoisonGuard, RetryBudget} from '@wasabiusher/decisions';
import type {EndpointStatus, Message, MessageOf} from '@wasabiusher/link';
import {
	createProblem, describeError, Table, type Random,
} from '@wasabiusher/shared';
import type {
	Call, CallListener, CallRecord, Run,
} from './call.js';
import {Attempt, formatAttemptKey, type AttemptMessage} from './dispatcher-attempt.js';
import {EndpointTable, recordPace} from './dispatcher-endpoints.js';
import {describeRefusal, retryAfterMs, type AttemptOutcome} from './dispatcher-outcome.js';
import {Pool} from './dispatcher-pool.js';
import {probeIfDue} from './dispatcher-probes.js';
import {Router} from './dispatcher-routing.js';
import type {Invariants} from './invariants.js';
import {CallRun, type AttemptOwner, type RunContext} from './dispatcher-run.js';
import {SuspicionExchange, type QuarantineStatus} from './suspicion-exchange.js';

export type * from './call.js';
export type {EndpointRow} from './dispatcher-endpoints.js';

export type DispatcherSettings = {
	random: Random;
	/** Data centre of this entry; endpoints elsewhere cost more. */
	dataCentre?: string;
	/** Checks what must always hold, where it could be broken here. */
	invariants?: Invariants;
	/** Sends to an agent by name; false if it has no link at present. */
	send(agent: string, message: Message): boolean;
	/** Sends to all agents that have a link, but one. */
	broadcast?(message: Message, except?: string): void;
	/** Hears of each call once, when it has ended. */
	onEnded?(record: CallRecord): void;
};

/** How long an attempt whose link is lost may wait to be resumed, in milliseconds. */
const resumeMs = 5000;

/** Sends calls to endpoints. */
export class Dispatcher {
	readonly endpoints = new EndpointTable();
	readonly #settings: DispatcherSettings;
	readonly #runs = new Table<CallRun>();
	/** All that have not settled, those whose stop is awaited among them. */
	readonly #attempts = new Table<Attempt>();
	readonly #pools = new Map<string, Pool>();
	readonly #resumeTimers = new Map<string, NodeJS.Timeout>();
	readonly #suspicions: SuspicionExchange;
	readonly #retries = new RetryBudget();
	readonly #router: Router;
	readonly #context: RunContext;

	constructor(settings: DispatcherSettings) {
		this.#settings = settings;
		const {random, dataCentre} = settings;
		this.#suspicions = new SuspicionExchange({
			guard: new PoisonGuard(),
			broadcast(message, except) {
				settings.broadcast?.(message, except);
			},
		});
		this.#router = new Router({
			endpoints: this.endpoints, suspicions: this.#suspicions, random, dataCentre,
		});
		this.#context = this.#createContext();
	}

	/** Calls not ended yet. */
	get openCalls(): number {
		return this.#runs.size;
	}

	/** Cancelled attempts whose stop is not confirmed yet. */
	get drainingAttempts(): number {
		return [...this.endpoints].reduce((sum, {draining}) => sum + draining, 0);
	}

	/** Takes a call; its listener hears of its end, which may be a refusal before this returns. */
	submit(call: Call, listener: CallListener): Run {
		const run = new CallRun(call, listener, this.#context);
		const pool = this.#findPool(call.service);
		const decision = pool.admit(call, performance.now());
		if (decision.kind === 'refused') {
			run.refuse(describeRefusal(decision));
			return run;
		}

		this.#runs.put(run);
		pool.enqueue(run).catch((error: unknown) => {
			// Rejects too when the run ends while it waits, which its listener has been told of.
			run.refuse(createProblem('overloaded', describeError(error), 'no', retryAfterMs));
		});
		return run;
	}

	/** Takes a message from an agent. */
	receive(agent: string, message: Message): void {
		if (isAttemptMessage(message)) {
			this.#receiveForAttempt(agent, message);
		} else if (message.kind === 'status') {
			this.#updateStatus(agent, message.status);
		} else if (message.kind === 'suspicions') {
			this.#suspicions.receive(agent, message);
		}
	}

	/** An agent's link came up; open attempts there go on from where they were. */
	attach(agent: string, dataCentre: string): void {
		this.endpoints.attach(agent, dataCentre);
		clearTimeout(this.#resumeTimers.get(agent));
		this.#resumeTimers.delete(agent);
		for (const attempt of this.#attempts.filter(({endpoint}) => endpoint === agent)) {
			attempt.relink();
		}

		const greeting = this.#suspicions.createGreeting();
		if (greeting) {
			this.#settings.send(agent, greeting);
		}

		this.#refreshAllSlots();
	}

	/** An agent's link was lost; its attempts fail unless it returns in time. */
	detach(agent: string): void {
		const row = this.endpoints.get(agent);
		if (!row?.isUp) {
			return;
		}

		row.isUp = false;
		this.#refreshAllSlots();
		this.#resumeTimers.set(agent, setTimeout(() => {
			this.#abandon(agent, 'open');
		}, resumeMs).unref());
	}

	/** An agent is out of view for good; nothing more will be heard of its attempts. */
	remove(agent: string): void {
		clearTimeout(this.#resumeTimers.get(agent));
		this.#resumeTimers.delete(agent);
		this.#abandon(agent, 'open');
		this.#abandon(agent, 'stopping');
		this.endpoints.remove(agent);
		this.#router.prefixes.forget(agent);
		for (const pool of this.#pools.values()) {
			pool.ejection.remove(agent);
		}

		this.#refreshAllSlots();
	}

	/** Sends no new work to an agent; what it has goes on. */
	retire(agent: string): void {
		this.#setRetiring(agent, true);
	}

	/** Takes an agent back into use. */
	restore(agent: string): void {
		this.#setRetiring(agent, false);
	}

	/** Whether no attempt of this entry is at an agent any more. */
	isIdle(agent: string): boolean {
		const row = this.endpoints.get(agent);
		return !row || row.open + row.draining === 0;
	}

	/** What is quarantined at present. */
	describeQuarantine(): QuarantineStatus[] {
		return this.#suspicions.describe();
	}

	#setRetiring(agent: string, isRetiring: boolean): void {
		const row = this.endpoints.get(agent);
		if (row && row.isRetiring !== isRetiring) {
			row.isRetiring = isRetiring;
			this.#refreshAllSlots();
		}
	}

	#createContext(): RunContext {
		const {random, invariants, onEnded} = this.#settings;
		return {
			onStarted: call => {
				const pool = this.#findPool(call.service);
				pool.admission.start(call.id);
				pool.hedging.recordFirstTry();
				this.#retries.recordFirstTry(call.caller);
			},
			choose: (call, history) => this.#router.choose(call, this.#findPool(call.service), history),
			createAttempt: (call, number, endpoint, owner) => this.#createAttempt(call, number, endpoint, owner),
			startAttempt: (call, attempt, isSuspect) => {
				this.#router.recordSent(call, attempt.endpoint);
				invariants?.checkTakesWork(attempt.endpoint, this.endpoints.findLeavingMs(attempt.endpoint, performance.now()));
				attempt.start(createOpen(call, attempt.number, isSuspect));
			},
			decideRetry: (call, facts) => {
				const {caller, deadlineAt, profile} = call;
				const serviceMs = this.#findPool(call.service).estimateMs(call.cost) ?? 0;
				const decision = decideRetry({
					...facts, caller, deadlineAt, serviceMs, isIdempotent: profile.idempotent,
				}, this.#retries, random, performance.now());
				return decision.kind === 'retry' ? decision.delayMs : undefined;
			},
			findHedgeDelay: ({profile, service}) => {
				const {delayMs} = this.#findPool(service).hedging;
				// Timers count whole milliseconds and may fire a little early, when the call would not count as slow yet.
				return profile.hedge && profile.idempotent && delayMs !== undefined ? Math.ceil(delayMs) + 1 : undefined;
			},
			tryHedge: ({profile, service, deadlineAt}, startedAt) => this.#findPool(service).hedging.tryTake({
				isAllowed: profile.hedge && profile.idempotent, startedAt, deadlineAt, isHedged: false,
			}, this.endpoints.measureUse(service), performance.now()),
			onFirstEvent: ({service}, waitMs) => {
				this.#findPool(service).hedging.recordTime(waitMs);
			},
			checkAtMostOnce: ({id, profile}, mayHaveRun) => invariants?.checkAtMostOnce(id, {isIdempotent: profile.idempotent, mayHaveRun}) ?? true,
			checkRan: ({id}, ran, mayHaveRun) => invariants?.checkRan(id, ran, mayHaveRun) ?? ran,
			onEnded: (run, record) => {
				this.#runs.remove(run.id);
				this.#findPool(run.call.service).admission.release(run.id);
				onEnded?.(record);
			},
		};
	}

	#createAttempt(call: Call, number: number, endpoint: string, owner: AttemptOwner): Attempt {
		const row = this.endpoints.get(endpoint)!;
		const attempt: Attempt = new Attempt({
			request: call.id,
			number,
			endpoint,
			send: message => this.#settings.send(endpoint, message),
			onEvent(event) {
				owner.onEvent(attempt, event);
			},
			onStopping: () => {
				row.open -= 1;
				row.draining += 1;
				this.#refreshSlots(call.service);
				// Stopped before its time it says nothing; overdue it does.
				if (attempt.runMs > (this.#findPool(call.service).estimateMs(call.cost) ?? Number.POSITIVE_INFINITY)) {
					this.#judge(this.#findPool(call.service), call, attempt, false);
				}
			},
			onSettled: (outcome, wasStopping) => {
				this.#attempts.remove(attempt.id);
				row[wasStopping ? 'draining' : 'open'] -= 1;
				row.load.recordEnded(performance.now());
				this.#learn(call, attempt, outcome, wasStopping);
				owner.onSettled(attempt, outcome);
			},
		});
		row.open += 1;
		row.load.recordSent(performance.now());
		return this.#attempts.put(attempt);
	}

	#learn(call: Call, attempt: Attempt, outcome: AttemptOutcome, wasStopping: boolean): void {
		const isLeaving = outcome.kind === 'failed' && outcome.refusal === 'leaving';
		if (isLeaving) {
			this.endpoints.markLeaving(attempt.endpoint, performance.now());
		}

		if (isLeaving || wasStopping) {
			this.#refreshSlots(call.service);
		}

		if (!wasStopping) {
			this.#learnFromEnd(call, attempt, outcome);
		}
	}

	#learnFromEnd(call: Call, attempt: Attempt, outcome: AttemptOutcome): void {
		const pool = this.#findPool(call.service);
		const row = this.endpoints.get(attempt.endpoint);
		if (outcome.kind === 'finished') {
			this.#suspicions.recordFinished(call.fingerprint);
			if (row && !attempt.wasPaused) {
				this.#judge(pool, call, attempt, false);
				recordPace(row, call.cost, attempt.runMs);
				pool.recordFinished(call, attempt.runMs, performance.now());
			}
		}

		// A refusal is the agent's word, and a lost link is seen by the link; neither is the endpoint's failure.
		if (outcome.kind === 'failed' && outcome.refusal === undefined && row?.isUp) {
			this.#judge(pool, call, attempt, true);
		}
	}

	/** Tells the ejection what an attempt has shown of its endpoint. */
	#judge(pool: Pool, call: Call, {endpoint, runMs}: Attempt, hasFailed: boolean): void {
		const expectedMs = pool.estimateMs(call.cost);
		const slowness = expectedMs === undefined ? 1 : runMs / Math.max(1, expectedMs);
		pool.ejection.record(endpoint, {hasFailed, slowness}, performance.now());
	}

	#receiveForAttempt(agent: string, message: AttemptMessage): void {
		const attempt = this.#attempts.get(formatAttemptKey(message.request, message.attempt));
		// A message from elsewhere is not part of this answer, whatever it names.
		if (attempt?.endpoint === agent) {
			attempt.receive(message);
		}
	}

	#updateStatus(agent: string, status: EndpointStatus): void {
		const row = this.endpoints.update(agent, status, performance.now());
		if (!row) {
			return;
		}

		const pool = this.#findPool(status.service);
		pool.ejection.add(agent);
		this.#refreshSlots(status.service);
		probeIfDue(row, pool, (call, endpoint, owner) => this.#sendProbe(call, endpoint, owner));
	}

	#sendProbe(call: Call, endpoint: string, owner: AttemptOwner): Attempt {
		const attempt = this.#createAttempt(call, 1, endpoint, owner);
		attempt.start(createOpen(call, 1, false));
		return attempt;
	}

	#abandon(agent: string, state: 'open' | 'stopping'): void {
		for (const attempt of this.#attempts.filter(row => row.endpoint === agent && row.state === state)) {
			attempt.abandon('the link to the endpoint was lost');
		}
	}

	#findPool(service: string): Pool {
		let pool = this.#pools.get(service);
		if (!pool) {
			pool = new Pool(this.endpoints.countSlots(service));
			this.#pools.set(service, pool);
		}

		return pool;
	}

	#refreshSlots(service: string): void {
		this.#findPool(service).resize(this.endpoints.countSlots(service));
	}

	#refreshAllSlots(): void {
		for (const service of this.#pools.keys()) {
			this.#refreshSlots(service);
		}
	}
}

/** Kinds of messages that concern one attempt. */
const attemptKinds: ReadonlySet<Message['kind']> = new Set(['part', 'refused', 'failed', 'stopped', 'started']);

function isAttemptMessage(message: Message): message is AttemptMessage {
	return attemptKinds.has(message.kind);
}

function createOpen(call: Call, attempt: number, isSuspect: boolean): MessageOf<'open'> {
	const {profile} = call;
	return {
		kind: 'open',
		request: call.id,
		attempt,
		work: call.work,
		service: call.service,
		caller: call.caller,
		profile: call.profileName,
		class: profile.class,
		priority: profile.priority,
		share: profile.share,
		cost: call.cost,
		remainingMs: call.deadlineAt - performance.now(),
		isIdempotent: profile.idempotent,
		fingerprint: call.fingerprint,
		isSuspect,
	};
}
