/**
 * The one place of a process at which results go to the store.
 *
 * Results that come together wait a moment for each other; lists of the same batch go one after the other, since each transaction moves the
 * end of its batch; of the others the one goes first by which a step gains most. While the store serves nobody nothing is tried, and its
 * first answer releases all. Refusals beyond its rates are answered by longer pauses, at another time on each host.
 */
import {chooseCommit, type CommitDemand} from '@wasabiusher/decisions';

/** Time for which results wait for others to go with them, in milliseconds. */
const gatherMs = 10;

/** Transactions on their way at a time; each is a read and a write. */
const maxInFlight = 4;

/** Time between looks for a way to the store, in milliseconds; nothing is sent by a look. */
const lookMs = 50;

/** Pause of all lists after a refusal, in milliseconds, half of it by chance; doubled with each refusal that follows, up to the longest. */
const firstPauseMs = 100;
const longestPauseMs = 800;

/**
 * - `written`: something was written, or there was nothing to write
 * - `raced`: another host has written at the same moment, or the batch's row has changed
 * - `limited`: the store has refused it beyond its rates
 * - `failed`: the store could not be asked, or has not answered
 */
export type CommitOutcome = 'written' | 'raced' | 'limited' | 'failed';

/** A list of results that asks to write. */
export type Committer = {
	readonly batch: string;
	/** What its next transaction would gain; undefined if nothing waits. */
	findDemand(): CommitDemand | undefined;
	/** Makes one transaction; never rejects. */
	commit(): Promise<CommitOutcome>;
};

/** Transactions by their outcome, since the start. */
export type CommitCounts = Record<CommitOutcome, number>;

export type CommitDeskSettings = {
	/** Whether there is a way to the store at present. */
	isOpen(): boolean;
	/** A number in [0, 1). */
	chance(): number;
};

/** Lets lists write, one by one. */
export class CommitDesk {
	readonly #settings: CommitDeskSettings;
	/** When each list may write, on the monotonic clock. */
	readonly #waiting = new Map<Committer, number>();
	/** Batches of which a list is writing. */
	readonly #busy = new Set<string>();
	readonly #counts: CommitCounts = {
		written: 0, raced: 0, limited: 0, failed: 0,
	};

	#pausedUntil = Number.NEGATIVE_INFINITY;
	#refusals = 0;
	#turn = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(settings: CommitDeskSettings) {
		this.#settings = settings;
	}

	get counts(): Readonly<CommitCounts> {
		return this.#counts;
	}

	/** Lets a list write soon; asked again it keeps its time. */
	ask(committer: Committer): void {
		if (!this.#waiting.has(committer)) {
			this.#waiting.set(committer, performance.now() + gatherMs);
			this.#plan();
		}
	}

	/** Lets all lists that wait write at once: the store answers again. */
	release(): void {
		const now = performance.now();
		this.#pausedUntil = Number.NEGATIVE_INFINITY;
		this.#refusals = 0;
		for (const committer of this.#waiting.keys()) {
			this.#waiting.set(committer, now);
		}

		this.#pump();
	}

	/** Forgets a list that stops. */
	leave(committer: Committer): void {
		this.#waiting.delete(committer);
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#waiting.clear();
	}

	#pump(): void {
		const now = performance.now();
		while (this.#settings.isOpen() && now >= this.#pausedUntil && this.#busy.size < maxInFlight) {
			const chosen = chooseCommit(this.#listReady(now), this.#turn);
			if (!chosen) {
				break;
			}

			this.#turn += 1;
			void this.#commit(chosen.committer);
		}

		this.#plan();
	}

	#listReady(now: number): Array<{committer: Committer; demand: CommitDemand}> {
		return [...this.#waiting].flatMap(([committer, dueAt]) => {
			if (dueAt > now || this.#busy.has(committer.batch)) {
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
		this.#busy.add(committer.batch);
		const outcome = await committer.commit();
		this.#busy.delete(committer.batch);
		this.#note(outcome);
		if (committer.findDemand()) {
			// Two hosts that have met at a batch's end should not meet there again.
			const jitter = outcome === 'raced' ? 0.5 + this.#settings.chance() : 1;
			this.#waiting.set(committer, performance.now() + (jitter * gatherMs));
		}

		this.#pump();
	}

	#note(outcome: CommitOutcome): void {
		this.#counts[outcome] += 1;
		if (outcome === 'written' || outcome === 'raced') {
			this.#refusals = 0;
			return;
		}

		const growth = outcome === 'limited' ? 2 ** this.#refusals : 1;
		const pauseMs = Math.min(longestPauseMs, firstPauseMs * growth);
		this.#refusals += 1;
		this.#pausedUntil = performance.now() + (pauseMs * (0.5 + (this.#settings.chance() / 2)));
	}

	/** Looks again when the first list is due. */
	#plan(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		if (this.#waiting.size === 0 || this.#busy.size >= maxInFlight) {
			return;
		}

		const now = performance.now();
		// A list whose batch is busy is looked at when that is done.
		const dues = [...this.#waiting].filter(([{batch}]) => !this.#busy.has(batch)).map(([, dueAt]) => dueAt);
		if (dues.length === 0) {
			return;
		}

		const dueAt = Math.max(Math.min(...dues), this.#pausedUntil);
		const delayMs = this.#settings.isOpen() ? dueAt - now : Math.max(lookMs, dueAt - now);
		this.#timer = setTimeout(() => {
			this.#pump();
		}, Math.max(0, delayMs));
	}
}
