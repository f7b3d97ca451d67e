/**
 * Runs one share of a batch that this process owns: makes its samples, has them scored, and commits results at positions.
 *
 * A result is shown to the trainer only once the store has it. When this process no longer owns the share, or the batch
 * has ended, everything stops and nothing more can be written.
 */
import {Buffer} from 'node:buffer';
import {setMaxListeners} from 'node:events';
import PQueue from 'p-queue';
import {
	chooseRenewals, defaultPolicy, type Policy, type TextLengths,
} from '@wasabiusher/decisions';
import {
	SampleRun, type CallPlace, type SampleOutcome, type SampleRequest, type SampleText,
} from '@wasabiusher/direct';
import {
	applyCustomer, describeError, findRoute, type Route,
} from '@wasabiusher/shared';
import type {
	Sample, SampleResult, StoredBatch, Submission,
} from './batch.js';
import type {BatchStore, PartialTexts} from './batch-store.js';
import type {CheckpointBudget} from './checkpoint-budget.js';
import {Checkpoints} from './checkpoints.js';
import type {CommitDesk} from './commit-desk.js';
import {nameForCustomer} from './customers.js';
import type {GroupedText} from './kept-texts.js';
import {Renewals} from './renewals.js';
import {ResultList} from './result-list.js';
import type {PositionedResult} from './result-rows.js';
import {toText, type UsableText} from './sample-texts.js';
import {scoreSample, type ScoringSettings} from './scoring.js';
import {SharePlaces} from './share-places.js';
import {ShareTexts, type LeftTexts} from './share-texts.js';
import {
	listGroups, listShareSamples, nameShare, sampleOrders, toOrdered,
} from './shares.js';

/** Samples begun at once when no endpoint is registered, so that the first one is not waited for. */
const leastConcurrency = 8;

/** Time between looks for texts that should be begun a second time, in milliseconds; a text grows by seven events in it. */
const renewalMs = 250;

/** Part of the time in which results are due by which texts should be whole: the rest is for scores, for listing, and for beginning again after a loss. */
const wantedPart = 0.5;

export type ShareOwnerSettings = ScoringSettings & {
	store: BatchStore;
	/** Where the process's results go to the store; undefined if each list writes as it comes. */
	desk?: CommitDesk;
	/** What the process may write of unfinished texts. */
	checkpointBudget: CheckpointBudget;
	/** What is known of the lengths of texts. */
	lengths: TextLengths;
	/** The newest published version of a model. */
	findPublished(model: string): number | undefined;
	/** Milliseconds on the store's steady clock. */
	readStoreMs(): number;
	/** Endpoints that this share has for its own; undefined if it may use all alike. */
	findHomes(): ReadonlySet<string> | undefined;
	/** Batches of the same trainer that were accepted before this one and are still open. */
	countEarlierOpen(): number;
	/** Called with the batch's row when a write has found it changed, or something else that it expects; undefined if the row is gone. */
	onConflict(found: StoredBatch | undefined): void;
};

/** What is known of a share when its ownership begins. */
export type OwnedShare = LeftTexts & {
	stored: StoredBatch;
	/** Which of the batch's shares it is. */
	share: number;
	submission: Submission;
	/** Results of the whole batch. */
	results: PositionedResult[];
};

/** How a run of a sample is made. */
type RunPlan = {
	/** Oldest version that may make an event. */
	leastVersion: number;
	/** Aborts when the run is no longer wanted. */
	signal: AbortSignal;
	/** What has been made before. */
	text?: SampleText;
	/** Whether it keeps away from endpoints whose slots are all taken, by what is known. */
	avoidsFull?: boolean;
};

/** The owner of one share of a batch. */
export class ShareOwner {
	/** Which of the batch's shares it is. */
	readonly share: number;
	/** Samples of this share. */
	readonly samples: readonly Sample[];
	readonly #ids: ReadonlySet<string>;
	readonly #settings: ShareOwnerSettings;
	readonly #policy: Policy;
	#stored: StoredBatch;
	readonly #submission: Submission;
	readonly #results: ResultList;
	readonly #texts: ShareTexts;
	#isRetired = false;
	readonly #stop = createStop();
	readonly #renewals: Renewals;
	readonly #queue: PQueue;
	readonly #places: SharePlaces;
	readonly #checkpoints: Checkpoints;
	#renewalTimer: NodeJS.Timeout | undefined;
	/** Version from which on second texts are begun: each earlier batch that is still open brings one more before this one ends. */
	#renewFrom: number | undefined;

	constructor(settings: ShareOwnerSettings, {stored, share, submission, results, ...left}: OwnedShare) {
		const {shares} = stored.record;
		this.share = share;
		this.samples = listShareSamples(submission, share, shares.length);
		this.#ids = new Set(this.samples.map(({id}) => id));
		this.#settings = settings;
		this.#policy = settings.policy ?? defaultPolicy;
		this.#stored = stored;
		this.#submission = submission;
		this.#texts = new ShareTexts(left);
		// In the line of the host all may wait; without it the queue bounds how many look for endpoints.
		this.#queue = new PQueue({concurrency: settings.line ? Number.POSITIVE_INFINITY : this.#countSlots()});
		const {dueMs, timeoutMs = 0} = this.#findRoute() ?? {};
		this.#places = new SharePlaces(stored.record.series, this.#acceptedAt + (dueMs ?? timeoutMs), this.#planOrder());
		this.#renewals = new Renewals((sample, leastVersion, signal) => this.#createRun(this.#getSample(sample), {leastVersion, signal, avoidsFull: true}));
		const {store, log} = settings;
		this.#results = new ResultList({
			store,
			log,
			batch: stored.record.id,
			share,
			isShared: shares.length > 1,
			samples: this.samples,
			desk: settings.desk,
			findPriority: () => this.#findRoute()?.priority ?? 0,
			findVersion: () => this.#stored.version,
			signal: this.#stop.signal,
			onConflict: settings.onConflict,
			onWhole: () => {
				this.#clearTimers();
				this.#renewals.stop();
			},
		}, this.#selectOwn(results));
		this.#checkpoints = new Checkpoints({
			store,
			log,
			batch: stored.record.id,
			budget: settings.checkpointBudget,
			findVersion: () => this.#stored.version,
			listPartials: () => this.partials,
			countLacking: sample => this.#results.countLacking(sample),
			onConflict: settings.onConflict,
		});
	}

	get id(): string {
		return this.#stored.record.id;
	}

	get stored(): StoredBatch {
		return this.#stored;
	}

	/** The share's name among all shares. */
	get name(): string {
		return nameShare(this.id, this.share);
	}

	/** Whether the batch has no other shares, so that this one has all results. */
	get isAll(): boolean {
		return this.#stored.record.shares.length === 1;
	}

	/** Whether every sample of the share has its result. */
	get isWhole(): boolean {
		return this.#results.all.length === this.samples.length;
	}

	/** Results of this share that the store has, in the order of their positions. */
	get results(): readonly SampleResult[] {
		return this.#results.all;
	}

	/** Samples of which nothing was made yet. */
	get unbegunCount(): number {
		return this.#isRetired ? 0 : this.samples.filter(({id}) => !this.#results.has(id) && !this.#texts.hasBegun(id)).length;
	}

	get submission(): Submission {
		return this.#submission;
	}

	/** Texts that are not whole yet. */
	get partials(): PartialTexts {
		return this.#texts.listPartials();
	}

	/** Takes note that the batch's row has changed while this share stayed as it is. */
	adopt(stored: StoredBatch): void {
		this.#stored = stored;
	}

	/** Begins all samples that have no result. */
	start(): void {
		const {samples, wantedGroups, step, model} = this.#submission;
		const open = new Map(this.samples.filter(({id}) => !this.#results.has(id)).map(sample => [sample.id, sample]));
		const order = this.#planOrder().filter(id => open.has(id));
		for (const id of order) {
			void this.#queue.add(async () => this.#make(open.get(id)!));
		}

		if (this.#policy.keepsCheckpoints) {
			this.#checkpoints.start();
		}

		this.#renewalTimer = setInterval(() => {
			this.#renew();
		}, renewalMs);
		const {record: {shares, series, acceptedMs}} = this.#stored;
		this.#settings.log.info('batch_begun', {
			batch: this.id, share: this.share, shares: shares.length, samples: this.samples.length, term: shares[this.share]!.term, series, step, model,
			total: samples.length, wanted: wantedGroups, groups: listGroups(this.#submission).size,
			ageMs: Math.round(this.#settings.readStoreMs() - acceptedMs), listed: this.#results.all.length, ...this.#texts.leftCounts,
		});
	}

	/** Stops all runs; nothing is written after that. */
	stop(): void {
		this.#stop.abort();
		this.#results.close();
		this.#renewals.stop();
		this.#clearTimers();
		this.#results.notify();
	}

	/** Resolves when results come after a position, when the batch stops here, or after a time. */
	async waitBeyond(position: number, waitMs: number): Promise<void> {
		return this.#results.waitBeyond(position, waitMs);
	}

	/** Has a whole text scored, then lists it. */
	async finish(sample: Sample, text: SampleText): Promise<void> {
		const wholeAt = performance.now();
		this.#texts.whole.set(sample.id, text);
		this.#settings.lengths.record(this.#nameLengths(sample), sample.expectedTokens, text.events.length);
		const score = sample.score ? await scoreSample(this.#settings, sample, this.#stop.signal, route => this.#findScorePlace(sample, route)) : undefined;
		if (this.#stop.signal.aborted) {
			return;
		}

		if (sample.score && score === undefined) {
			this.abandon(sample, 'scoring failed');
			return;
		}

		this.#results.add({
			id: sample.id, state: 'made', text: text.events.join('\n'), versions: [...text.versions].toSorted((a, b) => a - b), ...(score === undefined ? {} : {score}),
		}, {
			share: this.share, group: sample.group, events: text.events.length, scoredMs: Math.round(performance.now() - wholeAt),
		});
	}

	/** Lists a sample as given up. */
	abandon(sample: Sample, reason: string): void {
		if (this.#stop.signal.aborted) {
			return;
		}

		this.#settings.log.warn('sample_abandoned', {batch: this.id, sample: sample.id, reason});
		this.#results.add({
			id: sample.id, state: 'abandoned', text: '', versions: [],
		}, {share: this.share, group: sample.group});
	}

	/** Begins nothing more; runs under way go on until `stop`, since their texts may be wanted in the next batch. */
	retire(): void {
		this.#isRetired = true;
		this.#results.close();
		this.#clearTimers();
	}

	/** What was made of the groups that are not whole. */
	listUnfinished(): GroupedText[] {
		const keptMs = this.#settings.readStoreMs();
		const open = new Set(this.samples.filter(({id}) => !this.#results.has(id)).map(({group}) => group));
		const results = new Map(this.#results.all.map(result => [result.id, result]));
		return this.samples.flatMap(({id, group}) => {
			const text = group !== undefined && open.has(group) ? this.#texts.findKeepable(id, results.get(id), this.#renewals.read(id), keptMs) : undefined;
			return text ? [{group: nameForCustomer(this.#submission.customer, group!), sample: id, text}] : [];
		});
	}

	/** The results of this share among those of the batch. */
	#selectOwn(results: readonly PositionedResult[]): PositionedResult[] {
		return results.filter(({result}) => this.#ids.has(result.id));
	}

	/** What there is of a sample's text to go on with, if its versions fit this batch. */
	#findUsable({id}: Sample): UsableText | undefined {
		return this.#texts.findUsable(id, {leastVersion: this.#submission.leastVersion, isSingleVersion: this.#findRoute()?.isSingleVersion ?? false});
	}

	#getSample(id: string): Sample {
		return this.samples.find(sample => sample.id === id)!;
	}

	/** Begins second texts of long samples whose groups the trainer may end the batch without. */
	#renew(): void {
		const {wantedGroups, model} = this.#submission;
		const published = model === undefined ? undefined : this.#settings.findPublished(model);
		const groups = listGroups(this.#submission);
		if (published === undefined || !this.#policy.makesSecondTexts) {
			return;
		}

		this.#renewFrom ??= published + this.#settings.countEarlierOpen();
		// While samples wait to begin no slot is free, and where all groups are waited for none is handed in again.
		if (published < this.#renewFrom || this.#hasWaiting || groups.size <= wantedGroups) {
			return;
		}

		// A group that was carried over is waited for in any case.
		const texts = [...this.#texts.runs].filter(([id]) => !this.#texts.isCarried(id)).map(([id, {text}]) => ({
			id, events: text.events.length, oldestVersion: Math.min(...text.versions), isRenewed: this.#renewals.has(id),
		}));
		for (const id of chooseRenewals(texts, published)) {
			this.#settings.log.info('text_renewed', {
				batch: this.id, sample: id, events: this.#texts.runs.get(id)?.text.events.length, published,
			});
			this.#renewals.begin(id, published);
		}

		this.#dropRenewals([...listGroups(this).values()]);
	}

	/** Ends second texts of groups that are whole. */
	#dropRenewals(groups: readonly Sample[][]): void {
		for (const group of groups) {
			if (group.every(({id}) => this.#results.has(id))) {
				for (const {id} of group) {
					this.#renewals.drop(id);
				}
			}
		}
	}

	/** What the trainer need not wait for is told by the batch as a whole. */
	#planOrder(): string[] {
		const {samples, wantedGroups} = this.#submission;
		return sampleOrders[this.#policy.sampleOrder](toOrdered(samples, id => this.#texts.isCarried(id)), wantedGroups).filter(id => this.#ids.has(id));
	}

	#findScorePlace({group, id}: Sample, route: Route): CallPlace {
		const missing = this.samples.filter(other => (group === undefined ? other.id === id : other.group === group) && !this.#results.has(other.id)).length;
		const done = this.samples.filter(other => this.#results.has(other.id) || this.#texts.whole.has(other.id)).length;
		return this.#places.findScore(this.#findRoute(), route, missing, done / this.samples.length);
	}

	/** Whether samples wait to begin. */
	get #hasWaiting(): boolean {
		return this.#queue.size > 0 || [...this.#texts.runs.values()].some(({isWaiting}) => isWaiting);
	}

	#clearTimers(): void {
		this.#checkpoints.stop();
		clearInterval(this.#renewalTimer);
	}

	#countSlots(): number {
		const services = new Set(this.#findRoute()?.targets.map(({service}) => service));
		const slots = this.#settings.directory.list().filter(({service}) => services.has(service)).reduce((sum, endpoint) => sum + endpoint.slots, 0);
		return Math.max(leastConcurrency, slots);
	}

	#findRoute(): Route | undefined {
		const deployment = this.#settings.findDeployment();
		const {host, path, customer} = this.#submission;
		const route = deployment && findRoute(deployment, host, path);
		return route && applyCustomer(route, deployment.customers?.get(customer ?? ''));
	}

	/** When the batch was accepted, on the monotonic clock. */
	get #acceptedAt(): number {
		return performance.now() - (this.#settings.readStoreMs() - this.#stored.record.acceptedMs);
	}

	/** When samples may be given up, on the monotonic clock. */
	#findDeadline(): number {
		return this.#acceptedAt + (this.#findRoute()?.sampleTtlMs ?? 0);
	}

	/** What is expected of a text, so that endpoints can be chosen by it; nobody waits for a second text. */
	#expectText(sample: Sample, isSecond: boolean): Pick<SampleRequest, 'dueAt' | 'expectLeft'> {
		const dueMs = this.#findRoute()?.dueMs;
		return this.#policy.plansTexts && !isSecond
			? {
				dueAt: dueMs === undefined ? undefined : this.#acceptedAt + (wantedPart * dueMs),
				expectLeft: made => this.#settings.lengths.expectLeft(this.#nameLengths(sample), sample.expectedTokens, made),
			}
			: {};
	}

	/** Names the texts whose lengths can be compared: those of one trainer, with hints or without. */
	#nameLengths({expectedTokens}: Sample): string {
		return `${this.#stored.record.series}/${expectedTokens === undefined ? '' : 'hinted'}`;
	}

	async #make(sample: Sample): Promise<void> {
		if (this.#stop.signal.aborted || this.#isRetired) {
			return;
		}

		try {
			const outcome = await this.#runSample(sample);
			if (this.#isRetired) {
				this.#noteRetired(sample, outcome);
				return;
			}

			await outcomes[outcome.kind](this, sample, outcome);
		} catch (error) {
			this.#settings.log.error('sample_failed', {batch: this.id, sample: sample.id, reason: describeError(error)});
		} finally {
			// What an ended batch leaves unfinished is still wanted.
			if (!this.#isRetired) {
				this.#texts.runs.delete(sample.id);
			}
		}
	}

	/** A text that became whole after the batch's end is kept for the next one. */
	#noteRetired({id}: Sample, outcome: SampleOutcome): void {
		if (outcome.kind === 'made') {
			this.#texts.whole.set(id, outcome.text);
		}
	}

	async #runSample(sample: Sample): Promise<SampleOutcome> {
		const kept = this.#findUsable(sample);
		if (kept?.isWhole) {
			return {kind: 'made', text: toText(kept)};
		}

		const {leastVersion} = this.#submission;
		const run = this.#createRun(sample, {leastVersion, signal: this.#stop.signal, text: kept && toText(kept)});
		this.#texts.runs.set(sample.id, run);
		return run.run();
	}

	#createRun(sample: Sample, {
		leastVersion, signal, text, avoidsFull,
	}: RunPlan): SampleRun {
		const {directory, client, log, random, findHomes, line} = this.#settings;
		const {host, model, customer} = this.#submission;
		return new SampleRun({
			directory, client, log, line, findRoute: () => this.#isRetired ? undefined : this.#findRoute(), chance: () => random.next(), findHomes,
		}, {
			id: sample.id,
			batch: this.id,
			model,
			leastVersion,
			isSingleVersion: this.#findRoute()?.isSingleVersion ?? false,
			group: sample.group,
			deadlineAt: this.#findDeadline(),
			avoidsFull,
			place: this.#places.findText(sample.id),
			...this.#expectText(sample, avoidsFull ?? false),
			request: {
				method: 'POST', path: sample.path, host, headers: sample.headers, body: Buffer.from(sample.body, 'base64'), customer,
			},
		}, signal, text);
	}
}

/** Each sample of a batch listens for its end. */
function createStop(): AbortController {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	return controller;
}

type OutcomeHandler = (owner: ShareOwner, sample: Sample, outcome: SampleOutcome) => Promise<void>;

const outcomes: Readonly<Record<SampleOutcome['kind'], OutcomeHandler>> = {
	async made(owner, sample, outcome) {
		if (outcome.kind === 'made') {
			await owner.finish(sample, outcome.text);
		}
	},
	async impossible(owner, sample) {
		owner.abandon(sample, 'an endpoint said that it can never be done');
	},
	async failed(owner, sample) {
		owner.abandon(sample, 'endpoints have failed it as often as the route allows');
	},
	async expired(owner, sample) {
		owner.abandon(sample, 'its time is up');
	},
	async stopped() {
		// The batch has ended or has another owner; there is nothing to list.
	},
};
