/**
 * Schedules the transactions by which a process commits results to the store.
 *
 * Results that arrive together are gathered into one transaction. Lists of the same batch commit sequentially, since each transaction moves the end of the
 * batch; among other lists, the one that benefits a step most goes first. While the store is unreachable nothing is sent, and its first answer releases
 * all lists. After rate-limit refusals, pauses grow exponentially, with jitter so that hosts do not retry together.
 */
import {chooseCommit, type CommitDemand} from '@wasabiusher/decisions';

/** Time for which a list waits for further results before it commits, in milliseconds. */
const gatherDelayMs = 10;

/** Maximum concurrent transactions; each is a read and a write. */
const maxInFlight = 4;

/** Time between checks whether the store is reachable, in milliseconds; a check sends nothing. */
const storeCheckMs = 50;

/** Pause of all lists after a refusal, in milliseconds, half of it random; doubled with each consecutive refusal up to the maximum. */
const minPauseMs = 100;
const maxPauseMs = 800;

/**
 * - `written`: results were written, or there was nothing to write
 * - `raced`: another host has written concurrently, or the batch's row has changed
 * - `limited`: the store has refused the transaction because of its rate limit
 * - `failed`: the store could not be reached, or has not answered
 */
export type CommitOutcome = 'written' | 'raced' | 'limited' | 'failed';

/** A result list that commits through the scheduler. */
export type Committer = {
	readonly batch: string;
	/** Returns the benefit of its next transaction; undefined if nothing is pending. */
	findDemand(): CommitDemand | undefined;
	/** Commits one transaction; never rejects. */
	commit(): Promise<CommitOutcome>;
};

/** Number of transactions since the start, by outcome. */
export type CommitCounts = Record<CommitOutcome, number>;

export type CommitSchedulerSettings = {
	/** Whether the store is reachable. */
	isOpen(): boolean;
	/** Returns a random number in [0, 1). */
	chance(): number;
};

/** Schedules the commits of result lists. */
export class CommitScheduler {
	readonly #settings: CommitSchedulerSettings;
	/** Time from which each waiting list may commit, on the monotonic clock. */
	readonly #waiting = new Map<Committer, number>();
	/** Batches with a commit in progress. */
	readonly #busyBatches = new Set<string>();
	readonly #counts: CommitCounts = {
		written: 0, raced: 0, limited: 0, failed: 0,
	};

	#pausedUntil = Number.NEGATIVE_INFINITY;
	#refusals = 0;
	#choiceCount = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(settings: CommitSchedulerSettings) {
		this.#settings = settings;
	}

	get counts(): Readonly<CommitCounts> {
		return this.#counts;
	}

	/** Schedules a commit of a list; a list that is already waiting keeps its time. */
	schedule(committer: Committer): void {
		if (!this.#waiting.has(committer)) {
			this.#waiting.set(committer, performance.now() + gatherDelayMs);
			this.#scheduleTimer();
		}
	}

	/** Lets all waiting lists commit at once, since the store answers again. */
	release(): void {
		const now = performance.now();
		this.#pausedUntil = Number.NEGATIVE_INFINITY;
		this.#refusals = 0;
		for (const committer of this.#waiting.keys()) {
			this.#waiting.set(committer, now);
		}

		this.#startCommits();
	}

	/** Removes a list that is closed. */
	remove(committer: Committer): void {
		this.#waiting.delete(committer);
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#waiting.clear();
	}

	#startCommits(): void {
		const now = performance.now();
		while (this.#settings.isOpen() && now >= this.#pausedUntil && this.#busyBatches.size < maxInFlight) {
			const next = chooseCommit(this.#listReady(now), this.#choiceCount);
			if (!next) {
				break;
			}

			this.#choiceCount += 1;
			void this.#commit(next.committer);
		}

		this.#scheduleTimer();
	}

	#listReady(now: number): Array<{committer: Committer; demand: CommitDemand}> {
		return [...this.#waiting].flatMap(([committer, dueAt]) => {
			if (dueAt > now || this.#busyBatches.has(committer.batch)) {
				return [];
			}

			const demand = committer.findDemand();
			if (!demand) {
				this.#waiting.delete(committer);
				return [];
			}

			return [{committer, demand}];
		});
	}

	async #commit(committer: Committer): Promise<void> {
		this.#waiting.delete(committer);
		this.#busyBatches.add(committer.batch);
		const outcome = await committer.commit();
		this.#busyBatches.delete(committer.batch);
		this.#recordOutcome(outcome);
		if (committer.findDemand()) {
			// Jitter keeps two hosts that have appended to one batch concurrently from colliding again.
			const jitter = outcome === 'raced' ? 0.5 + this.#settings.chance() : 1;
			this.#waiting.set(committer, performance.now() + (jitter * gatherDelayMs));
		}

		this.#startCommits();
	}

	#recordOutcome(outcome: CommitOutcome): void {
		this.#counts[outcome] += 1;
		if (outcome === 'written' || outcome === 'raced') {
			this.#refusals = 0;
			return;
		}

		const growth = outcome === 'limited' ? 2 ** this.#refusals : 1;
		const pauseMs = Math.min(maxPauseMs, minPauseMs * growth);
		this.#refusals += 1;
		this.#pausedUntil = performance.now() + (pauseMs * (0.5 + (this.#settings.chance() / 2)));
	}

	/** Sets the timer to the time at which the next list is due. */
	#scheduleTimer(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		if (this.#waiting.size === 0 || this.#busyBatches.size >= maxInFlight) {
			return;
		}

		const now = performance.now();
		// A list whose batch is busy is considered again when that commit is done.
		const dueTimes = [...this.#waiting].filter(([{batch}]) => !this.#busyBatches.has(batch)).map(([, dueAt]) => dueAt);
		if (dueTimes.length === 0) {
			return;
		}

		const dueAt = Math.max(Math.min(...dueTimes), this.#pausedUntil);
		const delayMs = this.#settings.isOpen() ? dueAt - now : Math.max(storeCheckMs, dueAt - now);
		this.#timer = setTimeout(() => {
			this.#startCommits();
		}, Math.max(0, delayMs));
	}
}
