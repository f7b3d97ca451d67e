/**
 * Runs executions that have left the queue, until their slots are free again.
 */
import {PlatformError} from '@wasabiusher/backends';
import type {Message} from '@wasabiusher/link';
import {confirmStop, formatRunId} from './endpoint-run.js';
import {
	describeFailure, findStopReason, judgeRan, type Execution, type StopReason,
} from './execution.js';
import type {ExecutorLoad} from './executor-load.js';
import type {ExecutorSettings} from './executor-settings.js';
import type {OnceGuard} from './once-guard.js';
import {PartRate} from './part-coalescer.js';
import {readRun} from './run-reader.js';

export type RunnerSettings = Pick<ExecutorSettings, 'endpoint' | 'send' | 'observe' | 'onFinished' | 'checkCrash'> & {
	load: ExecutorLoad;
	once: OnceGuard;
	/** Ends an execution. Without an outcome it has finished, which the last part has reported to its entry. */
	end(execution: Execution, outcome?: Message): void;
};

/** Reasons reported to entries. */
const stopReasonTexts: Readonly<Record<StopReason, string>> = {
	cancelled: 'cancelled while running',
	expired: 'the deadline passed while it ran',
	crashed: 'the endpoint crashed while it ran',
};

/** Runs executions at one endpoint. */
export class ExecutionRunner {
	readonly #settings: RunnerSettings;
	readonly #rate = new PartRate();

	constructor(settings: RunnerSettings) {
		this.#settings = settings;
	}

	/** Runs an execution that has left the queue. Resolves when its slot is free. Never rejects. */
	async run(execution: Execution, inFlight: number): Promise<void> {
		const {peer, open} = execution;
		const {load, once} = this.#settings;
		execution.state = 'running';
		execution.startedAt = performance.now();
		load.start(execution);
		if (!open.isIdempotent) {
			once.record(peer, open, execution.deadlineAt);
		}

		this.#settings.send(peer, {kind: 'started', request: open.request, attempt: open.attempt});
		this.#settings.observe?.({kind: 'started', waitMs: execution.startedAt - execution.openedAt});
		try {
			const reading = await readRun(execution, {
				endpoint: this.#settings.endpoint,
				rate: this.#rate,
				send: numbered => {
					this.#settings.send(peer, {
						kind: 'part', request: open.request, attempt: open.attempt, ...numbered,
					});
				},
			});
			load.recordRun(execution, {...reading, inFlight}, performance.now());
			this.#settings.onFinished?.(open.fingerprint);
			this.#settings.end(execution);
		} catch (error) {
			await this.#fail(execution, error);
		}
	}

	async #fail(execution: Execution, error: unknown): Promise<void> {
		const isBroken = error instanceof PlatformError && (error.code === 'unknown' || error.code === 'unavailable');
		if (isBroken && !findStopReason(execution) && await this.#settings.checkCrash?.()) {
			this.#settings.end(execution, describeFailure(execution, error, true));
			return;
		}

		// The execution may have been stopped during the check.
		const reason = findStopReason(execution);
		if (reason) {
			await this.#finishStop(execution, reason);
			return;
		}

		if (judgeRan(execution, error) === 'no') {
			this.#settings.once.clear(execution.peer, execution.open);
		}

		this.#settings.end(execution, describeFailure(execution, error, false));
	}

	/** Holds the slot until the endpoint has confirmed the stop. The failure of an expired attempt is reported immediately. */
	async #finishStop(execution: Execution, reason: StopReason): Promise<void> {
		const {open, buffer, restartAbort, startedAt} = execution;
		const {request, attempt} = open;
		const failure = describeFailure(execution, new PlatformError('unknown', stopReasonTexts[reason]), reason === 'crashed');
		if (reason === 'crashed') {
			this.#settings.end(execution, failure);
			return;
		}

		execution.state = 'draining';
		execution.stoppedAt = performance.now();
		if (reason === 'expired') {
			execution.outcome = failure;
			this.#settings.send(execution.peer, failure);
		}

		await confirmStop(this.#settings.endpoint, {
			runId: formatRunId(open), hasAnswered: buffer.length > 0, ranMs: performance.now() - startedAt, typicalMs: this.#settings.load.typicalMs, restartSignal: restartAbort.signal,
		});
		this.#settings.end(execution, execution.outcome ?? {kind: 'stopped', request, attempt});
	}
}
