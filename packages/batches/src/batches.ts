/**
 * Accepts batches, runs the shares that this process owns, hands shares over and ends batches.
 */
import type {RowChange} from '@wasabiusher/backends';
import {defaultPolicy, GenerationLengths, type ModelDemand} from '@wasabiusher/decisions';
import {describeError} from '@wasabiusher/shared';
import {
	findSeries, estimateWork, prepareSubmission, settleRetryMs, writeAccepted,
} from './acceptance.js';
import type {
	BatchRecord, ResultPage, StoredBatch, Submission,
} from './batch.js';
import {BatchReader} from './batch-reader.js';
import {sweepBefore} from './batch-sweep.js';
import {decodeRecord, type BatchStore} from './batch-store.js';
import {CheckpointBudget} from './checkpoint-budget.js';
import {CommitScheduler} from './commit-scheduler.js';
import {isOfCustomer} from './customers.js';
import {BatchError} from './errors.js';
import {handOverShare} from './handover.js';
import type {HostRegistry} from './host-registry.js';
import {IdleWork} from './idle-work.js';
import {RetainedTextFinder} from './retained-text-finder.js';
import type {RetainedTexts} from './retained-texts.js';
import {KnownBatches} from './known-batches.js';
import {pause} from './pause.js';
import {RetiredBatches} from './retired-batches.js';
import {DedicatedEndpoints} from './dedicated-endpoints.js';
import {ShareOwner, type ShareOwnerSettings} from './share-owner.js';
import {SharePlanner} from './share-planner.js';
import {estimateBytes} from './submission-size.js';
import {nameShare} from './shares.js';
import {Submissions} from './submissions.js';
import {Takeovers} from './takeovers.js';

/** Time for retries when the store does not confirm the end of a batch, in milliseconds. */
const endTimeoutMs = 2500;

export type BatchesSettings = Omit<ShareOwnerSettings, 'checkpointBudget' | 'commitScheduler' | 'countEarlierOpen' | 'findDedicatedEndpoints' | 'lengths' | 'onConflict'> & {
	store: BatchStore;
	retainedTexts: RetainedTexts;
	hosts: HostRegistry;
	host: string;
	dataCentre?: string;
	/** Memory that the submissions of open batches may take before further ones are refused, in bytes; not limited if undefined. */
	maxSubmissionBytes?: number;
	/** Whether the store is reachable; defaults to always. */
	isStoreOpen?(): boolean;
};

/** The batches that this process knows, and the shares that it owns. */
export class Batches {
	readonly #settings: BatchesSettings;
	readonly #known = new KnownBatches();
	readonly #commitScheduler: CommitScheduler | undefined;
	readonly #checkpointBudget = new CheckpointBudget();
	readonly #lengths = new GenerationLengths();
	/** Owned shares by name. */
	readonly #owners = new Map<string, ShareOwner>();
	/** Shares that are being started, by name and term. */
	readonly #starting = new Set<string>();
	readonly #retired: RetiredBatches;
	readonly #takeovers: Takeovers;
	readonly #idleWork: IdleWork;
	readonly #planner: SharePlanner;
	readonly #retainedTextFinder: RetainedTextFinder;
	readonly #submissions: Submissions;
	readonly #reader: BatchReader;
	/** Memory of submissions that are being accepted, in bytes. */
	#acceptingBytes = 0;
	#isLeaving = false;

	constructor(settings: BatchesSettings) {
		this.#settings = settings;
		const {
			retainedTexts, dataCentre = '', log, random, policy = defaultPolicy, isStoreOpen = () => true,
		} = settings;
		this.#commitScheduler = policy.commitsByWorth ? new CommitScheduler({isOpen: isStoreOpen, chance: () => random.next()}) : undefined;
		const known = this.#known;
		this.#submissions = new Submissions(settings.store);
		this.#reader = new BatchReader({
			store: settings.store, submissions: this.#submissions, known, log,
			listOwners: id => this.#listOwners(id),
			onFound: found => {
				this.#updateBatch(found);
			},
		});
		this.#retired = new RetiredBatches(retainedTexts, log);
		this.#planner = new SharePlanner({...settings, dataCentre, known});
		this.#retainedTextFinder = new RetainedTextFinder({...settings, known, retired: this.#retired});
		this.#takeovers = new Takeovers({
			...settings, dataCentre, known,
			onFound: found => {
				this.#updateBatch(found);
			},
		});
		this.#idleWork = new IdleWork({
			...settings, known,
			listOwners: () => this.#owners.values(),
			isAttended: (id, share) => this.#isLeaving || this.#owners.has(nameShare(id, share)) || [...this.#starting].some(key => key.startsWith(`${nameShare(id, share)}:`)),
		});
	}

	/** Number of owned shares that are not complete. */
	get ownedCount(): number {
		return [...this.#owners.values()].filter(({isComplete}) => !isComplete).length;
	}

	/** Whether this process owns or is starting any share. */
	get hasWork(): boolean {
		return this.#starting.size > 0 || this.ownedCount > 0;
	}

	/** Recent demand of each model, by which endpoints are divided among models. */
	listDemands(): Map<string, ModelDemand> {
		return this.#known.listDemands(this.#settings.readStoreMs());
	}

	/** Number of samples of owned shares whose generation has not started, by model. */
	listWaiting(): Record<string, number> {
		const counts: Record<string, number> = {};
		for (const {submission: {model}, unstartedCount} of this.#owners.values()) {
			if (model !== undefined && unstartedCount > 0) {
				counts[model] = (counts[model] ?? 0) + unstartedCount;
			}
		}

		return counts;
	}

	/** Number of samples of a model that have not started on any host: those of batches too recent to be reported, and those that hosts have reported. */
	countWaiting(model: string): number {
		const {hosts, readStoreMs} = this.#settings;
		return this.#known.countUnreported(model, readStoreMs()) + hosts.countWaiting(model);
	}

	/** Starts scanning for shares without a live owner, and for idle work. */
	start(): void {
		this.#takeovers.start();
		this.#idleWork.start();
	}

	/**
	 * Accepts a batch by writing it to the store. A batch that was accepted before is left unchanged.
	 *
	 * @throws {BatchError} `unavailable` if it was not accepted and will not be, `no-room` if the memory for submissions is in use, `unknown` if the outcome could not be determined, `taken` if another
	 * customer has a batch of that id
	 */
	async submit(id: string, submission: Submission): Promise<void> {
		const known = this.#known.get(id);
		if (known) {
			assertCustomer(known.record, submission.customer);
			return;
		}

		const bytes = estimateBytes(submission);
		this.#assertRoom(bytes);
		this.#acceptingBytes += bytes;
		try {
			await this.#accept(id, submission);
		} finally {
			this.#acceptingBytes -= bytes;
		}
	}

	/** Counts since the start of the process: commits of results by outcome, checkpoints, and reports of idle work. */
	get counts(): Readonly<Record<string, number>> {
		const commits = Object.entries(this.#commitScheduler?.counts ?? {}).map(([outcome, count]): [string, number] => [`commits-${outcome}`, count]);
		return {...Object.fromEntries(commits), checkpoints: this.#checkpointBudget.writes, ...this.#idleWork.counts};
	}

	/** Writes pending results at once, since the store is reachable again. */
	releaseCommits(): void {
		this.#commitScheduler?.release();
	}

	/** Applies a change of the batch table. */
	apply(change: RowChange): void {
		if (change.value === undefined) {
			this.#known.delete(change.key);
			for (const owner of this.#listOwners(change.key)) {
				this.#stopOwner(owner);
			}

			return;
		}

		this.#updateBatch({record: decodeRecord({key: change.key, value: change.value}), version: change.version});
	}

	/**
	 * Reads results from a position on, waiting up to `waitMs` milliseconds for the first one.
	 *
	 * @param customer - customer of the caller; undefined where no key is required
	 * @throws {BatchError} `missing` if the customer has no such batch, `unavailable` if the store can't be reached to find out
	 */
	async read(id: string, after: number, waitMs: number, customer?: string): Promise<ResultPage> {
		return this.#reader.read(id, after, waitMs, customer);
	}

	/** Reads the request body of a sample; throws `BatchError` as `read` does. */
	async readBody(id: string, sample: string, customer?: string): Promise<Uint8Array> {
		return this.#reader.readBody(id, sample, customer);
	}

	/** Ends a batch, so that all its owners stop. Throws `BatchError` as `read` does, or with the code `unknown`. */
	async end(id: string, customer?: string): Promise<void> {
		const {store, log} = this.#settings;
		const retryUntil = performance.now() + endTimeoutMs;
		for (;;) {
			// Each attempt depends on the result of the previous one.
			// eslint-disable-next-line no-await-in-loop
			const found = await this.#reader.findCustomerBatch(id, customer, true);
			if (found.record.isEnded) {
				return;
			}

			const record = {...found.record, isEnded: true};
			// eslint-disable-next-line no-await-in-loop
			const version = await this.#tryWrite(store, record, found.version, retryUntil);
			if (version !== undefined) {
				log.info('batch_ended', {batch: id});
				this.#updateBatch({record, version});
				return;
			}
		}
	}

	/**
	 * Deletes ended batches older than `retentionMs` milliseconds, and retained texts of the same age. One process calls it from time to time.
	 * Never rejects.
	 */
	async sweep(retentionMs: number): Promise<void> {
		await sweepBefore({...this.#settings, known: this.#known}, this.#settings.readStoreMs() - retentionMs);
	}

	/** Hands over all shares: stops their runs, stores their incomplete texts and leaves them without an owner. */
	async handOver(): Promise<void> {
		this.#isLeaving = true;
		this.#takeovers.stop();
		this.#idleWork.stop();
		const {hosts} = this.#settings;
		await Promise.all([
			...[...this.#owners.values()].map(async owner => this.#handOver(owner)),
			this.#retired.flushAll(),
		]);
		await hosts.leave();
	}

	stop(): void {
		this.#takeovers.stop();
		this.#idleWork.stop();
		this.#retired.stop();
		for (const owner of this.#owners.values()) {
			this.#stopOwner(owner);
		}

		this.#commitScheduler?.stop();
	}

	/** Refuses a submission for which there is no memory. Shares of batches that were accepted are taken over all the same. */
	#assertRoom(bytes: number): void {
		const {maxSubmissionBytes = Number.POSITIVE_INFINITY} = this.#settings;
		const open = new Set([...this.#owners.values()].filter(({isComplete}) => !isComplete).map(({submission}) => submission));
		const openBytes = [...open].reduce((sum, submission) => sum + estimateBytes(submission), 0);
		if (openBytes + this.#acceptingBytes + bytes > maxSubmissionBytes) {
			throw new BatchError('no-room', `the memory for batches is in use: ${openBytes + this.#acceptingBytes} of ${maxSubmissionBytes} bytes`);
		}
	}

	async #accept(id: string, submission: Submission): Promise<void> {
		const {store, hosts, readStoreMs} = this.#settings;
		const {object, rows} = await prepareSubmission(store, id, submission);
		const series = findSeries(submission);
		const record: BatchRecord = {
			id, shares: this.#planner.plan(submission, series, this.#isLeaving), series, isEnded: false, object, total: submission.samples.length,
			...estimateWork(submission), customer: submission.customer ?? '', acceptedMs: readStoreMs(),
		};
		this.#submissions.cache(id, submission);
		const stored = await writeAccepted(store, record, rows);
		if (stored) {
			this.#updateBatch(stored, true);
			await hosts.sendHeartbeat();
		} else {
			await this.#confirmAccepted(id, submission.customer);
		}
	}

	async #handOver(owner: ShareOwner): Promise<void> {
		const {stored, share, partials, isComplete} = owner;
		this.#stopOwner(owner);
		if (!isComplete) {
			await handOverShare({...this.#settings, isOwnedHere: (record, index) => this.#isOwnedHere(record, index)}, stored, share, partials);
		}
	}

	/** Writes a row if its version is unchanged; returns undefined if the row must be read again. Throws a failure of the store only after `retryUntil`. */
	async #tryWrite(store: BatchStore, record: BatchRecord, version: number, retryUntil: number): Promise<number | undefined> {
		try {
			return await store.write(record, version);
		} catch (error) {
			if (performance.now() > retryUntil) {
				throw error;
			}

			await pause(settleRetryMs);
			return undefined;
		}
	}

	/** Checks the customer of a batch that another process has accepted. A failed read is reported as `unknown`, since the batch may be running. */
	async #confirmAccepted(id: string, customer: string | undefined): Promise<void> {
		let found: StoredBatch;
		try {
			found = await this.#reader.findBatch(id, true);
		} catch (error) {
			throw new BatchError('unknown', `batch ${id} was accepted by another process, but its row can't be read: ${describeError(error)}`, error);
		}

		assertCustomer(found.record, customer);
	}

	/**
	 * Records a batch's row, and starts, updates or stops the shares of this process accordingly. A row that is not newer than the known one is ignored.
	 *
	 * @param isNew - whether this process has just created the row, so that there are no results yet
	 */
	#updateBatch(stored: StoredBatch, isNew = false): void {
		const {record} = stored;
		const {previous, isStale} = this.#known.update(stored);
		if (isStale) {
			return;
		}

		if (!previous && !record.isEnded) {
			this.#retired.flushSeries(record.series);
		}

		for (const owner of this.#listOwners(record.id)) {
			this.#updateOwner(owner, stored);
		}

		for (const share of record.shares.keys()) {
			if (this.#isOwnedHere(record, share) && !record.isEnded && !this.#owners.has(nameShare(record.id, share)) && !this.#isLeaving) {
				void this.#startShare(stored, share, isNew);
			}
		}
	}

	/** Starts a share once for each term, even if the row changes meanwhile because of other shares. */
	async #startShare(stored: StoredBatch, share: number, isNew: boolean): Promise<void> {
		const key = `${nameShare(stored.record.id, share)}:${stored.record.shares[share]!.term}`;
		if (this.#starting.has(key)) {
			return;
		}

		this.#starting.add(key);
		// The process that assigned the share waits for a sign of life, so the heartbeat does not wait for the reads that follow.
		void this.#settings.hosts.sendHeartbeat();
		try {
			await this.#createOwner(stored, share, isNew);
		} finally {
			this.#starting.delete(key);
		}
	}

	/** Updates the owner of a share after its batch's row has changed; releases the share if it was reassigned or the batch has ended. */
	#updateOwner(owner: ShareOwner, stored: StoredBatch): void {
		const {record} = stored;
		const {term} = owner.stored.record.shares[owner.share]!;
		const isSameTerm = this.#isOwnedHere(record, owner.share) && record.shares[owner.share]!.term === term;
		if (isSameTerm && !record.isEnded) {
			owner.updateStored(stored);
		} else {
			this.#releaseShare(owner, isSameTerm);
		}
	}

	#isOwnedHere({shares}: BatchRecord, share: number): boolean {
		return shares[share]?.owner === this.#settings.hosts.incarnation;
	}

	#listOwners(id: string): ShareOwner[] {
		return [...this.#owners.values()].filter(owner => owner.id === id);
	}

	/** Stops working on a share. If only its batch has ended, its runs continue for a short time, since the next batch may need their texts. */
	#releaseShare(owner: ShareOwner, hasEnded: boolean): void {
		const {policy = defaultPolicy} = this.#settings;
		const unfinished = hasEnded && policy.keepsTexts ? owner.listUnfinished() : [];
		if (unfinished.length === 0) {
			this.#stopOwner(owner);
			return;
		}

		this.#owners.delete(owner.name);
		this.#retired.add(owner);
	}

	#stopOwner(owner: ShareOwner): void {
		owner.stop();
		this.#owners.delete(owner.name);
	}

	/** Starts working on a share that the store assigns to this process. */
	async #createOwner(stored: StoredBatch, share: number, isNew: boolean): Promise<void> {
		const {store, log, hosts} = this.#settings;
		const {record} = stored;
		const {id} = record;
		try {
			const {policy = defaultPolicy} = this.#settings;
			const whenRetained = this.#retainedTextFinder.waitForRetained(record.series);
			const submission = await this.#submissions.read(record);
			const [retained, results, partials] = await Promise.all([
				policy.keepsTexts ? this.#retainedTextFinder.find(submission, record, share, whenRetained) : new Map<string, never>(),
				isNew ? [] : store.readAllResults(id),
				isNew ? new Map<string, never>() : store.readPartials(id),
			]);
			const latest = this.#known.get(id);
			const isCurrent = latest?.record.shares[share]?.term === record.shares[share]!.term && this.#isOwnedHere(latest.record, share) && !latest.record.isEnded;
			if (!isCurrent || this.#owners.has(nameShare(id, share)) || this.#isLeaving) {
				return;
			}

			const dedicatedEndpoints = new DedicatedEndpoints({
				...this.#settings,
				listServices: () => this.#planner.listServices(submission),
				findRecord: () => this.#known.get(id)?.record ?? record,
			}, share);
			const owner = new ShareOwner({
				...this.#settings,
				commitScheduler: this.#commitScheduler,
				checkpointBudget: this.#checkpointBudget,
				lengths: this.#lengths,
				countEarlierOpen: () => this.#known.countEarlierOpen(record),
				findDedicatedEndpoints: () => dedicatedEndpoints.find(),
				onConflict: found => {
					this.#handleConflict(id, found);
				},
			}, {
				stored: latest, share, submission, results, partials, retained,
			});
			this.#owners.set(owner.name, owner);
			owner.start();
			await hosts.sendHeartbeat();
		} catch (error) {
			log.warn('batch_not_begun', {batch: id, share, reason: describeError(error)});
			await pause(settleRetryMs);
			const latest = this.#known.get(id);
			if (latest && this.#isOwnedHere(latest.record, share) && !latest.record.isEnded && !this.#isLeaving) {
				await this.#createOwner(latest, share, false);
			}
		}
	}

	/** Handles a refused write: the row has changed or was deleted, or another share has appended results first. */
	#handleConflict(id: string, found: StoredBatch | undefined): void {
		if (found) {
			this.#updateBatch(found);
			return;
		}

		for (const owner of this.#listOwners(id)) {
			this.#stopOwner(owner);
		}
	}
}

function assertCustomer(record: BatchRecord, customer: string | undefined): void {
	if (!isOfCustomer(record, customer)) {
		throw new BatchError('taken', `batch id ${record.id} is already in use`);
	}
}
