/**
 * The agent's side of a request: the one place where an endpoint's capacity is enforced.
 *
 * A slot is held from before the endpoint is called until its stream has ended or its
 * stop is confirmed, so work that is still draining stays accounted for.
 */
import type {
	AnswerEvent, EndpointStatus, Message, MessageOf, Refusal,
} from '@wasabiusher/link';
import {PlatformError, type Engine, type PlainService} from '@wasabiusher/platform';
import {Table, type Log, type Ran} from '@wasabiusher/shared';
import {AnswerBuffer} from './answer-buffer.js';
import {createExecutorQueue, type ExecutorQueue} from './executor-queue.js';

/** The endpoint that an agent stands beside. */
export type Endpoint = {kind: 'model'; engine: Engine} | {kind: 'plain'; service: PlainService};

/** One attempt at this agent. */
type Execution = {
	id: string;
	peer: string;
	open: MessageOf<'open'>;
	state: 'waiting' | 'running' | 'ended';
	/** On the monotonic clock, in milliseconds. */
	deadlineAt: number;
	buffer: AnswerBuffer;
	abort: AbortController;
	/** How it ended, kept until it is acknowledged by the entry or forgotten. */
	outcome?: Message;
};

export type ExecutorSettings = {
	service: string;
	endpoint: Endpoint;
	/** Requests run at once. */
	limit: number;
	/** Requests waiting at most. */
	maxWaiting: number;
	log: Log;
	/** Sends to an entry by name; false if it has no link at present. */
	send(peer: string, message: Message): boolean;
};

/** How long an attempt without a link to its entry goes on before it is stopped, in milliseconds. */
const orphanMs = 10_000;

/** How long an ended attempt can still be asked for by a resumed link, in milliseconds. */
const keepEndedMs = 30_000;

/** Runs requests of any number of entries on one endpoint. */
export class Executor {
	readonly #settings: ExecutorSettings;
	readonly #executions = new Table<Execution>();
	readonly #queue: ExecutorQueue;
	readonly #orphanTimers = new Map<string, NodeJS.Timeout>();
	#isLeaving = false;

	constructor(settings: ExecutorSettings) {
		this.#settings = settings;
		this.#queue = createExecutorQueue(settings.limit);
	}

	/** What entries are told of the endpoint, less what only the engine's report says. */
	describe(): Pick<EndpointStatus, 'service' | 'limit' | 'running' | 'waiting' | 'waitingWork' | 'isLeaving'> {
		return {
			service: this.#settings.service,
			limit: this.#settings.limit,
			running: this.#queue.pending,
			waiting: this.#queue.size,
			waitingWork: this.#executions.filter(({state}) => state === 'waiting').reduce((sum, {open}) => sum + open.cost, 0),
			isLeaving: this.#isLeaving,
		};
	}

	open(peer: string, open: MessageOf<'open'>): void {
		const id = formatExecutionId(peer, open);
		if (this.#executions.has(id)) {
			return;
		}

		const refusal = this.#findRefusal(open);
		if (refusal) {
			this.#settings.send(peer, {
				kind: 'refused', request: open.request, attempt: open.attempt, reason: refusal,
			});
			return;
		}

		const execution: Execution = {
			id, peer, open, state: 'waiting', deadlineAt: performance.now() + open.remainingMs, buffer: new AnswerBuffer(), abort: new AbortController(),
		};
		this.#executions.put(execution);
		void this.#queue.add(async () => this.#execute(execution), {
			ticket: {
				id, class: open.class, priority: open.priority, caller: open.caller, share: open.share, cost: open.cost,
			},
		});
	}

	cancel(peer: string, {request, attempt}: MessageOf<'cancel'>): void {
		const execution = this.#executions.get(formatExecutionId(peer, {request, attempt}));
		execution?.abort.abort();
		execution?.buffer.release();
	}

	acknowledge(peer: string, {request, attempt, next}: MessageOf<'acknowledge'>): void {
		this.#executions.get(formatExecutionId(peer, {request, attempt}))?.buffer.acknowledge(next);
	}

	/** Sends again what a replaced link has lost. */
	resume(peer: string, {request, attempt, next}: MessageOf<'resume'>): void {
		const execution = this.#executions.get(formatExecutionId(peer, {request, attempt}));
		const events = execution?.buffer.listFrom(next);
		if (!execution || !events) {
			// Nothing is known of it here: it may have run and been forgotten.
			this.#settings.send(peer, {
				kind: 'failed', request, attempt, ran: 'unknown', reason: 'the answer is no longer held', hasCrashed: false,
			});
			return;
		}

		for (const numbered of events) {
			this.#settings.send(peer, {
				kind: 'part', request, attempt, ...numbered,
			});
		}

		if (execution.outcome) {
			this.#settings.send(peer, execution.outcome);
		}
	}

	/** An entry's link came up: what it left running goes on. */
	attach(peer: string): void {
		clearTimeout(this.#orphanTimers.get(peer));
		this.#orphanTimers.delete(peer);
	}

	/** An entry's link was lost: what it left running is stopped unless the entry returns. */
	detach(peer: string): void {
		this.attach(peer);
		this.#orphanTimers.set(peer, setTimeout(() => {
			for (const execution of this.#executions.filter(row => row.peer === peer)) {
				execution.abort.abort();
				execution.buffer.release();
			}
		}, orphanMs));
	}

	/** Takes no new work; resolves when all that was taken has ended. */
	async drain(): Promise<void> {
		this.#isLeaving = true;
		await this.#queue.onIdle();
	}

	#findRefusal(open: MessageOf<'open'>): Refusal | undefined {
		const {service, maxWaiting, limit} = this.#settings;
		const isFull = this.#queue.size >= maxWaiting && this.#queue.pending >= limit;
		const reasons: Array<[boolean, Refusal]> = [
			[this.#isLeaving, 'leaving'],
			[open.service !== service, 'unknown-service'],
			[open.remainingMs <= 0, 'expired'],
			[isFull, 'overloaded'],
		];
		return reasons.find(([holds]) => holds)?.[1];
	}

	async #execute(execution: Execution): Promise<void> {
		const {open} = execution;
		if (execution.abort.signal.aborted || performance.now() >= execution.deadlineAt) {
			const reason = execution.abort.signal.aborted ? 'cancelled' : 'expired';
			this.#end(execution, {
				kind: 'refused', request: open.request, attempt: open.attempt, reason,
			});
			return;
		}

		execution.state = 'running';
		this.#settings.send(execution.peer, {kind: 'started', request: open.request, attempt: open.attempt});
		const timer = setTimeout(() => {
			execution.abort.abort();
			execution.buffer.release();
		}, execution.deadlineAt - performance.now());
		try {
			await this.#stream(execution);
			this.#end(execution);
		} catch (error) {
			this.#end(execution, this.#describeFailure(execution, error));
		} finally {
			clearTimeout(timer);
		}
	}

	async #stream(execution: Execution): Promise<void> {
		for await (const event of this.#run(execution)) {
			await execution.buffer.waitForRoom();
			if (execution.abort.signal.aborted) {
				throw new PlatformError('unknown', 'cancelled while running');
			}

			const numbered = execution.buffer.append(event);
			const {request, attempt} = execution.open;
			this.#settings.send(execution.peer, {
				kind: 'part', request, attempt, ...numbered,
			});
		}
	}

	#run({open, abort}: Execution): AsyncIterable<AnswerEvent> {
		const {endpoint} = this.#settings;
		const {work} = open;
		if (endpoint.kind === 'model' && work.kind === 'generate') {
			return streamGeneration(endpoint.engine.generate(work.request, {requestId: `${open.request}.${open.attempt}`, priority: open.priority, signal: abort.signal}));
		}

		if (endpoint.kind === 'plain' && work.kind === 'forward') {
			return streamForward(endpoint.service.forward(work, abort.signal));
		}

		throw new PlatformError('refused', `a ${endpoint.kind} endpoint can not run ${work.kind}`);
	}

	#describeFailure({open, abort, deadlineAt}: Execution, error: unknown): Message {
		const {request, attempt} = open;
		if (abort.signal.aborted && performance.now() < deadlineAt) {
			return {kind: 'stopped', request, attempt};
		}

		const code = error instanceof PlatformError ? error.code : 'unknown';
		const ran: Ran = code === 'refused' || code === 'unavailable' ? 'no' : 'unknown';
		return {
			kind: 'failed', request, attempt, ran, reason: error instanceof Error ? error.message : String(error), hasCrashed: code === 'unknown' && !abort.signal.aborted,
		};
	}

	#end(execution: Execution, outcome?: Message): void {
		execution.state = 'ended';
		execution.outcome = outcome;
		if (outcome) {
			this.#settings.send(execution.peer, outcome);
		}

		setTimeout(() => {
			this.#executions.remove(execution.id);
		}, keepEndedMs).unref();
	}
}

function formatExecutionId(peer: string, {request, attempt}: {request: string; attempt: number}): string {
	return `${peer} ${request} ${attempt}`;
}

async function * streamGeneration(events: ReturnType<Engine['generate']>): AsyncIterable<AnswerEvent> {
	for await (const event of events) {
		yield event.kind === 'part' ? {kind: 'parts', parts: [event.part]} : {kind: 'finished', reason: event.reason};
	}
}

async function * streamForward(events: ReturnType<PlainService['forward']>): AsyncIterable<AnswerEvent> {
	for await (const event of events) {
		yield event;
	}
}
