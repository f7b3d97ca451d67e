/**
 * The agent's side of a request: the one place where an endpoint's capacity is enforced.
 *
 * A slot is held from before the endpoint is called until its stream has ended or its
 * stop is confirmed, so work that is still draining stays accounted for.
 */
import type {AdmissionDecision} from '@wasabiusher/decisions';
import type {
	EndpointStatus, Message, MessageOf, Refusal,
} from '@wasabiusher/link';
import {PlatformError} from '@wasabiusher/platform';
import {Table, type Log} from '@wasabiusher/shared';
import {AnswerArchive} from './answer-archive.js';
import {confirmStop, formatRunId, type Endpoint} from './endpoint-run.js';
import {
	createExecution, describeFailure, findStopReason, formatExecutionId, judgeRan, type AttemptName, type Execution, type StopReason,
} from './execution.js';
import {ExecutorLoad} from './executor-load.js';
import {createExecutorQueue, type ExecutorQueue} from './executor-queue.js';
import {OnceGuard} from './once-guard.js';
import {PartRate} from './part-gatherer.js';
import {readRun} from './run-reader.js';
import {SuspectGate} from './suspect-gate.js';

/** How a request may run by what is known of its content. */
export type Suspicion = 'free' | 'isolate' | 'quarantined';

/** What an executor reports of each request, for metrics. */
export type ExecutorEvent
	= | {kind: 'refused'; reason: Refusal}
		| {kind: 'started'; waitMs: number}
		| {kind: 'ended'; outcome: 'finished' | 'stopped' | 'failed' | 'crashed'; runMs: number};

export type ExecutorSettings = {
	service: string;
	endpoint: Endpoint;
	/** Requests run at once at the most. */
	limit: number;
	/** Requests waiting at most. */
	maxWaiting: number;
	log: Log;
	/** Sends to an entry by name; false if it has no link at present. */
	send(peer: string, message: Message): boolean;
	/** How a request with this content may run; all may, by default. */
	judge?(fingerprint: string): Suspicion;
	/** Asked when a stream broke off: whether the endpoint has crashed. It calls `crash` by itself. */
	checkCrash?(): Promise<boolean>;
	/** A request with this content was finished. */
	onFinished?(fingerprint: string): void;
	observe?(event: ExecutorEvent): void;
};

/** How long an attempt without a link to its entry goes on before it is stopped, in milliseconds; entries give up after 5 s. */
const orphanMs = 10_000;

/** When a request refused for a reason that passes should come back, in milliseconds. */
const retryAfterMs = 1000;

/** Reports lag by this much at the most, in milliseconds; a run that is older must be in them. */
const reportLagMs = 2000;

/** Runs requests of any number of entries on one endpoint. */
export class Executor {
	readonly #settings: ExecutorSettings;
	readonly #executions = new Table<Execution>();
	readonly #archive: AnswerArchive;
	readonly #load: ExecutorLoad;
	readonly #queue: ExecutorQueue;
	readonly #suspects: SuspectGate;
	readonly #once = new OnceGuard();
	readonly #rate = new PartRate();
	readonly #orphanTimers = new Map<string, NodeJS.Timeout>();
	#hasReport = false;
	#isLeaving = false;

	constructor(settings: ExecutorSettings) {
		this.#settings = settings;
		const {endpoint, limit, maxWaiting} = settings;
		this.#load = new ExecutorLoad({kind: endpoint.kind, limit, maxWaiting});
		this.#queue = createExecutorQueue(limit, {limitFor: name => this.#load.limitFor(name)});
		this.#suspects = new SuspectGate(this.#queue);
		this.#archive = new AnswerArchive(id => {
			this.#executions.remove(id);
		});
	}

	/** What entries are told of the endpoint, less what only the engine's report says. */
	describe(): Pick<EndpointStatus, 'service' | 'limit' | 'running' | 'draining' | 'interactive' | 'waiting' | 'waitingWork' | 'workPerSecond' | 'isLeaving'> {
		return {
			service: this.#settings.service,
			limit: this.#load.limit,
			running: this.#queue.pending + this.#suspects.running,
			draining: this.#executions.filter(({state}) => state === 'draining').length + this.#load.inherited,
			waiting: this.#queue.size + this.#suspects.waiting,
			interactive: this.#load.interactive,
			waitingWork: this.#load.waitingWork,
			workPerSecond: this.#load.workPerSecond,
			isLeaving: this.#isLeaving,
		};
	}

	open(peer: string, open: MessageOf<'open'>): void {
		const known = this.#executions.get(formatExecutionId(peer, open));
		if (known) {
			this.#replay(known, 0);
			return;
		}

		if (!open.isIdempotent && !this.#isFirst(peer, open)) {
			this.#settings.send(peer, {
				kind: 'failed', request: open.request, attempt: open.attempt, ran: 'unknown', reason: 'an earlier attempt of this non-idempotent request may have run', hasCrashed: false,
			});
			return;
		}

		const suspicion = this.#settings.judge?.(open.fingerprint) ?? 'free';
		const refusal = this.#findRefusal(open, suspicion);
		if (refusal) {
			this.#refuse(peer, open, refusal);
			return;
		}

		this.#admit(createExecution(peer, open), open.isSuspect || suspicion === 'isolate');
	}

	/** The caller is gone: a waiting attempt loses its place at once, a running one is stopped at the endpoint. */
	cancel(peer: string, name: AttemptName): void {
		const execution = this.#executions.get(formatExecutionId(peer, name));
		if (execution) {
			this.#stop(execution, 'cancelled');
		} else if (this.#settings.endpoint.kind === 'model') {
			// It may run there from before this agent was restarted.
			void this.#settings.endpoint.engine.cancel(formatRunId(name)).catch(() => undefined);
		}
	}

	acknowledge(peer: string, {request, attempt, next}: MessageOf<'acknowledge'>): void {
		const execution = this.#executions.get(formatExecutionId(peer, {request, attempt}));
		if (!execution) {
			return;
		}

		execution.buffer.acknowledge(next);
		if (execution.state === 'ended' && !execution.outcome && execution.buffer.isEmpty) {
			this.#archive.drop(execution);
		}
	}

	/** Sends again what a replaced link has lost. */
	resume(peer: string, {request, attempt, next}: MessageOf<'resume'>): void {
		const execution = this.#executions.get(formatExecutionId(peer, {request, attempt}));
		if (!execution || !this.#replay(execution, next)) {
			// Nothing is known of it here: it may have run and been forgotten.
			this.#settings.send(peer, {
				kind: 'failed', request, attempt, ran: 'unknown', reason: 'the answer is no longer held', hasCrashed: false,
			});
		}
	}

	/** An entry's link came up: what it left running goes on. */
	attach(peer: string): void {
		clearTimeout(this.#orphanTimers.get(peer));
		this.#orphanTimers.delete(peer);
	}

	/** An entry's link was lost: what it left is stopped unless the entry returns. */
	detach(peer: string): void {
		this.attach(peer);
		this.#orphanTimers.set(peer, setTimeout(() => {
			this.#orphanTimers.delete(peer);
			this.#stopOrphans(peer);
		}, orphanMs));
	}

	/** Takes the endpoint's word of how many runs it holds. */
	reportHeld(held: number): void {
		const mustShow = performance.now() - reportLagMs;
		const own = this.#executions.filter(({state, startedAt}) => (state === 'running' || state === 'draining') && startedAt <= mustShow).length;
		this.#load.recordHeld(held, own, !this.#hasReport);
		this.#hasReport = true;
		// The least of all classes: whoever comes, starts or ends next raises it to that of its class.
		this.#queue.concurrency = this.#load.limitFor('background');
	}

	/**
	 * The endpoint has crashed: ends all that was in flight there.
	 *
	 * @returns the fingerprints of what was in flight
	 */
	crash(): string[] {
		const inFlight = this.#executions.filter(({state}) => state === 'running' || state === 'draining');
		this.#load.recordRestart();
		for (const execution of inFlight) {
			execution.gone.abort();
			this.#stop(execution, 'crashed');
		}

		return inFlight.map(({open}) => open.fingerprint);
	}

	/**
	 * Takes no new work and gives back what has not started; resolves when all that runs has ended.
	 * Answers may still have to be acknowledged: see `countUnacknowledged`.
	 */
	async drain(): Promise<void> {
		this.#isLeaving = true;
		for (const execution of this.#executions.filter(({state}) => state === 'waiting')) {
			this.#leaveQueue(execution, 'leaving');
		}

		await Promise.all([this.#queue.onIdle(), this.#suspects.onIdle()]);
	}

	/** Whole answers that their entries, as far as they have a link, have not acknowledged. */
	countUnacknowledged(): number {
		return this.#executions.filter(({peer, state, outcome, buffer}) => state === 'ended' && !outcome && !buffer.isEmpty && !this.#orphanTimers.has(peer)).length;
	}

	/** Stops all timers; for a process that ends. */
	close(): void {
		this.#archive.clear();
		for (const timer of this.#orphanTimers.values()) {
			clearTimeout(timer);
		}
	}

	/** Whether no other attempt of a non-idempotent request may have run or may yet. */
	#isFirst(peer: string, open: MessageOf<'open'>): boolean {
		const isEarlier = (other: Execution) => other.peer === peer && other.open.request === open.request && other.state === 'waiting';
		for (const earlier of this.#executions.filter(row => isEarlier(row))) {
			this.#leaveQueue(earlier, 'cancelled');
		}

		return !this.#once.hasOther(peer, open);
	}

	#findRefusal(open: MessageOf<'open'>, suspicion: Suspicion): Refusal | undefined {
		const reasons: Array<[boolean, Refusal]> = [
			[this.#isLeaving, 'leaving'],
			[open.service !== this.#settings.service, 'unknown-service'],
			[open.remainingMs <= 0, 'expired'],
			[suspicion === 'quarantined', 'quarantined'],
		];
		return reasons.find(([holds]) => holds)?.[1];
	}

	#refuse(peer: string, {request, attempt}: AttemptName, reason: Refusal, afterMs?: number): MessageOf<'refused'> {
		const message: MessageOf<'refused'> = {
			kind: 'refused', request, attempt, reason, retryAfterMs: afterMs,
		};
		this.#settings.send(peer, message);
		this.#settings.observe?.({kind: 'refused', reason});
		return message;
	}

	#admit(execution: Execution, isAlone: boolean): void {
		const {peer, open, place} = execution;
		const decision: AdmissionDecision = this.#load.admit(execution, performance.now());
		if (decision.kind === 'refused') {
			this.#refuse(peer, open, 'overloaded', decision.retryAfterMs);
			return;
		}

		this.#executions.put(execution);
		execution.deadlineTimer = setTimeout(() => {
			this.#stop(execution, 'expired');
		}, open.remainingMs);
		const run = async () => this.#execute(execution);
		if (isAlone) {
			this.#suspects.add(run, place.signal);
			return;
		}

		const added = this.#queue.add(run, {
			id: execution.id,
			signal: place.signal,
			ticket: {
				id: execution.id, class: open.class, priority: open.priority, caller: open.caller, share: open.share, cost: open.cost,
			},
		});
		added.catch(() => {
			// Taken out, which was answered then, or beyond a bound of the queue.
			this.#leaveQueue(execution, 'overloaded');
		});
	}

	/** Ends an attempt that is proven not to have run; does nothing to any other. */
	#leaveQueue(execution: Execution, reason: Refusal): void {
		if (execution.state !== 'waiting') {
			return;
		}

		const afterMs = reason === 'overloaded' || reason === 'leaving' ? retryAfterMs : undefined;
		this.#end(execution, this.#refuse(execution.peer, execution.open, reason, afterMs));
		execution.place.abort();
	}

	#stop(execution: Execution, reason: StopReason): void {
		if (execution.state === 'waiting') {
			this.#leaveQueue(execution, reason === 'expired' ? 'expired' : 'cancelled');
		} else if (execution.state === 'running') {
			execution.run.abort(reason);
			execution.buffer.release();
		}
	}

	/** A non-idempotent call has its effect whether or not it is stopped; so it goes on, and its answer can be asked for. */
	#stopOrphans(peer: string): void {
		for (const execution of this.#executions.filter(row => row.peer === peer)) {
			if (execution.state === 'waiting' || execution.open.isIdempotent) {
				this.#stop(execution, 'cancelled');
			} else {
				execution.buffer.release();
			}
		}
	}

	async #execute(execution: Execution): Promise<void> {
		const {peer, open} = execution;
		const inFlight = this.#queue.pending + this.#suspects.running;
		execution.state = 'running';
		execution.startedAt = performance.now();
		this.#load.start(execution);
		if (!open.isIdempotent) {
			this.#once.record(peer, open, execution.deadlineAt);
		}

		this.#settings.send(peer, {kind: 'started', request: open.request, attempt: open.attempt});
		this.#settings.observe?.({kind: 'started', waitMs: execution.startedAt - execution.openedAt});
		try {
			const reading = await readRun(execution, {
				endpoint: this.#settings.endpoint,
				rate: this.#rate,
				send: numbered => {
					this.#sendPart(execution, numbered);
				},
			});
			this.#load.recordRun(execution, {...reading, inFlight}, performance.now());
			this.#settings.onFinished?.(open.fingerprint);
			this.#end(execution);
		} catch (error) {
			await this.#fail(execution, error);
		}
	}

	async #fail(execution: Execution, error: unknown): Promise<void> {
		const isBroken = error instanceof PlatformError && (error.code === 'unknown' || error.code === 'unavailable');
		if (isBroken && !findStopReason(execution) && await this.#settings.checkCrash?.()) {
			this.#end(execution, describeFailure(execution, error, true));
			return;
		}

		// The check may have taken a while: it may have been stopped since.
		const reason = findStopReason(execution);
		if (reason) {
			await this.#finishStop(execution, reason);
			return;
		}

		if (judgeRan(execution, error) === 'no') {
			this.#once.clear(execution.peer, execution.open);
		}

		this.#end(execution, describeFailure(execution, error, false));
	}

	/** Holds the slot until the endpoint has stopped; the entry of an expired attempt is not kept waiting for that. */
	async #finishStop(execution: Execution, reason: StopReason): Promise<void> {
		const {open, buffer, gone, startedAt} = execution;
		const {request, attempt} = open;
		const failure = describeFailure(execution, new PlatformError('unknown', stopTexts[reason]), reason === 'crashed');
		if (reason === 'crashed') {
			this.#end(execution, failure);
			return;
		}

		execution.state = 'draining';
		if (reason === 'expired') {
			execution.outcome = failure;
			this.#settings.send(execution.peer, failure);
		}

		await confirmStop(this.#settings.endpoint, {
			runId: formatRunId(open), hasAnswered: buffer.length > 0, ranMs: performance.now() - startedAt, typicalMs: this.#load.typicalMs, gone: gone.signal,
		});
		this.#end(execution, execution.outcome ?? {kind: 'stopped', request, attempt});
	}

	/** Ends an execution once; its answer stays until it is acknowledged or the archive lets go of it. */
	#end(execution: Execution, outcome?: Message): void {
		const wasWaiting = execution.state === 'waiting';
		const isTold = wasWaiting || execution.outcome !== undefined;
		execution.state = 'ended';
		execution.outcome = outcome;
		clearTimeout(execution.deadlineTimer);
		this.#load.release(execution, !wasWaiting);
		this.#archive.keep(execution);
		if (outcome && !isTold) {
			this.#settings.send(execution.peer, outcome);
		}

		if (!wasWaiting) {
			this.#settings.observe?.({kind: 'ended', outcome: nameOutcome(outcome), runMs: performance.now() - execution.startedAt});
		}
	}

	#sendPart({peer, open}: Execution, numbered: Pick<MessageOf<'part'>, 'sequence' | 'event'>): void {
		const {request, attempt} = open;
		this.#settings.send(peer, {
			kind: 'part', request, attempt, ...numbered,
		});
	}

	/** Sends what an entry lacks; false if it is no longer held. */
	#replay(execution: Execution, next: number): boolean {
		const events = execution.buffer.listFrom(next);
		if (!events) {
			return false;
		}

		const {peer, open, state, outcome} = execution;
		if (state !== 'waiting') {
			this.#settings.send(peer, {kind: 'started', request: open.request, attempt: open.attempt});
		}

		for (const numbered of events) {
			this.#sendPart(execution, numbered);
		}

		if (outcome) {
			this.#settings.send(peer, outcome);
		}

		return true;
	}
}

/** What entries are told of each reason. */
const stopTexts: Readonly<Record<StopReason, string>> = {
	cancelled: 'cancelled while running',
	expired: 'the deadline passed while it ran',
	crashed: 'the endpoint crashed while it ran',
};

function nameOutcome(outcome: Message | undefined): Extract<ExecutorEvent, {kind: 'ended'}>['outcome'] {
	if (!outcome) {
		return 'finished';
	}

	if (outcome.kind === 'failed') {
		return outcome.hasCrashed ? 'crashed' : 'failed';
	}

	return 'stopped';
}
