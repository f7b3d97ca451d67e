/**
 * Runs non-idempotent calls with an idempotency key at most once, and answers repeated calls with the first answer.
 *
 * A call claims its key in the claim log before it is dispatched. A call whose key is claimed already gets the recorded
 * answer, waits for the run in progress, or fails because it is unknown whether the run took place. While the store is
 * down, a call waits for it until its deadline and is then refused; the refusal reports `no` only if no claim can have
 * been written. A run continues when its caller disconnects, because the caller will request the answer again.
 */
import {
	formatClaimKey, isAbandoned, type Claim, type ClaimLog, type ClaimResult,
} from '@wasabiusher/record';
import {
	createProblem, describeError, type Log, type Random,
} from '@wasabiusher/shared';
import {AnswerCollector} from './answer-collector.js';
import {
	endSubmission, failSubmission, rejectReusedKey, reportOutcome, type SubmissionOutcome, type Submission,
} from './claimed-submission.js';
import type {
	Call, CallListener, Dispatcher, Run,
} from './dispatcher.js';
import type {Invariants} from './invariants.js';
import {pause} from './pause.js';

/** Initial and maximum delay between requests to the claim log, in milliseconds. The delay doubles and is jittered. */
const firstWaitMs = 100;
const maxWaitMs = 1000;

/** Minimum time left before the deadline to send a claim again, in milliseconds. It lets a responsive store answer before the deadline, so that the result is not in doubt then. */
const minClaimTimeMs = 100;

/** Maximum size of an answer that is recorded for repeated calls, in bytes; answers to postings take a few hundred. */
const maxAnswerBytes = 65_536;

/** Maximum number of submissions that are waiting, running or not recorded yet. Bounds the backlog during an outage of the store. */
const maxSubmissions = 1000;

/** Run of a call that was refused on submission. */
const refusedRun: Run = {cancel: () => undefined, pause: () => undefined, resume: () => undefined};

/** Maximum time to wait at shutdown until ended runs are recorded, in milliseconds. */
const drainLimitMs = 30_000;

/** Minimum time after which a refused caller may retry, in milliseconds. */
const retryAfterMs = 1000;

export type ClaimedCallsSettings = {
	dispatcher: Pick<Dispatcher, 'submit'>;
	claims: ClaimLog;
	invariants: Invariants;
	random: Random;
	log: Log;
};

/** Run of a key in this process, kept until its outcome is recorded. */
type OpenKey = {fingerprint: string; outcome: Promise<SubmissionOutcome>};

/** Runs the calls with idempotency keys of one entry. */
export class ClaimedCalls {
	readonly #settings: ClaimedCallsSettings;
	readonly #open = new Map<string, OpenKey>();
	readonly #pending = new Set<Promise<void>>();
	readonly #outcomeRecorders: {[Kind in SubmissionOutcome['kind']]: (key: string, outcome: Extract<SubmissionOutcome, {kind: Kind}>) => Promise<void>};

	constructor(settings: ClaimedCallsSettings) {
		this.#settings = settings;
		const {claims} = settings;
		this.#outcomeRecorders = {
			answered: async (key, {answer}) => claims.complete(key, answer),
			doubtful: async key => claims.markDoubtful(key),
			released: async key => claims.release(key),
		};
	}

	/** Number of submissions that are waiting, running or not recorded yet; 0 once drained. */
	get openCalls(): number {
		return this.#pending.size;
	}

	/**
	 * Resolves when all submissions so far have ended and are recorded.
	 *
	 * @param limitMs - maximum wait, in milliseconds; lets a host be replaced while the store is down
	 */
	async drain(limitMs = drainLimitMs): Promise<void> {
		await Promise.race([Promise.all(this.#pending), pause(limitMs)]);
	}

	/**
	 * Runs a call at most once under its key.
	 *
	 * @param idempotencyKey - chosen by the caller; unique within the service
	 */
	submit(call: Call, idempotencyKey: string, listener: CallListener): Run {
		const submission: Submission = {
			call, key: formatClaimKey(call.service, idempotencyKey), listener, isEnded: false, mayBeClaimed: false,
		};
		if (this.#pending.size >= maxSubmissions) {
			failSubmission(submission, createProblem('overloaded', 'too many calls with an idempotency key are open at this entry', 'no', retryAfterMs));
			return refusedRun;
		}

		submission.timer = setTimeout(() => {
			this.#expire(submission);
		}, Math.max(0, call.deadlineAt - performance.now()));
		const completion = this.#serve(submission).finally(() => {
			this.#pending.delete(completion);
		});
		this.#pending.add(completion);
		return {
			cancel() {
				endSubmission(submission);
			},
			// The answer is collected independently of the caller, so a slow caller does not delay its recording.
			pause: () => undefined,
			resume: () => undefined,
		};
	}

	async #serve(submission: Submission): Promise<void> {
		for (let waitMs = firstWaitMs; !submission.isEnded; waitMs = Math.min(maxWaitMs, waitMs * 2)) {
			// Each round depends on the result of the previous one.
			// eslint-disable-next-line no-await-in-loop
			if (await this.#serveOnce(submission)) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#wait(waitMs);
			if (submission.call.deadlineAt - performance.now() < minClaimTimeMs) {
				this.#expire(submission);
			}
		}
	}

	/** Runs one round. Resolves to whether the caller has been served. */
	async #serveOnce(submission: Submission): Promise<boolean> {
		const open = this.#open.get(submission.key);
		return open ? this.#awaitLocalRun(submission, open) : this.#claimAndRun(submission);
	}

	/** Waits for the run of the same key in this process. Resolves to false if the call may still run. */
	async #awaitLocalRun(submission: Submission, {fingerprint, outcome}: OpenKey): Promise<boolean> {
		if (fingerprint !== submission.call.fingerprint) {
			rejectReusedKey(submission);
			return true;
		}

		submission.mayBeClaimed = true;
		const isReported = reportOutcome(submission, await outcome);
		submission.mayBeClaimed = isReported;
		return isReported;
	}

	/** Claims the key and runs the call, or answers it from the claim log. Resolves to false if another round is needed. */
	async #claimAndRun(submission: Submission): Promise<boolean> {
		const {key, call} = submission;
		let settle: (value: SubmissionOutcome) => void;
		const pendingOutcome = new Promise<SubmissionOutcome>(resolve => {
			settle = resolve;
		});
		this.#open.set(key, {fingerprint: call.fingerprint, outcome: pendingOutcome});
		const result = await this.#claim(submission);
		if (result.kind !== 'granted') {
			this.#open.delete(key);
			settle!({kind: 'released'});
			return result.kind === 'taken' && this.#answerFromRecord(submission, result.claim);
		}

		// If the caller was notified of a failure in the meantime, the call must not run any more.
		const outcome: SubmissionOutcome = submission.isEnded ? {kind: 'released'} : await this.#dispatch(submission);
		settle!(outcome);
		await this.#record(key, outcome);
		this.#open.delete(key);
		return true;
	}

	/** Claims the key. Repeats a claim whose result is unknown even after the caller has been answered, so that no claim is left behind. */
	async #claim(submission: Submission): Promise<ClaimResult> {
		const {key, call} = submission;
		for (let waitMs = firstWaitMs, isDoubtful = false; ; waitMs = Math.min(maxWaitMs, waitMs * 2)) {
			submission.mayBeClaimed = true;
			// eslint-disable-next-line no-await-in-loop
			const result = await this.#settings.claims.claim(key, call.fingerprint, Math.max(0, call.deadlineAt - performance.now()));
			isDoubtful ||= result.kind === 'unknown';
			const isKnown = result.kind === 'granted' || result.kind === 'taken';
			if (isKnown || !isDoubtful) {
				submission.mayBeClaimed = isKnown;
				return result;
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#wait(waitMs);
		}
	}

	async #dispatch(submission: Submission): Promise<SubmissionOutcome> {
		const {call, listener} = submission;
		clearTimeout(submission.timer);
		return new Promise(resolve => {
			const collector = new AnswerCollector(maxAnswerBytes);
			this.#settings.dispatcher.submit(call, {
				onEvent(event, number) {
					collector.add(event);
					if (!submission.isEnded) {
						listener.onEvent(event, number);
					}

					if (event.kind === 'finished') {
						endSubmission(submission);
						resolve({kind: 'answered', answer: collector.answer});
					}
				},
				onRestart() {
					collector.reset();
					return submission.isEnded || listener.onRestart();
				},
				onFailed(problem) {
					failSubmission(submission, problem);
					resolve({kind: problem.ran === 'no' ? 'released' : 'doubtful'});
				},
			});
		});
	}

	/** Records the outcome of a run. Until that succeeds, this process answers repeated calls from memory. */
	async #record(key: string, outcome: SubmissionOutcome): Promise<void> {
		const {log} = this.#settings;
		// The table pairs each kind with a function of that kind's outcome.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const record = this.#outcomeRecorders[outcome.kind] as (key: string, outcome: SubmissionOutcome) => Promise<void>;
		for (let waitMs = firstWaitMs; ; waitMs = Math.min(maxWaitMs, waitMs * 2)) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await record(key, outcome);
				return;
			} catch (error) {
				if (isConflict(error)) {
					log.error('claim_lost', {claim: key, reason: describeError(error)});
					return;
				}

				// eslint-disable-next-line no-await-in-loop
				await this.#wait(waitMs);
			}
		}
	}

	/** Answers a call whose key is claimed by another run. Resolves to false if another round is needed. */
	async #answerFromRecord(submission: Submission, first: Claim): Promise<boolean> {
		if (first.fingerprint !== submission.call.fingerprint) {
			rejectReusedKey(submission);
			return true;
		}

		let claim: Claim | undefined = first;
		for (let waitMs = firstWaitMs; claim?.state === 'claimed' && !submission.isEnded && !isAbandoned(claim); waitMs = Math.min(maxWaitMs, waitMs * 2)) {
			// eslint-disable-next-line no-await-in-loop
			await this.#wait(waitMs);
			// eslint-disable-next-line no-await-in-loop
			claim = await this.#readClaim(submission.key, claim);
		}

		return this.#answerEnded(submission, claim);
	}

	/** Reads a claim. Returns the last known state if the read fails, so that the wait for the run continues. */
	async #readClaim(key: string, last: Claim): Promise<Claim | undefined> {
		try {
			return await this.#settings.claims.read(key);
		} catch {
			return last;
		}
	}

	/** Answers a call by a claim that has ended. Resolves to false if the call may run or the answer must be read again. */
	async #answerEnded(submission: Submission, claim: Claim | undefined): Promise<boolean> {
		if (submission.isEnded) {
			return true;
		}

		if (!claim || claim.state === 'released') {
			submission.mayBeClaimed = false;
			return false;
		}

		if (claim.state !== 'done') {
			return reportOutcome(submission, {kind: 'doubtful'});
		}

		try {
			return reportOutcome(submission, {kind: 'answered', answer: await this.#settings.claims.readAnswer(claim)});
		} catch {
			// The answer is requested again until the deadline.
			return false;
		}
	}

	/** Fails a call whose deadline passed before it was dispatched by this process. */
	#expire(submission: Submission): void {
		const ran = this.#settings.invariants.checkRan(submission.call.id, submission.mayBeClaimed ? 'unknown' : 'no', this.#open.has(submission.key));
		failSubmission(submission, createProblem('unavailable', 'the claim log could not be reached before the deadline', ran, retryAfterMs));
	}

	async #wait(waitMs: number): Promise<void> {
		await pause(waitMs * (0.5 + this.#settings.random.next()));
	}
}

function isConflict(error: unknown): boolean {
	return error instanceof Error && 'code' in error && error.code === 'conflict';
}
