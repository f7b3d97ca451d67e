/**
 * All batches as one process sees them: accepts, owns, takes over, ends and reads them.
 *
 * Any process answers for any batch: from memory if it owns it, otherwise from the store. A process that can't ask the
 * store says so; it never says that a batch does not exist unless the store has said it.
 */
import {Buffer} from 'node:buffer';
import {LRUCache} from 'lru-cache';
import type {RowChange} from '@wasabiusher/backends';
import {defaultPolicy, shouldOwnNext, type ModelNeed} from '@wasabiusher/decisions';
import {describeError, groupBy} from '@wasabiusher/shared';
import {
	type BatchRecord, type KeptText, type ResultPage, type SampleResult, type StoredBatch, type Submission,
} from './batch.js';
import {BatchOwner, type BatchOwnerSettings} from './batch-owner.js';
import {
	decodeRecord, type BatchStore, type PreparedSubmission, type RowWrite,
} from './batch-store.js';
import {BatchError} from './errors.js';
import type {HostRegistry} from './host-registry.js';
import type {KeptTexts} from './kept-texts.js';
import {pause} from './pause.js';
import {RetiredBatches} from './retired-batches.js';

/** Time between looks for batches without a living owner, in milliseconds. */
const lookMs = 150;

/**
 * Pause between reads of the store for a trainer that waits at a host that does not own its batch, in milliseconds. The trainer ends its step
 * when it has read the last group it waits for, so half of this is idle time of each step; ten trainers that wait take 200 reads a second.
 */
const pollMs = 50;

/**
 * Time within which the lost answer of an acceptance is settled, in milliseconds. The trainer hands the batch in again elsewhere,
 * where the row decides; at a host that is cut off from the store a longer wait would only hold it.
 */
const acceptMs = 600;

/** Time within which an answer that was lost is settled otherwise, in milliseconds. */
const settleMs = 2500;
const settlePauseMs = 100;

/** Time for another process to keep its texts after it has seen a new batch, in milliseconds: some calls to the store. */
const keepMs = 50;

/** Part of the wanted groups that may have been carried over from an earlier batch; they come first. */
const carriedPart = 0.5;

/** Submissions of other owners that are kept to serve their bodies. */
const keptSubmissions = 8;

/** Most text in one answer, in characters; the answer as a whole stays under 1 MB. */
const maxPageText = 700_000;

/**
 * Batches of a model, and the time in milliseconds, over which what its steps ask for is averaged. The mean of a step counts, not the sum over
 * time: a trainer that is late asks less often and must not lose endpoints by that.
 */
const needBatches = 4;
const needAgeMs = 20_000;

export type BatchesSettings = Omit<BatchOwnerSettings, 'countEarlierOpen' | 'onReplaced'> & {
	store: BatchStore;
	keptTexts: KeptTexts;
	hosts: HostRegistry;
	host: string;
};

type KnownBatch = StoredBatch & {seenAt: number; isTaking: boolean};

/** The batches. */
export class Batches {
	readonly #settings: BatchesSettings;
	readonly #known = new Map<string, KnownBatch>();
	readonly #owners = new Map<string, BatchOwner>();
	readonly #retired: RetiredBatches;
	readonly #submissions = new LRUCache<string, Submission>({max: keptSubmissions});
	#timer: NodeJS.Timeout | undefined;
	#isLeaving = false;

	constructor(settings: BatchesSettings) {
		this.#settings = settings;
		this.#retired = new RetiredBatches(settings.keptTexts, settings.log);
	}

	/** Batches that this process runs. */
	get ownedCount(): number {
		return [...this.#owners.values()].filter(({results, submission}) => results.length < submission.samples.length).length;
	}

	/** What the last steps of each model have asked for; the endpoints are shared by it. */
	listNeeds(): Map<string, ModelNeed> {
		const since = this.#settings.readStoreMs() - needAgeMs;
		const recent = [...this.#known.values()].map(({record}) => record).filter(({model, acceptedMs}) => model !== '' && acceptedMs >= since);
		return new Map([...groupBy(recent, ({model}) => model)].map(([model, records]) => {
			const last = records.toSorted((a, b) => b.acceptedMs - a.acceptedMs).slice(0, needBatches);
			return [model, {work: findMean(last, ({expectedTokens}) => expectedTokens), longest: findMean(last, ({longestTokens}) => longestTokens)}];
		}));
	}

	/** Begins to look for batches without a living owner. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#look();
		}, lookMs);
	}

	/**
	 * Accepts a batch once the store has it.
	 *
	 * @throws {BatchError} `unavailable` if it was not accepted and won't be, `unknown` if that could not be settled
	 */
	async submit(id: string, submission: Submission): Promise<void> {
		if (this.#known.has(id)) {
			return;
		}

		const {hosts, readStoreMs} = this.#settings;
		const {object, rows} = await this.#prepare(id, submission);
		const series = findSeries(submission);
		const record: BatchRecord = {
			id, ...this.#chooseOwner(series), series, term: 1, isEnded: false, object, total: submission.samples.length, ...measureWork(submission), acceptedMs: readStoreMs(),
		};
		this.#submissions.set(id, submission);
		const stored = await this.#writeSettled(record, rows);
		if (stored) {
			this.#learn(stored, true);
			await hosts.beat();
		}
	}

	/** Takes over a change of the table of batches. */
	apply(change: RowChange): void {
		if (change.value === undefined) {
			this.#known.delete(change.key);
			this.#drop(change.key);
			return;
		}

		this.#learn({record: decodeRecord({key: change.key, value: change.value}), version: change.version});
	}

	/**
	 * Reads results from a position on, waiting up to `waitMs` for one.
	 *
	 * @throws {BatchError} `missing` if there is no such batch, `unavailable` if that can't be told
	 */
	async read(id: string, after: number, waitMs: number): Promise<ResultPage> {
		const owner = this.#owners.get(id);
		if (owner) {
			await owner.waitBeyond(after, waitMs);
			if (this.#owners.get(id) === owner) {
				return this.#notePage(id, after, {total: owner.stored.record.total, results: cutPage(owner.results.slice(after))});
			}
		}

		return this.#readStored(id, after, waitMs);
	}

	/** Reads the body of a sample; throws `BatchError` as `read` does. */
	async readBody(id: string, sample: string): Promise<Uint8Array> {
		const submission = this.#owners.get(id)?.submission ?? await this.#findSubmission(id);
		const found = submission.samples.find(other => other.id === sample);
		if (!found) {
			throw new BatchError('missing', `batch ${id} has no sample ${sample}`);
		}

		return Buffer.from(found.body, 'base64');
	}

	/** Ends a batch; nothing of it runs any more. Throws `BatchError` as `read` does, or `unknown`. */
	async end(id: string): Promise<void> {
		const {store, log} = this.#settings;
		const until = performance.now() + settleMs;
		for (;;) {
			// Each try depends on what the one before has found.
			// eslint-disable-next-line no-await-in-loop
			const found = await this.#find(id, true);
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
		const {store, keptTexts, log, readStoreMs} = this.#settings;
		const before = readStoreMs() - retentionMs;
		const old = [...this.#known.values()].filter(({record}) => record.isEnded && record.acceptedMs < before);
		try {
			const texts = await keptTexts.forgetBefore(before);
			for (const {record, version} of old) {
				// One after the other: nothing waits for it.
				// eslint-disable-next-line no-await-in-loop
				await store.remove({record, version});
			}

			if (old.length > 0 || texts > 0) {
				log.info('swept', {batches: old.length, texts});
			}
		} catch (error) {
			// What is left is found again at the next sweep.
			log.info('sweep_failed', {reason: describeError(error)});
		}
	}

	/** Hands all batches over: stops their runs, keeps their unfinished texts and leaves them without an owner. */
	async handOver(): Promise<void> {
		this.#isLeaving = true;
		clearInterval(this.#timer);
		const {hosts} = this.#settings;
		await Promise.all([
			...[...this.#owners.values()].map(async owner => this.#handOver(owner)),
			this.#retired.flushAll(),
		]);
		await hosts.leave();
	}

	stop(): void {
		clearInterval(this.#timer);
		this.#retired.stop();
		for (const id of this.#owners.keys()) {
			this.#drop(id);
		}
	}

	async #handOver(owner: BatchOwner): Promise<void> {
		const {store, log} = this.#settings;
		const {record, version} = owner.stored;
		const {partials} = owner;
		this.#drop(record.id);
		if (owner.results.length === record.total) {
			return;
		}

		try {
			const written = await store.write({...record, owner: '', ownerHost: ''}, version, store.preparePartials(record.id, partials));
			log.info('batch_handed_over', {batch: record.id, texts: partials.size, isWritten: written !== undefined});
		} catch (error) {
			// Others take it over once this process is seen to have left.
			log.warn('hand_over_failed', {batch: record.id, reason: describeError(error)});
		}
	}

	/** Who is to run a new batch: whoever ran the trainer's last one, or this process. */
	#chooseOwner(series: string): Pick<BatchRecord, 'owner' | 'ownerHost'> {
		const {hosts, host, policy = defaultPolicy} = this.#settings;
		const open = [...this.#known.values()].map(({record}) => record).filter(({isEnded}) => !isEnded);
		const last = [...this.#known.values()]
			.filter(({record}) => record.series === series)
			.toSorted((a, b) => b.record.acceptedMs - a.record.acceptedMs)[0]?.record.owner;
		const live = !policy.keepsTrainers || last === undefined || last === hosts.incarnation ? undefined : hosts.findLive(last);
		const batches = open.filter(({owner}) => owner === last).length;
		if (live && shouldOwnNext({...live, batches}, open.length / Math.max(1, hosts.count))) {
			return {owner: last!, ownerHost: live.host};
		}

		return {owner: this.#isLeaving ? '' : hosts.incarnation, ownerHost: host};
	}

	/** Prepares a submission; the store may have its object already from an earlier attempt, which does no harm. */
	async #prepare(id: string, submission: Submission): Promise<PreparedSubmission> {
		try {
			return await this.#settings.store.prepareSubmission(id, submission);
		} catch (error) {
			// Without its row the batch is not accepted, whatever became of the object.
			throw new BatchError('unavailable', `the submission can not be kept: ${describeError(error)}`, error);
		}
	}

	/** Writes a new batch's row; undefined if another process has accepted it. */
	async #writeSettled(record: BatchRecord, rows: readonly RowWrite[]): Promise<StoredBatch | undefined> {
		const {store} = this.#settings;
		let isDoubtful = false;
		const until = performance.now() + acceptMs;
		for (;;) {
			try {
				// eslint-disable-next-line no-await-in-loop
				const version = await store.write(record, 0, rows);
				return version === undefined ? undefined : {record, version};
			} catch (error) {
				isDoubtful ||= error instanceof BatchError && error.code === 'unknown';
				if (!isDoubtful) {
					throw error;
				}

				if (performance.now() > until) {
					throw new BatchError('unknown', `it is not known whether batch ${record.id} was accepted`, error);
				}

				// eslint-disable-next-line no-await-in-loop
				await pause(settlePauseMs);
			}
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

	async #find(id: string, isFresh = false): Promise<StoredBatch> {
		const known = isFresh ? undefined : this.#known.get(id);
		if (known) {
			return known;
		}

		const found = await this.#settings.store.find(id);
		if (!found) {
			throw new BatchError('missing', `the store has no batch ${id}`);
		}

		this.#learn(found);
		return found;
	}

	async #readStored(id: string, after: number, waitMs: number): Promise<ResultPage> {
		const until = performance.now() + waitMs;
		const {record: {total}} = await this.#find(id);
		for (;;) {
			// eslint-disable-next-line no-await-in-loop
			const found = await this.#settings.store.readResults(id, after);
			const isOver = performance.now() >= until || after >= total || this.#known.get(id)?.record.isEnded;
			if (found.length > 0 || isOver) {
				return this.#notePage(id, after, {total, results: cutPage(found.map(({result}) => result))});
			}

			// eslint-disable-next-line no-await-in-loop
			await pause(pollMs);
		}
	}

	#notePage(id: string, after: number, page: ResultPage): ResultPage {
		if (page.results.length > 0) {
			this.#settings.log.info('results_read', {batch: id, after, results: page.results.length});
		}

		return page;
	}

	async #findSubmission(id: string): Promise<Submission> {
		const {record} = await this.#find(id);
		return this.#readSubmission(record);
	}

	async #readSubmission(record: BatchRecord): Promise<Submission> {
		const kept = this.#submissions.get(record.id) ?? await this.#settings.store.readSubmission(record);
		this.#submissions.set(record.id, kept);
		return kept;
	}

	/**
	 * Takes note of a batch's row; an older one than known is ignored.
	 *
	 * @param isNew - whether this process has just written the first row, so that there can be no results yet
	 */
	#learn({record, version}: StoredBatch, isNew = false): void {
		const known = this.#known.get(record.id);
		if (known && known.version >= version) {
			return;
		}

		const hasSameOwner = known?.record.owner === record.owner;
		this.#known.set(record.id, {
			record, version, seenAt: hasSameOwner ? known.seenAt : performance.now(), isTaking: known?.isTaking ?? false,
		});
		if (!known && !record.isEnded) {
			this.#retired.flushSeries(record.series);
		}

		const owner = this.#owners.get(record.id);
		if (owner && owner.stored.version !== version) {
			this.#leave(owner, record.isEnded && hasSameOwner);
		}

		const isOurs = record.owner === this.#settings.hosts.incarnation && !record.isEnded;
		if (isOurs && !this.#owners.has(record.id) && !this.#isLeaving) {
			void this.#own({record, version}, isNew);
		}
	}

	/** Leaves a batch: for good, or with its runs going on for a moment if it has merely ended. */
	#leave(owner: BatchOwner, hasEnded: boolean): void {
		const {id} = owner;
		const {policy = defaultPolicy} = this.#settings;
		const unfinished = hasEnded && policy.keepsTexts ? owner.listUnfinished() : [];
		if (unfinished.length === 0) {
			this.#drop(id);
			return;
		}

		this.#owners.delete(id);
		this.#retired.add(owner);
	}

	/** What earlier batches have left of a new one's samples. */
	async #findKept(submission: Submission): Promise<Map<string, KeptText>> {
		const {samples, wantedGroups, step} = submission;
		const {keptTexts, log, policy = defaultPolicy} = this.#settings;
		const groups = [...new Set(samples.flatMap(({group}) => group ?? []))].slice(0, Math.ceil(wantedGroups * carriedPart));
		if (step === 0 || groups.length === 0 || !policy.keepsTexts) {
			return new Map();
		}

		await this.#waitForKept(findSeries(submission));
		try {
			const found = await Promise.all(groups.map(async group => keptTexts.findGroup(group)));
			return new Map(found.flatMap(texts => [...texts]));
		} catch (error) {
			log.warn('texts_not_found', {reason: describeError(error)});
			return new Map();
		}
	}

	/** Waits until what was made of a trainer's last batches is kept: told if this process ran them, else some calls to the store later. */
	async #waitForKept(series: string): Promise<void> {
		const {hosts, readStoreMs} = this.#settings;
		const last = [...this.#known.values()].filter(({record}) => record.series === series && record.isEnded && readStoreMs() - record.acceptedMs < needAgeMs);
		const areOurs = last.every(({record}) => record.owner === hosts.incarnation);
		const kept = areOurs ? this.#retired.whenKept(series) : undefined;
		await (kept ?? pause(keepMs));
	}

	#drop(id: string): void {
		this.#owners.get(id)?.stop();
		this.#owners.delete(id);
	}

	/** Begins to run a batch that the store says is this process's. */
	async #own(stored: StoredBatch, isNew: boolean): Promise<void> {
		const {store, log, hosts} = this.#settings;
		const {id} = stored.record;
		try {
			const submission = await this.#readSubmission(stored.record);
			const [kept, results, partials] = await Promise.all([
				this.#findKept(submission),
				isNew ? [] : store.readAllResults(id),
				isNew ? new Map<string, never>() : store.readPartials(id),
			]);
			if (this.#known.get(id)?.version !== stored.version || this.#owners.has(id) || this.#isLeaving) {
				return;
			}

			const owner = new BatchOwner({
				...this.#settings,
				countEarlierOpen: () => this.#countEarlierOpen(stored.record),
				onReplaced: () => {
					this.#drop(id);
				},
			}, {
				stored, submission, results, partials, kept,
			});
			this.#owners.set(id, owner);
			owner.start();
			await hosts.beat();
		} catch (error) {
			log.warn('batch_not_begun', {batch: id, reason: describeError(error)});
			await pause(settlePauseMs);
			if (this.#known.get(id)?.version === stored.version && !this.#isLeaving) {
				await this.#own(stored, false);
			}
		}
	}

	#countEarlierOpen({series, acceptedMs}: BatchRecord): number {
		return [...this.#known.values()].filter(({record}) => !record.isEnded && record.series === series && record.acceptedMs < acceptedMs).length;
	}

	/** Takes over what nobody looks after. */
	#look(): void {
		const {hosts} = this.#settings;
		for (const known of this.#known.values()) {
			const {record, isTaking} = known;
			if (!record.isEnded && !isTaking && record.owner !== hosts.incarnation && this.#isOrphan(known)) {
				known.isTaking = true;
				void this.#takeOver(record.id);
			}
		}
	}

	/** Whether nobody looks after a batch: an earlier start of this host has ended, whatever is heard of heartbeats. */
	#isOrphan({record, seenAt}: KnownBatch): boolean {
		const {hosts, host} = this.#settings;
		return (record.ownerHost === host && record.owner !== hosts.incarnation) || hosts.isGone(record.owner, seenAt);
	}

	async #takeOver(id: string): Promise<void> {
		const {store, hosts, host, log} = this.#settings;
		const isOwn = this.#known.get(id)?.record.ownerHost === host;
		await pause(isOwn ? 0 : hosts.findTurnMs(id));
		const known = this.#known.get(id);
		try {
			if (!known || known.record.isEnded || !this.#isOrphan(known)) {
				return;
			}

			const record: BatchRecord = {
				...known.record, owner: hosts.incarnation, ownerHost: host, term: known.record.term + 1,
			};
			const version = await store.write(record, known.version);
			if (version === undefined) {
				// Another process was first, or the batch has ended; the feed tells, or this read.
				const found = await store.find(id);
				if (found) {
					this.#learn(found);
				}

				return;
			}

			log.info('batch_taken_over', {batch: id, from: known.record.ownerHost, term: record.term});
			this.#learn({record, version});
		} catch (error) {
			log.warn('take_over_failed', {batch: id, reason: describeError(error)});
		} finally {
			const current = this.#known.get(id);
			if (current) {
				current.isTaking = false;
			}
		}
	}
}

/** The trainer's part of the path: all but the batch's own last step. */
function findSeries({host, path}: Submission): string {
	return host + path.slice(0, path.lastIndexOf('/') + 1);
}

/** What a batch asks of the endpoints; a sample of which nothing is known counts as one token. */
function measureWork({model = '', samples}: Submission): Pick<BatchRecord, 'model' | 'expectedTokens' | 'longestTokens'> {
	const lengths = samples.map(({expectedTokens}) => expectedTokens ?? 1);
	return {model, expectedTokens: lengths.reduce((sum, length) => sum + length, 0), longestTokens: Math.max(0, ...lengths)};
}

function findMean<Item>(items: readonly Item[], read: (item: Item) => number): number {
	return items.reduce((sum, item) => sum + read(item), 0) / Math.max(1, items.length);
}

/** As many of the first results as fit into one answer; one at least. */
function cutPage(results: readonly SampleResult[]): SampleResult[] {
	let length = 0;
	const end = results.findIndex(({text}, i) => {
		length += text.length;
		return i > 0 && length > maxPageText;
	});
	return end === -1 ? [...results] : results.slice(0, end);
}
