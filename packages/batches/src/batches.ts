/**
 * All batches as one process sees them: accepts them, works on shares of them, hands shares over and ends them.
 */
import type {RowChange} from '@wasabiusher/backends';
import {defaultPolicy, TextLengths, type ModelNeed} from '@wasabiusher/decisions';
import {describeError} from '@wasabiusher/shared';
import {
	findSeries, measureWork, prepareSubmission, settlePauseMs, writeAccepted,
} from './acceptance.js';
import type {
	BatchRecord, ResultPage, StoredBatch, Submission,
} from './batch.js';
import {BatchReader} from './batch-reader.js';
import {sweepBefore} from './batch-sweep.js';
import {decodeRecord, type BatchStore} from './batch-store.js';
import {CheckpointBudget} from './checkpoint-budget.js';
import {CommitDesk} from './commit-desk.js';
import {isOfCustomer} from './customers.js';
import {BatchError} from './errors.js';
import {handOverShare} from './hand-over.js';
import type {HostRegistry} from './host-registry.js';
import {KeptFinder} from './kept-finder.js';
import type {KeptTexts} from './kept-texts.js';
import {KnownBatches} from './known-batches.js';
import {pause} from './pause.js';
import {RetiredBatches} from './retired-batches.js';
import {ShareHomes} from './share-homes.js';
import {ShareOwner, type ShareOwnerSettings} from './share-owner.js';
import {SharePlanner} from './share-planner.js';
import {nameShare} from './shares.js';
import {Submissions} from './submissions.js';
import {TakeOvers} from './take-overs.js';

/** Time within which the lost answer of an end is settled, in milliseconds. */
const settleMs = 2500;

export type BatchesSettings = Omit<ShareOwnerSettings, 'checkpointBudget' | 'countEarlierOpen' | 'desk' | 'onConflict' | 'findHomes' | 'lengths'> & {
	store: BatchStore;
	keptTexts: KeptTexts;
	hosts: HostRegistry;
	host: string;
	dataCentre?: string;
	/** Whether there is a way to the store at present; always by default. */
	isStoreOpen?(): boolean;
};

/** The batches. */
export class Batches {
	readonly #settings: BatchesSettings;
	readonly #known = new KnownBatches();
	readonly #desk: CommitDesk | undefined;
	readonly #checkpointBudget = new CheckpointBudget();
	readonly #lengths = new TextLengths();
	/** What this process works on, by the name of the share. */
	readonly #owners = new Map<string, ShareOwner>();
	/** Shares that this process is about to work on, by name and term. */
	readonly #beginning = new Set<string>();
	readonly #retired: RetiredBatches;
	readonly #takeOvers: TakeOvers;
	readonly #planner: SharePlanner;
	readonly #keptFinder: KeptFinder;
	readonly #submissions: Submissions;
	readonly #reader: BatchReader;
	#isLeaving = false;

	constructor(settings: BatchesSettings) {
		this.#settings = settings;
		const {
			keptTexts, dataCentre = '', log, random, policy = defaultPolicy, isStoreOpen = () => true,
		} = settings;
		this.#desk = policy.commitsByWorth ? new CommitDesk({isOpen: isStoreOpen, chance: () => random.next()}) : undefined;
		const known = this.#known;
		this.#submissions = new Submissions(settings.store);
		this.#reader = new BatchReader({
			store: settings.store, submissions: this.#submissions, known, log,
			listOwners: id => this.#listOwners(id),
			onFound: found => {
				this.#learn(found);
			},
		});
		this.#retired = new RetiredBatches(keptTexts, log);
		this.#planner = new SharePlanner({...settings, dataCentre, known});
		this.#keptFinder = new KeptFinder({...settings, known, retired: this.#retired});
		this.#takeOvers = new TakeOvers({
			...settings, dataCentre, known,
			onFound: found => {
				this.#learn(found);
			},
		});
	}

	/** Shares of batches that this process works on. */
	get ownedCount(): number {
		return [...this.#owners.values()].filter(({isWhole}) => !isWhole).length;
	}

	/** Whether this process has work, also if it has only been given some. */
	get hasWork(): boolean {
		return this.#beginning.size > 0 || this.ownedCount > 0;
	}

	/** What the last steps of each model have asked for; the endpoints are shared by it. */
	listNeeds(): Map<string, ModelNeed> {
		return this.#known.listNeeds(this.#settings.readStoreMs());
	}

	/** Texts that this process has not begun yet, by their model. */
	listWaiting(): Record<string, number> {
		const counts: Record<string, number> = {};
		for (const {submission: {model}, unbegunCount} of this.#owners.values()) {
			if (model !== undefined && unbegunCount > 0) {
				counts[model] = (counts[model] ?? 0) + unbegunCount;
			}
		}

		return counts;
	}

	/** Texts of a model that have not begun at any host: those of a step that was just handed in, and what hosts have told. */
	countWaiting(model: string): number {
		const {hosts, readStoreMs} = this.#settings;
		return this.#known.countFresh(model, readStoreMs()) + hosts.countWaiting(model);
	}

	/** Begins to look for batches without a living owner. */
	start(): void {
		this.#takeOvers.start();
	}

	/**
	 * Accepts a batch once the store has it.
	 *
	 * @throws {BatchError} `unavailable` if it was not accepted and won't be, `unknown` if that could not be settled, `taken` if another
	 * customer has a batch of that name
	 */
	async submit(id: string, submission: Submission): Promise<void> {
		const known = this.#known.get(id);
		if (known) {
			expectOwn(known.record, submission.customer);
			return;
		}

		const {store, hosts, readStoreMs} = this.#settings;
		const {object, rows} = await prepareSubmission(store, id, submission);
		const series = findSeries(submission);
		const record: BatchRecord = {
			id, shares: this.#planner.plan(submission, series, this.#isLeaving), series, isEnded: false, object, total: submission.samples.length,
			...measureWork(submission), customer: submission.customer ?? '', acceptedMs: readStoreMs(),
		};
		this.#submissions.keep(id, submission);
		const stored = await writeAccepted(store, record, rows);
		if (stored) {
			this.#learn(stored, true);
			await hosts.beat();
		} else {
			await this.#expectAccepted(id, submission.customer);
		}
	}

	/** What this process has written of its batches since the start, by what came of it. */
	get counts(): Readonly<Record<string, number>> {
		const commits = Object.entries(this.#desk?.counts ?? {}).map(([outcome, count]): [string, number] => [`commits-${outcome}`, count]);
		return {...Object.fromEntries(commits), checkpoints: this.#checkpointBudget.writes};
	}

	/** Writes what has waited for the store, which answers again. */
	releaseCommits(): void {
		this.#desk?.release();
	}

	/** Takes over a change of the table of batches. */
	apply(change: RowChange): void {
		if (change.value === undefined) {
			this.#known.delete(change.key);
			for (const owner of this.#listOwners(change.key)) {
				this.#drop(owner);
			}

			return;
		}

		this.#learn({record: decodeRecord({key: change.key, value: change.value}), version: change.version});
	}

	/**
	 * Reads results from a position on, waiting up to `waitMs` for one.
	 *
	 * @param customer - who asks; undefined where no key is needed
	 * @throws {BatchError} `missing` if the customer has no such batch, `unavailable` if that can't be told
	 */
	async read(id: string, after: number, waitMs: number, customer?: string): Promise<ResultPage> {
		return this.#reader.read(id, after, waitMs, customer);
	}

	/** Reads the body of a sample; throws `BatchError` as `read` does. */
	async readBody(id: string, sample: string, customer?: string): Promise<Uint8Array> {
		return this.#reader.readBody(id, sample, customer);
	}

	/** Ends a batch; nothing of it runs any more. Throws `BatchError` as `read` does, or `unknown`. */
	async end(id: string, customer?: string): Promise<void> {
		const {store, log} = this.#settings;
		const until = performance.now() + settleMs;
		for (;;) {
			// Each try depends on what the one before has found.
			// eslint-disable-next-line no-await-in-loop
			const found = await this.#reader.findOwnBatch(id, customer, true);
			if (found.record.isEnded) {
				return;
			}

			const record = {...found.record, isEnded: true};
			// eslint-disable-next-line no-await-in-loop
			const version = await this.#tryWrite(store, record, found.version, until);
			if (version !== undefined) {
				log.info('batch_ended', {batch: id});
				this.#learn({record, version});
				return;
			}
		}
	}

	/**
	 * Removes what nobody reads any more: batches that have ended and are older than `retentionMs`, and texts as old.
	 * To be called now and then by one process. Never rejects.
	 */
	async sweep(retentionMs: number): Promise<void> {
		await sweepBefore({...this.#settings, known: this.#known}, this.#settings.readStoreMs() - retentionMs);
	}

	/** Hands all batches over: stops their runs, keeps their unfinished texts and leaves them without an owner. */
	async handOver(): Promise<void> {
		this.#isLeaving = true;
		this.#takeOvers.stop();
		const {hosts} = this.#settings;
		await Promise.all([
			...[...this.#owners.values()].map(async owner => this.#handOver(owner)),
			this.#retired.flushAll(),
		]);
		await hosts.leave();
	}

	stop(): void {
		this.#takeOvers.stop();
		this.#retired.stop();
		for (const owner of this.#owners.values()) {
			this.#drop(owner);
		}

		this.#desk?.stop();
	}

	async #handOver(owner: ShareOwner): Promise<void> {
		const {stored, share, partials, isWhole} = owner;
		this.#drop(owner);
		if (!isWhole) {
			await handOverShare({...this.#settings, isOurs: (record, other) => this.#isOurs(record, other)}, stored, share, partials);
		}
	}

	/** Writes a row on a condition; undefined if the row must be read again. */
	async #tryWrite(store: BatchStore, record: BatchRecord, version: number, until: number): Promise<number | undefined> {
		try {
			return await store.write(record, version);
		} catch (error) {
			if (performance.now() > until) {
				throw error;
			}

			await pause(settlePauseMs);
			return undefined;
		}
	}

	/** Looks whose batch it is that another process has accepted; that something of it runs can't be ruled out any more. */
	async #expectAccepted(id: string, customer: string | undefined): Promise<void> {
		let found: StoredBatch;
		try {
			found = await this.#reader.findBatch(id, true);
		} catch (error) {
			throw new BatchError('unknown', `batch ${id} was accepted elsewhere, and can't be read: ${describeError(error)}`, error);
		}

		expectOwn(found.record, customer);
	}

	/**
	 * Takes note of a batch's row; an older one than known is ignored.
	 *
	 * @param isNew - whether this process has just written the first row, so that there can be no results yet
	 */
	#learn(stored: StoredBatch, isNew = false): void {
		const {record} = stored;
		const {before, isOld} = this.#known.learn(stored);
		if (isOld) {
			return;
		}

		if (!before && !record.isEnded) {
			this.#retired.flushSeries(record.series);
		}

		for (const owner of this.#listOwners(record.id)) {
			this.#follow(owner, stored);
		}

		for (const share of record.shares.keys()) {
			if (this.#isOurs(record, share) && !record.isEnded && !this.#owners.has(nameShare(record.id, share)) && !this.#isLeaving) {
				void this.#begin(stored, share, isNew);
			}
		}
	}

	/** Begins a share once for each term, though its row may change for other shares meanwhile. */
	async #begin(stored: StoredBatch, share: number, isNew: boolean): Promise<void> {
		const key = `${nameShare(stored.record.id, share)}:${stored.record.shares[share]!.term}`;
		if (this.#beginning.has(key)) {
			return;
		}

		this.#beginning.add(key);
		// Whoever gave it waits to hear that this process lives, whatever else the store has to tell first.
		void this.#settings.hosts.beat();
		try {
			await this.#own(stored, share, isNew);
		} finally {
			this.#beginning.delete(key);
		}
	}

	/** Goes on with a share whose batch's row has changed, or leaves it. */
	#follow(owner: ShareOwner, stored: StoredBatch): void {
		const {record} = stored;
		const {term} = owner.stored.record.shares[owner.share]!;
		const isSame = this.#isOurs(record, owner.share) && record.shares[owner.share]!.term === term;
		if (isSame && !record.isEnded) {
			owner.adopt(stored);
		} else {
			this.#leave(owner, isSame);
		}
	}

	#isOurs({shares}: BatchRecord, share: number): boolean {
		return shares[share]?.owner === this.#settings.hosts.incarnation;
	}

	#listOwners(id: string): ShareOwner[] {
		return [...this.#owners.values()].filter(owner => owner.id === id);
	}

	/** Leaves a share: for good, or with its runs going on for a moment if its batch has merely ended. */
	#leave(owner: ShareOwner, hasEnded: boolean): void {
		const {policy = defaultPolicy} = this.#settings;
		const unfinished = hasEnded && policy.keepsTexts ? owner.listUnfinished() : [];
		if (unfinished.length === 0) {
			this.#drop(owner);
			return;
		}

		this.#owners.delete(owner.name);
		this.#retired.add(owner);
	}

	#drop(owner: ShareOwner): void {
		owner.stop();
		this.#owners.delete(owner.name);
	}

	/** Begins to work on a share that the store says is this process's. */
	async #own(stored: StoredBatch, share: number, isNew: boolean): Promise<void> {
		const {store, log, hosts} = this.#settings;
		const {record} = stored;
		const {id} = record;
		try {
			const {policy = defaultPolicy} = this.#settings;
			const whenKept = this.#keptFinder.waitForKept(record.series);
			const submission = await this.#submissions.read(record);
			const [kept, results, partials] = await Promise.all([
				policy.keepsTexts ? this.#keptFinder.find(submission, record, share, whenKept) : new Map<string, never>(),
				isNew ? [] : store.readAllResults(id),
				isNew ? new Map<string, never>() : store.readPartials(id),
			]);
			const present = this.#known.get(id);
			const isCurrent = present?.record.shares[share]?.term === record.shares[share]!.term && this.#isOurs(present.record, share) && !present.record.isEnded;
			if (!isCurrent || this.#owners.has(nameShare(id, share)) || this.#isLeaving) {
				return;
			}

			const homes = new ShareHomes({
				...this.#settings,
				listServices: () => this.#planner.listServices(submission),
				findRecord: () => this.#known.get(id)?.record ?? record,
			}, share);
			const owner = new ShareOwner({
				...this.#settings,
				desk: this.#desk,
				checkpointBudget: this.#checkpointBudget,
				lengths: this.#lengths,
				countEarlierOpen: () => this.#known.countEarlierOpen(record),
				findHomes: () => homes.find(),
				onConflict: found => {
					this.#noteConflict(id, found);
				},
			}, {
				stored: present, share, submission, results, partials, kept,
			});
			this.#owners.set(owner.name, owner);
			owner.start();
			await hosts.beat();
		} catch (error) {
			log.warn('batch_not_begun', {batch: id, share, reason: describeError(error)});
			await pause(settlePauseMs);
			const present = this.#known.get(id);
			if (present && this.#isOurs(present.record, share) && !present.record.isEnded && !this.#isLeaving) {
				await this.#own(present, share, false);
			}
		}
	}

	/** A write was refused: the row has changed, or another share was first. */
	#noteConflict(id: string, found: StoredBatch | undefined): void {
		if (found) {
			this.#learn(found);
			return;
		}

		for (const owner of this.#listOwners(id)) {
			this.#drop(owner);
		}
	}
}

function expectOwn(record: BatchRecord, customer: string | undefined): void {
	if (!isOfCustomer(record, customer)) {
		throw new BatchError('taken', `the name ${record.id} is another batch's`);
	}
}
