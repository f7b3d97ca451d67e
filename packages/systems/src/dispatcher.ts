/**
 * The entry's side of requests: each waits its turn, is sent to an endpoint, is tried
 * again where that is safe, and ends exactly once.
 */
import {chooseEndpoint} from '@wasabiusher/decisions';
import type {EndpointStatus, Message, MessageOf} from '@wasabiusher/link';
import {Table, type Random} from '@wasabiusher/shared';
import type {
	Call, CallListener, CallRecord, Run,
} from './call.js';
import {Attempt, formatAttemptKey, type AttemptMessage} from './dispatcher-attempt.js';
import {EndpointTable, estimateLoad} from './dispatcher-endpoints.js';
import type {AttemptOutcome} from './dispatcher-outcome.js';
import {CallRun, type AttemptOwner} from './dispatcher-run.js';
import {createExecutorQueue, type ExecutorQueue} from './executor-queue.js';

export type * from './call.js';
export type {EndpointRow} from './dispatcher-endpoints.js';

export type DispatcherSettings = {
	random: Random;
	/** Sends to an agent by name; false if it has no link at present. */
	send(agent: string, message: Message): boolean;
	/** Hears of each call once, when it has ended. */
	onEnded?(record: CallRecord): void;
};

/** Attempts of one call, the first included, while it is proven or allowed that they can be repeated. */
const maxAttempts = 4;

/** How long an attempt whose link is lost may wait to be resumed, in milliseconds. */
const resumeMs = 5000;

/** Sends calls to endpoints. */
export class Dispatcher {
	readonly endpoints = new EndpointTable();
	readonly #settings: DispatcherSettings;
	readonly #runs = new Table<CallRun>();
	/** All that have not settled, those whose stop is awaited among them. */
	readonly #attempts = new Table<Attempt>();
	readonly #queues = new Map<string, ExecutorQueue>();
	readonly #resumeTimers = new Map<string, NodeJS.Timeout>();

	constructor(settings: DispatcherSettings) {
		this.#settings = settings;
	}

	/** Calls not ended yet. */
	get openCalls(): number {
		return this.#runs.size;
	}

	/** Cancelled attempts whose stop is not confirmed yet. */
	get drainingAttempts(): number {
		return [...this.endpoints].reduce((sum, {draining}) => sum + draining, 0);
	}

	submit(call: Call, listener: CallListener): Run {
		const run = this.#createRun(call, listener);
		this.#runs.put(run);
		const {profile} = call;
		const waiting = this.#findQueue(call.service).add(async () => run.drive(), {
			id: call.id,
			signal: run.abort.signal,
			ticket: {
				id: call.id, class: profile.class, priority: profile.priority, caller: call.caller, share: profile.share, cost: call.cost,
			},
		});
		// Rejects when the run ends while it waits, which its listener has been told of.
		waiting.catch(() => undefined);
		return run;
	}

	/** Takes a message from an agent. */
	receive(agent: string, message: Message): void {
		if (message.kind === 'status') {
			this.#updateStatus(agent, message.status);
		} else if (isAttemptMessage(message)) {
			this.#receiveForAttempt(agent, message);
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

		this.#refreshConcurrency();
	}

	/** An agent's link was lost; its attempts fail unless it returns in time. */
	detach(agent: string): void {
		const row = this.endpoints.get(agent);
		if (!row?.isUp) {
			return;
		}

		row.isUp = false;
		this.#refreshConcurrency();
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
		this.#refreshConcurrency();
	}

	/** Attempts at an agent that have not settled. */
	countAttempts(agent: string): number {
		return this.#attempts.filter(({endpoint}) => endpoint === agent).length;
	}

	#createRun(call: Call, listener: CallListener): CallRun {
		return new CallRun(call, listener, {
			choose: (chosenCall, except) => this.#choose(chosenCall, except),
			createAttempt: (attemptCall, number, endpoint, owner) => this.#createAttempt(attemptCall, number, endpoint, owner),
			startAttempt(attemptCall, attempt) {
				attempt.start(createOpen(attemptCall, attempt.number));
			},
			mayRetry: (_call, attempts) => attempts < maxAttempts,
			chooseBackoff: () => 0,
			chooseHedgeDelay: () => undefined,
			onEnded: (run, record) => {
				this.#runs.remove(run.id);
				this.#settings.onEnded?.(record);
			},
		});
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
				this.#refreshConcurrency();
			},
			onSettled: (outcome, wasStopping) => {
				this.#attempts.remove(attempt.id);
				row[wasStopping ? 'draining' : 'open'] -= 1;
				this.#noteOutcome(endpoint, outcome, wasStopping);
				owner.onSettled(attempt, outcome);
			},
		});
		row.open += 1;
		return this.#attempts.put(attempt);
	}

	#noteOutcome(endpoint: string, outcome: AttemptOutcome, wasStopping: boolean): void {
		const isLeaving = outcome.kind === 'failed' && outcome.refusal === 'leaving';
		if (isLeaving) {
			this.endpoints.markLeaving(endpoint);
		}

		if (isLeaving || wasStopping) {
			this.#refreshConcurrency();
		}
	}

	#receiveForAttempt(agent: string, message: AttemptMessage): void {
		const attempt = this.#attempts.get(formatAttemptKey(message.request, message.attempt));
		// A message from elsewhere is not part of this answer, whatever it names.
		if (attempt?.endpoint === agent) {
			attempt.receive(message);
		}
	}

	#updateStatus(agent: string, status: EndpointStatus): void {
		this.endpoints.update(agent, status);
		this.#refreshConcurrency();
	}

	#abandon(agent: string, state: 'open' | 'stopping'): void {
		for (const attempt of this.#attempts.filter(row => row.endpoint === agent && row.state === state)) {
			attempt.abandon('the link to the endpoint was lost');
		}
	}

	#findQueue(service: string): ExecutorQueue {
		let queue = this.#queues.get(service);
		if (!queue) {
			queue = createExecutorQueue(this.endpoints.countSlots(service));
			this.#queues.set(service, queue);
		}

		return queue;
	}

	#refreshConcurrency(): void {
		for (const [service, queue] of this.#queues) {
			const slots = this.endpoints.countSlots(service);
			if (queue.concurrency !== slots) {
				queue.concurrency = slots;
			}
		}
	}

	#choose(call: Call, except: ReadonlySet<string>): string | undefined {
		const candidates = this.endpoints
			.listFor(call)
			.filter(({id}) => !except.has(id))
			.map(row => ({id: row.id, load: estimateLoad(row), limit: row.status!.limit}));
		return chooseEndpoint(candidates, this.#settings.random)?.id;
	}
}

/** Kinds of messages that concern one attempt. */
const attemptKinds: ReadonlySet<Message['kind']> = new Set(['part', 'refused', 'failed', 'stopped', 'started']);

function isAttemptMessage(message: Message): message is AttemptMessage {
	return attemptKinds.has(message.kind);
}

function createOpen(call: Call, attempt: number): MessageOf<'open'> {
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
		isSuspect: false,
	};
}
