/**
 * The entry's side of requests: each waits its turn, is sent to an endpoint, is tried
 * again where that is safe, and ends exactly once.
 */
import {PoisonGuard} from '@wasabiusher/decisions';
import type {EndpointStatus, Message} from '@wasabiusher/link';
import {
	createProblem, describeError, Table, type Random,
} from '@wasabiusher/shared';
import type {
	Call, CallListener, CallRecord, Run,
} from './call.js';
import type {Attempt} from './dispatcher-attempt.js';
import {Attempts, createOpen, isAttemptMessage} from './dispatcher-attempts.js';
import {EndpointTable} from './dispatcher-endpoints.js';
import {Evidence} from './dispatcher-evidence.js';
import {describeRefusal, retryAfterMs} from './dispatcher-outcome.js';
import {Policy} from './dispatcher-policy.js';
import {Pools} from './dispatcher-pools.js';
import {probeIfDue} from './dispatcher-probes.js';
import {Router} from './dispatcher-routing.js';
import {CallRun} from './dispatcher-run.js';
import type {AttemptOwner} from './dispatcher-run-context.js';
import type {Invariants} from './invariants.js';
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
	readonly #pools = new Pools(this.endpoints);
	readonly #suspicions: SuspicionExchange;
	readonly #router: Router;
	readonly #attempts: Attempts;
	readonly #policy: Policy;
	readonly #resumeTimers = new Map<string, NodeJS.Timeout>();

	constructor(settings: DispatcherSettings) {
		const {endpoints} = this;
		const {random, dataCentre, invariants, send, broadcast, onEnded} = settings;
		const pools = this.#pools;
		this.#settings = settings;
		this.#suspicions = new SuspicionExchange({
			guard: new PoisonGuard(),
			broadcast(message, except) {
				broadcast?.(message, except);
			},
		});
		const suspicions = this.#suspicions;
		this.#router = new Router({
			endpoints, suspicions, random, dataCentre,
		});
		this.#attempts = new Attempts({
			endpoints, pools, send, evidence: new Evidence({endpoints, pools, suspicions}),
		});
		this.#policy = new Policy({
			endpoints,
			pools,
			router: this.#router,
			attempts: this.#attempts,
			random,
			invariants,
			onEnded: (call, record) => {
				this.#runs.remove(call.id);
				onEnded?.(record);
			},
		});
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
		const run = new CallRun(call, listener, this.#policy);
		const pool = this.#pools.get(call.service);
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

	/** Takes a message from an agent; kinds that are not the dispatcher's are let pass. */
	receive(agent: string, message: Message): void {
		if (isAttemptMessage(message)) {
			this.#attempts.receive(agent, message);
		} else if (message.kind === 'status') {
			this.#updateStatus(agent, message.status);
		} else if (message.kind === 'suspicions') {
			this.#suspicions.receive(agent, message);
		}
	}

	/** An agent's link came up; open attempts there go on from where they were. */
	attach(agent: string, dataCentre: string): void {
		this.endpoints.attach(agent, dataCentre);
		this.#stopResumeTimer(agent);
		this.#attempts.relink(agent);
		const greeting = this.#suspicions.createGreeting();
		if (greeting) {
			this.#settings.send(agent, greeting);
		}

		this.#pools.resizeAll();
	}

	/** An agent's link was lost; its attempts fail unless it returns in time. */
	detach(agent: string): void {
		const row = this.endpoints.get(agent);
		if (!row?.isUp) {
			return;
		}

		row.isUp = false;
		this.#pools.resizeAll();
		this.#resumeTimers.set(agent, setTimeout(() => {
			this.#attempts.abandon(agent, ['open']);
		}, resumeMs).unref());
	}

	/** An agent is out of view for good; nothing more will be heard of its attempts. */
	remove(agent: string): void {
		this.#stopResumeTimer(agent);
		this.#attempts.abandon(agent, ['open', 'stopping']);
		this.endpoints.remove(agent);
		this.#router.prefixes.forget(agent);
		this.#pools.forget(agent);
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
			this.#pools.resizeAll();
		}
	}

	#stopResumeTimer(agent: string): void {
		clearTimeout(this.#resumeTimers.get(agent));
		this.#resumeTimers.delete(agent);
	}

	#updateStatus(agent: string, status: EndpointStatus): void {
		const row = this.endpoints.update(agent, status, performance.now());
		if (!row) {
			return;
		}

		const pool = this.#pools.get(status.service);
		pool.ejection.add(agent);
		this.#pools.resize(status.service);
		probeIfDue(row, pool, (call, endpoint, owner) => this.#sendProbe(call, endpoint, owner));
	}

	#sendProbe(call: Call, endpoint: string, owner: AttemptOwner): Attempt {
		const attempt = this.#attempts.create(call, 1, endpoint, owner);
		attempt.start(createOpen(call, 1, false));
		return attempt;
	}
}
