/**
 * The agent's side of a request: the one place where an endpoint's capacity is enforced.
 *
 * A slot is held from before the endpoint is called until its stream has ended or its
 * stop is confirmed, so work that is still draining stays accounted for.
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

/** When a request refused for a reason that passes should come back, in milliseconds. */
const retryAfterMs = 1000;

/** Such reasons. */
const passing: ReadonlySet<Refusal> = new Set(['overloaded', 'leaving', 'not-loaded']);

/** Longest time that a message is under way, in milliseconds: what it takes to notice that a link is silent, and a second. */
const transitMs = 5000;

/** Longest wait of an executor that drains for the confirmation of a stop, in milliseconds. */
const unconfirmedMs = 10_000;

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

		const verdict = this.#settings.judge?.(open.fingerprint) ?? 'free';
		const refusal = this.#findRefusal(open, verdict);
		if (refusal) {
			this.#refuse(peer, open, refusal);
			return;
		}

		this.#admit(createExecution(peer, open), open.isSuspect || verdict === 'isolate');
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
	resume(peer: string, resume: MessageOf<'resume'>): void {
		const execution = this.#executions.get(formatExecutionId(peer, resume));
		if (execution && this.#replay(execution, resume.next)) {
			return;
		}

		if (!execution && this.#hasNeverCome(resume)) {
			this.#refuse(peer, resume, 'not-received');
			return;
		}

		// Nothing is known of it here: it may have run and been forgotten.
		const {request, attempt} = resume;
		this.#settings.send(peer, {
			kind: 'failed', request, attempt, ran: 'unknown', reason: 'the answer is no longer held', hasCrashed: false,
		});
	}

	/** An entry's link came up: what it left running goes on. */
	attach(peer: string): void {
		this.#orphans.remove(peer);
	}

	/** An entry's link was lost: what it left is stopped unless the entry returns. */
	detach(peer: string): void {
		this.#orphans.add(peer);
	}

	/** Takes the endpoint's word of how many runs it holds. */
	reportHeld(held: number): void {
		const mustShow = performance.now() - reportLagMs;
		const own = this.#executions.filter(row => isAtEndpoint(row) && row.startedAt <= mustShow).length;
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
		const inFlight = this.#executions.filter(row => isAtEndpoint(row));
		this.#load.recordRestart();
		for (const execution of inFlight) {
			execution.gone.abort();
			this.#stop(execution, 'crashed');
		}

		return inFlight.map(({open}) => open.fingerprint);
	}

	/**
	 * Takes no new work for a model and gives back what waits for it; resolves to whether nothing of it runs any
	 * more, at the latest after the given time. Entries learn of it by the status and by the refusals.
	 */
	async retire(model: string, timeoutMs: number): Promise<boolean> {
		this.#retired.add(model);
		for (const execution of this.#executions.filter(row => row.state === 'waiting' && row.model === model)) {
			this.#leaveQueue(execution, 'not-loaded');
		}

		return this.#retired.waitForRuns(model, timeoutMs);
	}

	/** Takes work for a model again. */
	restore(model: string): void {
		this.#retired.remove(model);
	}

	/** Whether no work for a model is taken at present. */
	isRetired(model: string): boolean {
		return this.#retired.has(model);
	}

	/**
	 * Takes no new work and gives back what has not started; resolves when all that runs has ended. Runs that were told
	 * to stop are not waited for without end. Answers may still have to be acknowledged: see `countUnacknowledged`.
	 */
	async drain(): Promise<void> {
		this.#isLeaving = true;
		for (const execution of this.#executions.filter(({state}) => state === 'waiting')) {
			this.#leaveQueue(execution, 'leaving');
		}

		const giveUp = setInterval(() => {
			this.#giveUpDraining();
		}, unconfirmedMs / 10);
		await Promise.all([this.#queue.onIdle(), this.#suspects.onIdle()]);
		clearInterval(giveUp);
	}

	/** Whole answers that their entries, as far as they have a link, have not acknowledged. */
	countUnacknowledged(): number {
		return this.#executions.filter(({peer, state, outcome, buffer}) => state === 'ended' && !outcome && !buffer.isEmpty && !this.#orphans.has(peer)).length;
	}

	/** Stops all timers; for a process that ends. */
	close(): void {
		this.#archive.clear();
		this.#orphans.clear();
	}

	/**
	 * Whether an unknown attempt is proven not to have come: this agent has run since before it was opened and has
	 * forgotten nothing that young. It can't come later, as the link that it was sent on has been replaced.
	 */
	#hasNeverCome({next, sentAgoMs}: MessageOf<'resume'>): boolean {
		return next === 0 && sentAgoMs !== undefined && this.#archive.knowsAllSince(performance.now() - sentAgoMs - transitMs);
	}

	/** Whether no other attempt of a non-idempotent request may have run or may yet. */
	#isFirst(peer: string, open: AttemptName): boolean {
		const isEarlier = (other: Execution) => other.peer === peer && other.open.request === open.request && other.state === 'waiting';
		for (const earlier of this.#executions.filter(row => isEarlier(row))) {
			this.#leaveQueue(earlier, 'cancelled');
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
		const run = async () => this.#runner.run(execution, this.#queue.pending + this.#suspects.running);
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

		const afterMs = passing.has(reason) ? retryAfterMs : undefined;
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

	/** Nobody waits for a run that was told to stop, and an engine that does not answer must not keep an agent from ending. */
	#giveUpDraining(): void {
		const before = performance.now() - unconfirmedMs;
		for (const {gone} of this.#executions.filter(({state, stoppedAt}) => state === 'draining' && stoppedAt! <= before)) {
			gone.abort();
		}
	}

	/** Ends an execution once; its answer stays until it is acknowledged or the archive lets go of it. */
	#end(execution: Execution, outcome?: Message): void {
		const wasWaiting = execution.state === 'waiting';
		const isTold = wasWaiting || execution.outcome !== undefined;
		execution.state = 'ended';
		execution.outcome = outcome;
		// Only the answer is kept; a body may be large.
		execution.work = undefined;
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

function nameOutcome(outcome: Message | undefined): Extract<ExecutorEvent, {kind: 'ended'}>['outcome'] {
	if (!outcome) {
		return 'finished';
	}

	if (outcome.kind === 'failed') {
		return outcome.hasCrashed ? 'crashed' : 'failed';
	}

	return 'stopped';
}
