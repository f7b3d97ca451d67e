/**
 * Follows one table of the store: reads it whole once, then its changes.
 *
 * Load pattern: a store that is down, slow, forgets its history, or whose connections go silent, in the middle of
 * a change that must be in force within two seconds. Each wait at the store is short, so that a silent connection is
 * noticed within the wait and the store client's time; a lost history is answered by reading the table again, and
 * rows that are missing then count as removed.
 */
import {
	PlatformError, readPages, type RowChange, type RowRange, type RowStore,
} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';
import {RowFaults} from './row-faults.js';

/**
 * Longest wait of one call for changes, in milliseconds, if none is set. A silent connection shows only at its end;
 * shorter waits cost more calls.
 */
const defaultWaitMs = 1500;

/** First and longest pause after a failed call, in milliseconds: soon after an outage ends, without a flood during it. */
const firstPauseMs = 50;
const longestPauseMs = 250;

/**
 * Time over which hosts spread the reading of a whole table after its history was lost, in milliseconds, where their settings ask for it.
 * All hosts lose it at once, and each reads the rows of all; meanwhile each goes on with what it knows.
 */
const spreadMs = 400;

/** Least time between two questions for news, in milliseconds: callers decide how often `refresh` is called. */
const refreshGapMs = 100;

/** Ends a round whose call was given up. */
const abandoned = new Error('the call was given up');

/** Rows asked for in one call; the store gives 500 at most. */
const pageRows = 500;

export type FollowerSettings = {
	store: RowStore;
	table: string;
	/** The part that is read at first; its changes and those of all other parts are followed. */
	parts: readonly string[];
	log: Log;
	/** Longest wait of one call for changes, in milliseconds. */
	waitMs?: number;
	/**
	 * Least time from changes that have come until the next call for more, in milliseconds; none by default. Rows that are written all the time, as
	 * registrations are, would otherwise call each host back for each of them: 22 times a second with 27 endpoints.
	 */
	gatherMs?: number;
	/** A number in [0, 1), to read the table anew at another time than other hosts; undefined to read it at once. */
	chance?(): number;
	/** Called for each row that is there, changed or gone, in the order of the changes; one on which it throws is told in the log, and the others hold. */
	apply(change: RowChange): void;
	/** Called after each round in which the store has answered. */
	onContact?(): void;
};

/** Keeps a view of one table. */
export class TableFollower {
	readonly #settings: FollowerSettings;
	readonly #known = new Map<string, RowChange>();
	readonly #faults: RowFaults;
	#version = -1;
	#isSynced = false;
	#contactAt = Number.NEGATIVE_INFINITY;
	#isStopped = false;
	#pauseMs = firstPauseMs;
	#isDown = false;
	#wake: (() => void) | undefined;
	/** Gives up the call that is under way. */
	#abandon: (() => void) | undefined;
	/** The question for news that is under way, and the one that follows it. */
	#question: Promise<boolean> | undefined;
	#nextQuestion: Promise<boolean> | undefined;

	constructor(settings: FollowerSettings) {
		this.#settings = settings;
		this.#faults = new RowFaults(settings.log, 'row_invalid');
	}

	/** Whether the table was read whole since the start; what is known holds on while it is read anew. */
	get isSynced(): boolean {
		return this.#isSynced;
	}

	/** Whether the last call to the store has failed. */
	get isDown(): boolean {
		return this.#isDown;
	}

	/** Milliseconds since the store last answered; infinite before it first did. */
	get ageMs(): number {
		return performance.now() - this.#contactAt;
	}

	/** Follows until `stop`; never rejects. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			// Each round begins where the last one has ended.
			// eslint-disable-next-line no-await-in-loop
			await this.#runRound();
		}
	}

	stop(): void {
		this.#isStopped = true;
		this.#wake?.();
	}

	/**
	 * Asks the store anew at once, and heeds no answer to what was asked before: a call that was sent to a store that was silent then
	 * would be waited for in vain for its whole time.
	 */
	hurry(): void {
		this.#abandon?.();
		this.#wake?.();
	}

	/**
	 * Takes over all changes that were made before this call. Calls at the same time share a question; never rejects.
	 *
	 * @returns whether the store has answered
	 */
	async refresh(): Promise<boolean> {
		if (!this.#question) {
			this.#question = this.#ask();
			void this.#endQuestion(this.#question);
			return this.#question;
		}

		// The store may have answered the question under way before the change in doubt.
		this.#nextQuestion ??= this.#askAfter(this.#question);
		return this.#nextQuestion;
	}

	async #endQuestion(question: Promise<boolean>): Promise<void> {
		await Promise.all([question, new Promise<void>(resolve => {
			setTimeout(resolve, refreshGapMs);
		})]);
		this.#question = undefined;
	}

	async #askAfter(question: Promise<boolean>): Promise<boolean> {
		await this.#endQuestion(question);
		this.#nextQuestion = undefined;
		return this.refresh();
	}

	async #ask(): Promise<boolean> {
		const {store, table, log} = this.#settings;
		if (this.#version < 0) {
			return false;
		}

		try {
			const page = await store.follow(table, this.#version, 0);
			for (const change of page.changes) {
				this.#take(change);
			}

			this.#contactAt = performance.now();
			return true;
		} catch (error) {
			log.debug('news_not_known', {table, reason: describeError(error)});
			return false;
		}
	}

	async #runRound(): Promise<void> {
		const {table, log, onContact} = this.#settings;
		try {
			await (this.#version >= 0 ? this.#follow() : this.#readWhole());
			this.#contactAt = performance.now();
			this.#pauseMs = firstPauseMs;
			if (this.#isDown) {
				this.#isDown = false;
				log.info('store_regained', {table, version: this.#version});
			}

			onContact?.();
		} catch (error) {
			if (error === abandoned) {
				return;
			}

			if (error instanceof PlatformError && error.code === 'missing') {
				log.warn('history_lost', {table, version: this.#version});
				this.#version = -1;
				// A store that loses its history again at once must not be read in a tight loop.
				await this.#pause((this.#settings.chance?.() ?? 0) * spreadMs);
				return;
			}

			if (!this.#isDown) {
				this.#isDown = true;
				log.warn('store_lost', {table, version: this.#version, reason: describeError(error)});
			}

			await this.#pause();
		}
	}

	async #pause(moreMs = 0): Promise<void> {
		await this.#wait(this.#pauseMs + moreMs);
		this.#pauseMs = Math.min(longestPauseMs, this.#pauseMs * 2);
	}

	async #wait(ms: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#wake = resolve;
			setTimeout(resolve, ms);
		});
	}

	async #follow(): Promise<void> {
		const {store, table, waitMs = defaultWaitMs, gatherMs = 0} = this.#settings;
		// After a failure the answer itself is what matters, not a change.
		const page = await this.#unlessAbandoned(store.follow(table, this.#version, this.#isDown ? 0 : waitMs));
		for (const change of page.changes) {
			this.#take(change);
		}

		this.#version = Math.max(this.#version, page.version);
		if (page.changes.length > 0 && gatherMs > 0) {
			await this.#wait(gatherMs);
		}
	}

	/** The feed begins at the first page's version, so changes made during the reading are seen again. */
	async #readWhole(): Promise<void> {
		const {parts} = this.#settings;
		const seen = new Set<string>();
		let version = Number.POSITIVE_INFINITY;
		for (const part of parts) {
			// eslint-disable-next-line no-await-in-loop
			version = Math.min(version, await this.#readPart(part, seen));
		}

		for (const [id, {table, part, key}] of this.#known) {
			if (!seen.has(id)) {
				this.#take({
					table, part, key, value: undefined, version,
				});
			}
		}

		this.#version = version;
		this.#isSynced = true;
	}

	async #readPart(part: string, seen: Set<string>): Promise<number> {
		const {store, table} = this.#settings;
		let first: number | undefined;
		const reading = {read: async (range: RowRange) => this.#unlessAbandoned(store.read(range))};
		for await (const page of readPages(reading, {table, part, limit: pageRows})) {
			first ??= page.version;
			for (const row of page.rows) {
				seen.add(nameRow(row));
				this.#take(row);
			}
		}

		return first!;
	}

	/** The answer to a call; throws `abandoned` if it is given up before. */
	async #unlessAbandoned<Answer>(call: Promise<Answer>): Promise<Answer> {
		const whenAbandoned = new Promise<never>((_resolve, reject) => {
			this.#abandon = () => {
				reject(abandoned);
			};
		});
		try {
			return await Promise.race([call, whenAbandoned]);
		} finally {
			this.#abandon = undefined;
		}
	}

	#take(change: RowChange): void {
		const id = nameRow(change);
		const known = this.#known.get(id);
		if (known && known.version >= change.version && change.value !== undefined) {
			return;
		}

		if (change.value === undefined) {
			this.#known.delete(id);
		} else {
			// Only what is needed to tell changes apart; the receiver keeps what it decodes.
			this.#known.set(id, {...change, value: undefined});
		}

		try {
			this.#settings.apply(change);
		} catch (error) {
			// Another writer's row must not hold up what the others say.
			this.#faults.note(change, error);
		}
	}
}

function nameRow({part, key}: {part: string; key: string}): string {
	return `${part}/${key}`;
}
