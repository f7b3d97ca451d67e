/**
 * Dispatches the requests of an entry: queues each one, sends it to an endpoint, retries it
 * where that is safe, and ends it exactly once.
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
import type {AttemptListener} from './dispatcher-run-context.js';
import type {Invariants} from './invariants.js';
import {SuspicionExchange, type QuarantineStatus} from './suspicion-exchange.js';

export type * from './call.js';
export type {EndpointRow} from './dispatcher-endpoints.js';

export type DispatcherSettings = {
	random: Random;
	/** Data centre of this entry; routing adds a cost to endpoints in other data centres. */
	dataCentre?: string;
	/** Runtime checks of the invariants that dispatch could violate. */
	invariants?: Invariants;
	/** Sends a message to the named agent. Returns false if the agent has no link. */
	send(agent: string, message: Message): boolean;
	/** Sends a message to all linked agents except the given one. */
	broadcast?(message: Message, except?: string): void;
	/** Called once per call, when it has ended. */
	onEnded?(record: CallRecord): void;
};

/** Maximum time for which attempts wait for a lost link to be restored, in milliseconds. */
const resumeTimeoutMs = 5000;

/** Dispatches calls to endpoints. */
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

	/** Number of calls that have not ended. */
	get openCalls(): number {
		return this.#runs.size;
	}

	/** Number of cancelled attempts whose stop is not confirmed yet. */
	get drainingAttempts(): number {
		return [...this.endpoints].reduce((sum, {draining}) => sum + draining, 0);
	}

	/** Accepts or refuses a call. The listener is notified of its end; a refusal may be reported before this method returns. */
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
			// Also rejects when the run ends while it is queued; its listener has been notified then, and `refuse` has no effect.
			run.refuse(createProblem('overloaded', describeError(error), 'no', retryAfterMs));
		});
		return run;
	}

	/** Handles a message from an agent. Ignores kinds that do not concern the dispatcher. */
	receive(agent: string, message: Message): void {
		if (isAttemptMessage(message)) {
			this.#attempts.receive(agent, message);
		} else if (message.kind === 'status') {
			this.#updateStatus(agent, message.status);
		} else if (message.kind === 'suspicions') {
			this.#suspicions.receive(agent, message);
		}
	}

	/** Handles an agent's link coming up. Open attempts at the agent are resumed. */
	attach(agent: string, dataCentre: string): void {
		this.endpoints.attach(agent, dataCentre);
		this.#stopResumeTimer(agent);
		this.#attempts.relink(agent);
		const snapshot = this.#suspicions.createSnapshot();
		if (snapshot) {
			this.#settings.send(agent, snapshot);
		}

		this.#pools.resizeAll();
	}

	/** Handles the loss of an agent's link. Its open attempts fail unless the link is restored within the resume timeout. */
	detach(agent: string): void {
		const row = this.endpoints.get(agent);
		if (!row?.isUp) {
			return;
		}

		row.isUp = false;
		this.#pools.resizeAll();
		this.#resumeTimers.set(agent, setTimeout(() => {
			this.#attempts.abandon(agent, ['open']);
		}, resumeTimeoutMs).unref());
	}

	/** Removes an agent that will not return. Fails its attempts. */
	remove(agent: string): void {
		this.#stopResumeTimer(agent);
		this.#attempts.abandon(agent, ['open', 'stopping']);
		this.endpoints.remove(agent);
		this.#router.prefixes.forget(agent);
		this.#pools.removeEndpoint(agent);
	}

	/** Stops sending new work to an agent. Attempts at it continue. */
	retire(agent: string): void {
		this.#setRetiring(agent, true);
	}

	/** Resumes sending new work to a retired agent. */
	restore(agent: string): void {
		this.#setRetiring(agent, false);
	}

	/** Whether this entry has no open or draining attempts at an agent. */
	isIdle(agent: string): boolean {
		const row = this.endpoints.get(agent);
		return !row || row.open + row.draining === 0;
	}

	/** Returns the requests that are quarantined at present. */
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
		probeIfDue(row, pool, (call, endpoint, listener) => this.#sendProbe(call, endpoint, listener));
	}

	#sendProbe(call: Call, endpoint: string, listener: AttemptListener): Attempt {
		const attempt = this.#attempts.create(call, 1, endpoint, listener);
		attempt.start(createOpen(call, 1, false));
		return attempt;
	}
}
