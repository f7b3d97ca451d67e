/**
 * Keyed non-idempotent calls: each runs at most once, and a call that is sent again gets the first one's answer.
 *
 * A call is claimed in the record before it is dispatched. One that finds its key claimed gets the recorded answer,
 * waits for the run, or is told that it is not known whether it ran. While the store is down a call waits for it
 * until its deadline and is then refused; the refusal says `no` only if no claim can have been written.
 * A run goes on when its caller goes away, since the caller will ask for the answer again.
 */
import {
	formatClaimKey, isAbandoned, type Claim, type ClaimLog, type ClaimResult,
} from '@wasabiusher/record';
import {
	createProblem, describeError, type Log, type Random,
} from '@wasabiusher/shared';
import {AnswerCollector} from './answer-collector.js';
import {
	end, fail, refuseReuse, tell, type Ending, type Try,
} from './claimed-try.js';
import type {
	Call, CallListener, Dispatcher, Run,
} from './dispatcher.js';
import type {Invariants} from './invariants.js';
import {pause} from './pause.js';

/** First and greatest wait before the record is asked again, in milliseconds; doubled in between, with jitter. */
const firstWaitMs = 100;
const maxWaitMs = 1000;

/** No claim is sent again with less than this left, in milliseconds, so that a store that answers leaves no doubt at the deadline. */
const lastTryMs = 100;

/** Greatest answer kept for a second try, in bytes; postings are answered in a few hundred. */
const maxAnswerBytes = 65_536;

/** Tries waiting, running or not recorded yet; bounds what an outage of the store can pile up here. */
const maxTries = 1000;

/** The run of a call that was refused at once. */
const endedRun: Run = {cancel: () => undefined, pause: () => undefined, resume: () => undefined};

/** Longest wait for the record of ended runs when the process leaves, in milliseconds. */
const drainLimitMs = 30_000;

/** When a refused caller should come back at the earliest, in milliseconds. */
const retryAfterMs = 1000;

export type ClaimedCallsSettings = {
	dispatcher: Pick<Dispatcher, 'submit'>;
	claims: ClaimLog;
	invariants: Invariants;
	random: Random;
	log: Log;
};

/** The run of a key in this process, kept until its outcome is recorded. */
type OpenKey = {fingerprint: string; ending: Promise<Ending>};

/** Runs keyed calls of one entry. */
export class ClaimedCalls {
	readonly #settings: ClaimedCallsSettings;
	readonly #open = new Map<string, OpenKey>();
	readonly #serving = new Set<Promise<void>>();
	readonly #recordEndings: {[Kind in Ending['kind']]: (key: string, ending: Extract<Ending, {kind: Kind}>) => Promise<void>};

	constructor(settings: ClaimedCallsSettings) {
		this.#settings = settings;
		const {claims} = settings;
		this.#recordEndings = {
			answered: async (key, {answer}) => claims.complete(key, answer),
			doubtful: async key => claims.doubt(key),
			released: async key => claims.release(key),
		};
	}

	/** Tries that wait, run or are not recorded yet; 0 before a graceful end. */
	get openCalls(): number {
		return this.#serving.size;
	}

	/**
	 * Resolves when all tries so far have ended and are recorded.
	 *
	 * @param limitMs - longest wait, in milliseconds: a host is replaced though the store stays down
	 */
	async drain(limitMs = drainLimitMs): Promise<void> {
		await Promise.race([Promise.all(this.#serving), pause(limitMs)]);
	}

	/**
	 * Runs a call once under its key.
	 *
	 * @param idempotencyKey - the caller's; unique within the service
	 */
	submit(call: Call, idempotencyKey: string, listener: CallListener): Run {
		const attempt: Try = {
			call, key: formatClaimKey(call.service, idempotencyKey), listener, isOver: false, mayBeClaimed: false,
		};
		if (this.#serving.size >= maxTries) {
			fail(attempt, createProblem('overloaded', 'too many calls with a key are open here', 'no', retryAfterMs));
			return endedRun;
		}

		attempt.timer = setTimeout(() => {
			this.#expire(attempt);
		}, Math.max(0, call.deadlineAt - performance.now()));
		const serving = this.#serve(attempt).finally(() => {
			this.#serving.delete(serving);
		});
		this.#serving.add(serving);
		return {
			cancel() {
				end(attempt);
			},
			// The answer is recorded whole before it is handed on, so a slow caller holds up nothing.
			pause: () => undefined,
			resume: () => undefined,
		};
	}

	async #serve(attempt: Try): Promise<void> {
		for (let waitMs = firstWaitMs; !attempt.isOver; waitMs = Math.min(maxWaitMs, waitMs * 2)) {
			// Each round depends on what the record said in the last.
			// eslint-disable-next-line no-await-in-loop
			if (await this.#serveOnce(attempt)) {
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#wait(waitMs);
			if (attempt.call.deadlineAt - performance.now() < lastTryMs) {
				this.#expire(attempt);
			}
		}
	}

	/** One round; resolves to whether the caller has been served. */
	async #serveOnce(attempt: Try): Promise<boolean> {
		const open = this.#open.get(attempt.key);
		return open ? this.#follow(attempt, open) : this.#lead(attempt);
	}

	/** Waits for the run of the same key in this process. */
	async #follow(attempt: Try, {fingerprint, ending}: OpenKey): Promise<boolean> {
		if (fingerprint !== attempt.call.fingerprint) {
			refuseReuse(attempt);
			return true;
		}

		attempt.mayBeClaimed = true;
		const isTold = tell(attempt, await ending);
		attempt.mayBeClaimed = isTold;
		return isTold;
	}

	async #lead(attempt: Try): Promise<boolean> {
		const {key, call} = attempt;
		let settle: (ending: Ending) => void;
		const ending = new Promise<Ending>(resolve => {
			settle = resolve;
		});
		this.#open.set(key, {fingerprint: call.fingerprint, ending});
		const result = await this.#claim(attempt);
		if (result.kind !== 'granted') {
			this.#open.delete(key);
			settle!({kind: 'released'});
			return result.kind === 'taken' && this.#answerFromRecord(attempt, result.claim);
		}

		// Its caller may have been told meanwhile, and then it must not run any more.
		const outcome: Ending = attempt.isOver ? {kind: 'released'} : await this.#dispatch(attempt);
		settle!(outcome);
		await this.#record(key, outcome);
		this.#open.delete(key);
		return true;
	}

	/** Claims the key; goes on while it is in doubt, whatever became of the caller, so that no claim is left behind. */
	async #claim(attempt: Try): Promise<ClaimResult> {
		const {key, call} = attempt;
		for (let waitMs = firstWaitMs, isDoubtful = false; ; waitMs = Math.min(maxWaitMs, waitMs * 2)) {
			attempt.mayBeClaimed = true;
			// eslint-disable-next-line no-await-in-loop
			const result = await this.#settings.claims.claim(key, call.fingerprint, Math.max(0, call.deadlineAt - performance.now()));
			isDoubtful ||= result.kind === 'unknown';
			const isKnown = result.kind === 'granted' || result.kind === 'taken';
			if (isKnown || !isDoubtful) {
				attempt.mayBeClaimed = isKnown;
				return result;
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#wait(waitMs);
		}
	}

	async #dispatch(attempt: Try): Promise<Ending> {
		const {call, listener} = attempt;
		clearTimeout(attempt.timer);
		return new Promise(resolve => {
			const collector = new AnswerCollector(maxAnswerBytes);
			this.#settings.dispatcher.submit(call, {
				onEvent(event, number) {
					collector.take(event);
					if (!attempt.isOver) {
						listener.onEvent(event, number);
					}

					if (event.kind === 'finished') {
						end(attempt);
						resolve({kind: 'answered', answer: collector.answer});
					}
				},
				onRestart() {
					collector.reset();
					return attempt.isOver || listener.onRestart();
				},
				onFailed(problem) {
					fail(attempt, problem);
					resolve({kind: problem.ran === 'no' ? 'released' : 'doubtful'});
				},
			});
		});
	}

	/** Records how a run ended; as long as that fails, the answer is given from memory here. */
	async #record(key: string, ending: Ending): Promise<void> {
		const {log} = this.#settings;
		// The table pairs each kind with a function of that kind's ending.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const record = this.#recordEndings[ending.kind] as (key: string, ending: Ending) => Promise<void>;
		for (let waitMs = firstWaitMs; ; waitMs = Math.min(maxWaitMs, waitMs * 2)) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await record(key, ending);
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

	/** Answers a call whose key another run has claimed; false if it should ask again. */
	async #answerFromRecord(attempt: Try, first: Claim): Promise<boolean> {
		if (first.fingerprint !== attempt.call.fingerprint) {
			refuseReuse(attempt);
			return true;
		}

		let claim: Claim | undefined = first;
		for (let waitMs = firstWaitMs; claim?.state === 'claimed' && !attempt.isOver && !isAbandoned(claim); waitMs = Math.min(maxWaitMs, waitMs * 2)) {
			// eslint-disable-next-line no-await-in-loop
			await this.#wait(waitMs);
			// eslint-disable-next-line no-await-in-loop
			claim = await this.#readClaim(attempt.key, claim);
		}

		return this.#answerEnded(attempt, claim);
	}

	/** Reads a claim; a read that fails changes nothing, and the run is waited for all the same. */
	async #readClaim(key: string, last: Claim): Promise<Claim | undefined> {
		try {
			return await this.#settings.claims.read(key);
		} catch {
			return last;
		}
	}

	async #answerEnded(attempt: Try, claim: Claim | undefined): Promise<boolean> {
		if (attempt.isOver) {
			return true;
		}

		if (!claim || claim.state === 'released') {
			attempt.mayBeClaimed = false;
			return false;
		}

		if (claim.state !== 'done') {
			return tell(attempt, {kind: 'doubtful'});
		}

		try {
			return tell(attempt, {kind: 'answered', answer: await this.#settings.claims.readAnswer(claim)});
		} catch {
			// The answer is asked for again until the deadline.
			return false;
		}
	}

	/** The deadline passed before the call was dispatched here. */
	#expire(attempt: Try): void {
		const ran = this.#settings.invariants.checkRan(attempt.call.id, attempt.mayBeClaimed ? 'unknown' : 'no', this.#open.has(attempt.key));
		fail(attempt, createProblem('unavailable', 'the record of calls could not be reached before the deadline', ran, retryAfterMs));
	}

	async #wait(waitMs: number): Promise<void> {
		await pause(waitMs * (0.5 + this.#settings.random.next()));
	}
}

function isConflict(error: unknown): boolean {
	return error instanceof Error && 'code' in error && error.code === 'conflict';
}
