/**
 * Executes requests at an endpoint on behalf of all entries. The executor is the only place that enforces the capacity of an endpoint.
 *
 * A slot is held from before the endpoint is called until the stream has ended or the stop is confirmed, so that draining work
 * stays accounted for.
 */
import type {AdmissionDecision, Verdict} from '@wasabiusher/decisions';
import type {
	EndpointStatus, Message, MessageOf, Refusal,
} from '@wasabiusher/link';
import {Table} from '@wasabiusher/shared';
import {AnswerArchive} from './answer-archive.js';
import {formatRunId} from './endpoint-run.js';
import {
	createExecution, findModel, formatExecutionId, isAtEndpoint, type AttemptName, type Execution, type StopReason,
} from './execution.js';
import {ExecutorLoad} from './executor-load.js';
import type {ExecutorEvent, ExecutorSettings} from './executor-settings.js';
import {ExecutionRunner} from './execution-runner.js';
import {createExecutorQueue, type ExecutorQueue} from './executor-queue.js';
import {OnceGuard} from './once-guard.js';
import {Orphans} from './orphans.js';
import {RetiredModels} from './retired-models.js';
import {SuspectGate} from './suspect-gate.js';

/** Minimum time after which a request that was refused for a transient reason may be retried, in milliseconds. */
const retryAfterMs = 1000;

/** Transient reasons of refusals. */
const transientRefusals: ReadonlySet<Refusal> = new Set(['overloaded', 'leaving', 'not-loaded']);

/** Maximum time that a message is in flight, in milliseconds: the time to detect a silent link, plus one second. */
const maxTransitMs = 5000;

/** Maximum time to wait for the confirmation of a stop while the executor drains, in milliseconds. */
const confirmationTimeoutMs = 10_000;

/** Maximum lag of endpoint reports, in milliseconds. Runs that started earlier are included in a report. */
const reportLagMs = 2000;

/** Executes the requests of any number of entries at one endpoint. */
export class Executor {
	readonly #settings: ExecutorSettings;
	readonly #executions = new Table<Execution>();
	readonly #archive: AnswerArchive;
	readonly #load: ExecutorLoad;
	readonly #queue: ExecutorQueue;
	readonly #suspects: SuspectGate;
	readonly #once = new OnceGuard();
	readonly #runner: ExecutionRunner;
	readonly #orphans: Orphans;
	readonly #retired: RetiredModels;
	#hasReport = false;
	#isLeaving = false;

	constructor(settings: ExecutorSettings) {
		this.#settings = settings;
		const {endpoint, limit, maxWaiting} = settings;
		this.#load = new ExecutorLoad({kind: endpoint.kind, limit, maxWaiting});
		this.#queue = createExecutorQueue(limit, {limitFor: name => this.#load.limitFor(name)});
		this.#suspects = new SuspectGate(this.#queue);
		this.#runner = new ExecutionRunner({
			...settings,
			load: this.#load,
			once: this.#once,
			end: (execution, outcome) => {
				this.#end(execution, outcome);
			},
		});
		this.#orphans = new Orphans(peer => {
			this.#stopOrphans(peer);
		});
		this.#retired = new RetiredModels(model => [...this.#executions].some(row => row.model === model && isAtEndpoint(row)));
		this.#archive = new AnswerArchive(id => {
			this.#executions.remove(id);
		});
	}

	/** Returns the part of the endpoint's status that does not come from the engine's report. */
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

	/** Opens an attempt: queues it, refuses it, or repeats its answer if it is known already. */
	open(peer: string, open: MessageOf<'open'>): void {
		const known = this.#executions.get(formatExecutionId(peer, open));
		if (known) {
			this.#replay(known, 0);
			return;
		}

		if (!open.isIdempotent && !this.#supersedeEarlier(peer, open)) {
			this.#settings.send(peer, {
				kind: 'failed', request: open.request, attempt: open.attempt, ran: 'unknown', reason: 'an earlier attempt of this non-idempotent request may have run', hasCrashed: false,
			});
			return;
		}

		const verdict = this.#settings.judge?.(open.fingerprint) ?? 'free';
		const refusal = this.#findRefusal(open, verdict);
		if (refusal) {
			this.#refuse(peer, open, refusal);
			return;
		}

		this.#admit(createExecution(peer, open), open.isSuspect || verdict === 'isolate');
	}

	/** Cancels an attempt: removes it from the queue if it waits, or stops it at the endpoint if it runs. */
	cancel(peer: string, name: AttemptName): void {
		const execution = this.#executions.get(formatExecutionId(peer, name));
		if (execution) {
			this.#stop(execution, 'cancelled');
		} else if (this.#settings.endpoint.kind === 'model') {
			// The attempt may have been started before a restart of this agent and still run at the engine.
			void this.#settings.endpoint.engine.cancel(formatRunId(name)).catch(() => undefined);
		}
	}

	/** Drops the acknowledged part of an answer, and its attempt if that has ended. */
	acknowledge(peer: string, {request, attempt, next}: MessageOf<'acknowledge'>): void {
		const execution = this.#executions.get(formatExecutionId(peer, {request, attempt}));
		if (!execution) {
			return;
		}

		execution.buffer.acknowledge(next);
		if (execution.state === 'ended' && !execution.outcome && execution.buffer.isEmpty) {
			this.#archive.remove(execution);
		}
	}

	/** Repeats the messages that were lost with a replaced link. */
	resume(peer: string, resume: MessageOf<'resume'>): void {
		const execution = this.#executions.get(formatExecutionId(peer, resume));
		if (execution && this.#replay(execution, resume.next)) {
			return;
		}

		if (!execution && this.#isProvenNotReceived(resume)) {
			this.#refuse(peer, resume, 'not-received');
			return;
		}

		// The attempt is unknown. It may have run and been removed since.
		const {request, attempt} = resume;
		this.#settings.send(peer, {
			kind: 'failed', request, attempt, ran: 'unknown', reason: 'the agent no longer holds the answer', hasCrashed: false,
		});
	}

	/** Handles an entry's link coming up. Its running work continues. */
	attach(peer: string): void {
		this.#orphans.remove(peer);
	}

	/** Handles the loss of an entry's link. Its work is stopped unless the entry reconnects in time. */
	detach(peer: string): void {
		this.#orphans.add(peer);
	}

	/**
	 * Updates the capacity with the endpoint's report.
	 *
	 * @param held - number of runs at the endpoint
	 */
	updateReportedRuns(held: number): void {
		const startedBefore = performance.now() - reportLagMs;
		const own = this.#executions.filter(row => isAtEndpoint(row) && row.startedAt <= startedBefore).length;
		this.#load.updateInherited(held, own, !this.#hasReport);
		this.#hasReport = true;
		// The lowest limit of all classes. The queue raises it to that of the next job's class when a job is added, starts or ends.
		this.#queue.concurrency = this.#load.limitFor('background');
	}

	/**
	 * Handles a crash of the endpoint: ends all requests in flight there.
	 *
	 * @returns the fingerprints of the requests in flight
	 */
	crash(): string[] {
		const inFlight = this.#executions.filter(row => isAtEndpoint(row));
		this.#load.recordRestart();
		for (const execution of inFlight) {
			execution.restartAbort.abort();
			this.#stop(execution, 'crashed');
		}

		return inFlight.map(({open}) => open.fingerprint);
	}

	/**
	 * Stops taking work for a model and returns its waiting requests to their entries. Resolves to whether all of its runs have ended,
	 * after the timeout at the latest. Entries are informed by the status and by the refusals.
	 */
	async retire(model: string, timeoutMs: number): Promise<boolean> {
		this.#retired.add(model);
		for (const execution of this.#executions.filter(row => row.state === 'waiting' && row.model === model)) {
			this.#withdraw(execution, 'not-loaded');
		}

		return this.#retired.waitForRuns(model, timeoutMs);
	}

	/** Resumes taking work for a model. */
	restore(model: string): void {
		this.#retired.remove(model);
	}

	/** Whether requests for a model are refused at present. */
	isRetired(model: string): boolean {
		return this.#retired.has(model);
	}

	/**
	 * Stops taking work and returns waiting requests to their entries. Resolves when all runs have ended, or have not confirmed their stop
	 * within a timeout. Answers may still be unacknowledged then: see `countUnacknowledged`.
	 */
	async drain(): Promise<void> {
		this.#isLeaving = true;
		for (const execution of this.#executions.filter(({state}) => state === 'waiting')) {
			this.#withdraw(execution, 'leaving');
		}

		const abandonTimer = setInterval(() => {
			this.#abandonUnconfirmedStops();
		}, confirmationTimeoutMs / 10);
		await Promise.all([this.#queue.onIdle(), this.#suspects.onIdle()]);
		clearInterval(abandonTimer);
	}

	/** Returns the number of complete answers that linked entries have not acknowledged yet. */
	countUnacknowledged(): number {
		return this.#executions.filter(({peer, state, outcome, buffer}) => state === 'ended' && !outcome && !buffer.isEmpty && !this.#orphans.has(peer)).length;
	}

	/** Stops all timers, when the process ends. */
	close(): void {
		this.#archive.clear();
		this.#orphans.clear();
	}

	/**
	 * Whether an unknown attempt is proven not to have been received: this agent was running before the attempt was sent, and has
	 * removed no attempts since. It can't arrive later, because the link that it was sent on has been replaced.
	 */
	#isProvenNotReceived({next, sentAgoMs}: MessageOf<'resume'>): boolean {
		return next === 0 && sentAgoMs !== undefined && this.#archive.isCompleteSince(performance.now() - sentAgoMs - maxTransitMs);
	}

	/** Withdraws queued attempts of a non-idempotent request. Returns whether no other attempt of it may have run. */
	#supersedeEarlier(peer: string, open: AttemptName): boolean {
		const isQueuedAttempt = (other: Execution) => other.peer === peer && other.open.request === open.request && other.state === 'waiting';
		for (const earlier of this.#executions.filter(row => isQueuedAttempt(row))) {
			this.#withdraw(earlier, 'cancelled');
		}

		return !this.#once.hasOther(peer, open);
	}

	#findRefusal(open: MessageOf<'open'>, verdict: Verdict['kind']): Refusal | undefined {
		const reasons: Array<[boolean, Refusal]> = [
			[this.#isLeaving, 'leaving'],
			[open.service !== this.#settings.service, 'unknown-service'],
			[open.remainingMs <= 0, 'expired'],
			[verdict === 'quarantined', 'quarantined'],
			[this.#retired.has(findModel(open.work)), 'not-loaded'],
		];
		return reasons.find(([applies]) => applies)?.[1];
	}

	#refuse(peer: string, {request, attempt}: AttemptName, reason: Refusal, afterMs?: number): MessageOf<'refused'> {
		const message: MessageOf<'refused'> = {
			kind: 'refused', request, attempt, reason, retryAfterMs: afterMs,
		};
		this.#settings.send(peer, message);
		this.#settings.observe?.({kind: 'refused', reason});
		return message;
	}

	#admit(execution: Execution, isIsolated: boolean): void {
		const {peer, open, queueAbort} = execution;
		const decision: AdmissionDecision = this.#load.admit(execution, performance.now());
		if (decision.kind === 'refused') {
			this.#refuse(peer, open, 'overloaded', decision.retryAfterMs);
			return;
		}

		this.#executions.put(execution);
		execution.deadlineTimer = setTimeout(() => {
			this.#stop(execution, 'expired');
		}, open.remainingMs);
		const run = async () => this.#runner.run(execution, this.#queue.pending + this.#suspects.running);
		if (isIsolated) {
			this.#suspects.add(run, queueAbort.signal);
			return;
		}

		const added = this.#queue.add(run, {
			id: execution.id,
			signal: queueAbort.signal,
			ticket: {
				id: execution.id, class: open.class, priority: open.priority, caller: open.caller, share: open.share, cost: open.cost,
			},
		});
		added.catch(() => {
			// Either removed from the queue, which has been reported then, or rejected by a bound of the queue.
			this.#withdraw(execution, 'overloaded');
		});
	}

	/** Refuses an attempt that still waits, and so is proven not to have run. Ignores other attempts. */
	#withdraw(execution: Execution, reason: Refusal): void {
		if (execution.state !== 'waiting') {
			return;
		}

		const afterMs = transientRefusals.has(reason) ? retryAfterMs : undefined;
		this.#end(execution, this.#refuse(execution.peer, execution.open, reason, afterMs));
		execution.queueAbort.abort();
	}

	#stop(execution: Execution, reason: StopReason): void {
		if (execution.state === 'waiting') {
			this.#withdraw(execution, reason === 'expired' ? 'expired' : 'cancelled');
		} else if (execution.state === 'running') {
			execution.runAbort.abort(reason);
			execution.buffer.release();
		}
	}

	/** Stops the work of an entry that did not reconnect. Running non-idempotent calls continue: stopping can't undo their effect, and their answer can be requested later. */
	#stopOrphans(peer: string): void {
		for (const execution of this.#executions.filter(row => row.peer === peer)) {
			if (execution.state === 'waiting' || execution.open.isIdempotent) {
				this.#stop(execution, 'cancelled');
			} else {
				execution.buffer.release();
			}
		}
	}

	/** Frees the slots of runs whose stop is overdue. Nobody waits for these runs, and an engine that does not answer must not prevent the agent from shutting down. */
	#abandonUnconfirmedStops(): void {
		const before = performance.now() - confirmationTimeoutMs;
		for (const {restartAbort} of this.#executions.filter(({state, stoppedAt}) => state === 'draining' && stoppedAt! <= before)) {
			restartAbort.abort();
		}
	}

	/** Ends an execution. Its answer is kept until it is acknowledged or evicted from the archive. */
	#end(execution: Execution, outcome?: Message): void {
		const wasWaiting = execution.state === 'waiting';
		const isReported = wasWaiting || execution.outcome !== undefined;
		execution.state = 'ended';
		execution.outcome = outcome;
		// The request is not needed any more, and its body may be large.
		execution.work = undefined;
		clearTimeout(execution.deadlineTimer);
		this.#load.release(execution, !wasWaiting);
		this.#archive.add(execution);
		if (outcome && !isReported) {
			this.#settings.send(execution.peer, outcome);
		}

		if (!wasWaiting) {
			this.#settings.observe?.({kind: 'ended', outcome: toEventOutcome(outcome), runMs: performance.now() - execution.startedAt});
		}
	}

	#sendPart({peer, open}: Execution, numbered: Pick<MessageOf<'part'>, 'sequence' | 'event'>): void {
		const {request, attempt} = open;
		this.#settings.send(peer, {
			kind: 'part', request, attempt, ...numbered,
		});
	}

	/** Repeats the messages of an attempt, from part `next` on. Returns false if some of the parts are no longer held. */
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

function toEventOutcome(outcome: Message | undefined): Extract<ExecutorEvent, {kind: 'ended'}>['outcome'] {
	if (!outcome) {
		return 'finished';
	}

	if (outcome.kind === 'failed') {
		return outcome.hasCrashed ? 'crashed' : 'failed';
	}

	return 'stopped';
}
