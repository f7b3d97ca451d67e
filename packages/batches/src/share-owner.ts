/**
 * Runs one share of a batch that this process owns: generates its samples, has them scored, and commits the results.
 *
 * A trainer can read a result only after it is in the store. Once this process no longer owns the share, or the batch has ended, nothing more is
 * written.
 */
import {Buffer} from 'node:buffer';
import {setMaxListeners} from 'node:events';
import PQueue from 'p-queue';
import {
	chooseRegenerations, defaultPolicy, type Policy, type GenerationLengths,
} from '@wasabiusher/decisions';
import {
	SampleRun, type IdleSample, type QueuePosition, type SampleOutcome, type SampleRequest, type GeneratedText,
} from '@wasabiusher/direct';
import {
	describeError, findCurrentRoute, type Deployment, type Route,
} from '@wasabiusher/shared';
import type {
	Sample, SampleResult, StoredBatch, Submission,
} from './batch.js';
import type {BatchStore, PartialTexts} from './batch-store.js';
import type {CheckpointBudget} from './checkpoint-budget.js';
import {Checkpoints} from './checkpoints.js';
import type {CommitScheduler} from './commit-scheduler.js';
import {scopeToCustomer} from './customers.js';
import type {GroupedText} from './retained-texts.js';
import {Regenerations} from './regenerations.js';
import {ResultList} from './result-list.js';
import type {PositionedResult} from './result-rows.js';
import {toSampleText, type ResumableText} from './sample-texts.js';
import {scoreSample, type ScoringSettings} from './scoring.js';
import {QueuePositions} from './queue-positions.js';
import {ShareTexts, type InheritedTexts} from './share-texts.js';
import {
	listGroups, listShareSamples, nameShare, sampleOrders, toOrderedSamples,
} from './shares.js';

/** Minimum number of samples started at once, so that some already wait for an endpoint if none is registered yet. */
const minConcurrency = 8;

/** Time between checks for texts to regenerate, in milliseconds; a text grows by seven events in that time. */
const regenerationIntervalMs = 250;

/** Fraction of the time until results are due in which texts should be complete. The rest is for scoring, for commits, and for restarts after a loss. */
const generationFraction = 0.5;

/** Pause before a sample is generated again after an error of this process, in milliseconds. */
const errorRetryMs = 500;

export type ShareOwnerSettings = ScoringSettings & {
	store: BatchStore;
	/** Schedules the commits of all shares of the process; without it each result list commits on its own. */
	commitScheduler?: CommitScheduler;
	/** Limits how much of incomplete texts the process writes. */
	checkpointBudget: CheckpointBudget;
	/** Statistics of text lengths. */
	lengths: GenerationLengths;
	/** Returns the newest published version of a model; undefined if there is none. */
	findPublishedVersion(model: string): number | undefined;
	/** Returns the time on the store's steady clock, in milliseconds. */
	readStoreMs(): number;
	/** Returns the ids of the endpoints that are dedicated to this share; undefined if it may use all of them equally. */
	findDedicatedEndpoints(): ReadonlySet<string> | undefined;
	/** Returns the number of open batches of the same trainer that were accepted before this one. */
	countEarlierOpen(): number;
	/** Called with the batch's row after a condition of a write did not hold; undefined if the row was deleted. */
	onConflict(found: StoredBatch | undefined): void;
};

/** State of a share when its ownership begins. */
export type OwnedShare = InheritedTexts & {
	stored: StoredBatch;
	/** Index of the share within its batch. */
	share: number;
	submission: Submission;
	/** Results of the whole batch. */
	results: PositionedResult[];
};

/** A sample that is at no endpoint; `unowned` if nothing works on it either. */
export type IdleShareSample = {sample: string} & (IdleSample | {reason: 'unowned'; idleMs: number});

/** Parameters of one run of a sample. */
type RunPlan = {
	/** Oldest weight version that may generate an event. */
	minWeightVersion: number;
	/** Aborts when the run is no longer wanted. */
	signal: AbortSignal;
	/** Text to continue from. */
	text?: GeneratedText;
	/** Whether the run avoids endpoints that are known to have no free slot. */
	avoidsFull?: boolean;
};

/** Owner of one share of a batch. */
export class ShareOwner {
	/** Index of the share within its batch. */
	readonly share: number;
	/** Samples of this share. */
	readonly samples: readonly Sample[];
	readonly #sampleIds: ReadonlySet<string>;
	readonly #settings: ShareOwnerSettings;
	readonly #policy: Policy;
	#stored: StoredBatch;
	readonly #submission: Submission;
	readonly #results: ResultList;
	readonly #texts: ShareTexts;
	/** Samples that wait to start, that run, or whose result is being made. */
	readonly #inProgress = new Set<string>();
	#isRetired = false;
	readonly #startedAt = performance.now();
	readonly #abortController = createAbortController();
	readonly #regenerations: Regenerations;
	readonly #queue: PQueue;
	readonly #positions: QueuePositions;
	readonly #checkpoints: Checkpoints;
	#regenerationTimer: NodeJS.Timeout | undefined;
	/** The route of the batch, as last found, with the configuration that it was found in. */
	#found: {deployment: Deployment | undefined; route: Route | undefined} | undefined;
	/** Published version from which regenerations start: each earlier open batch publishes one more version before this batch ends. */
	#regenerateFrom: number | undefined;

	constructor(settings: ShareOwnerSettings, {stored, share, submission, results, ...inherited}: OwnedShare) {
		const {shares} = stored.record;
		this.share = share;
		this.samples = listShareSamples(submission, share, shares.length);
		this.#sampleIds = new Set(this.samples.map(({id}) => id));
		this.#settings = settings;
		this.#policy = settings.policy ?? defaultPolicy;
		this.#stored = stored;
		this.#submission = submission;
		this.#texts = new ShareTexts(inherited);
		// With a wait queue of the host, all samples may wait there; without one, this concurrency limits how many samples search for an endpoint at once.
		this.#queue = new PQueue({concurrency: settings.queue ? Number.POSITIVE_INFINITY : this.#countSlots()});
		const {dueMs, timeoutMs = 0} = this.#findRoute() ?? {};
		this.#positions = new QueuePositions(stored.record.series, this.#acceptedAt + (dueMs ?? timeoutMs), this.#planOrder());
		this.#regenerations = new Regenerations((sample, minWeightVersion, signal) => this.#createRun(this.#getSample(sample), {minWeightVersion, signal, avoidsFull: true}));
		const {store, log} = settings;
		this.#results = new ResultList({
			store,
			log,
			batch: stored.record.id,
			share,
			isShared: shares.length > 1,
			samples: this.samples,
			commitScheduler: settings.commitScheduler,
			findPriority: () => this.#findRoute()?.priority ?? 0,
			findVersion: () => this.#stored.version,
			signal: this.#abortController.signal,
			onConflict: settings.onConflict,
			onComplete: () => {
				this.#clearTimers();
				this.#regenerations.stop();
			},
		}, this.#selectOwn(results));
		this.#checkpoints = new Checkpoints({
			store,
			log,
			batch: stored.record.id,
			budget: settings.checkpointBudget,
			findVersion: () => this.#stored.version,
			listPartials: () => this.partials,
			countMissing: sample => this.#results.countMissing(sample),
			onConflict: settings.onConflict,
		});
	}

	get id(): string {
		return this.#stored.record.id;
	}

	get stored(): StoredBatch {
		return this.#stored;
	}

	/** Name of the share, unique among all batches. */
	get name(): string {
		return nameShare(this.id, this.share);
	}

	/** Whether the batch has no other shares, so that this share has all results. */
	get isOnlyShare(): boolean {
		return this.#stored.record.shares.length === 1;
	}

	/** Whether the store has a result of every sample of the share. */
	get isComplete(): boolean {
		return this.#results.all.length === this.samples.length;
	}

	/** Results of this share in the store, by ascending position. */
	get results(): readonly SampleResult[] {
		return this.#results.all;
	}

	/** Number of samples without any generated text. */
	get unstartedCount(): number {
		return this.#isRetired ? 0 : this.samples.filter(({id}) => !this.#results.has(id) && !this.#texts.hasStarted(id)).length;
	}

	get submission(): Submission {
		return this.#submission;
	}

	/** Incomplete texts by sample id. */
	get partials(): PartialTexts {
		return this.#texts.listPartials();
	}

	/** Lists the samples without a complete text that have been at no endpoint for at least `minIdleMs` milliseconds. */
	listIdle(minIdleMs: number): IdleShareSample[] {
		const open = this.#isRetired ? [] : this.samples.filter(({id}) => !this.#results.has(id) && !this.#texts.complete.has(id));
		return open.flatMap(({id}) => {
			const idle = this.#inProgress.has(id)
				? this.#texts.runs.get(id)?.idle
				: {reason: 'unowned' as const, idleMs: performance.now() - this.#startedAt};
			return idle && idle.idleMs >= minIdleMs ? [{sample: id, ...idle}] : [];
		});
	}

	/** Records a new row of the batch in which this share is unchanged. */
	updateStored(stored: StoredBatch): void {
		this.#stored = stored;
	}

	/** Starts all samples that have no result. */
	start(): void {
		const {samples, wantedGroups, step, model} = this.#submission;
		const open = new Map(this.samples.filter(({id}) => !this.#results.has(id)).map(sample => [sample.id, sample]));
		const order = this.#planOrder().filter(id => open.has(id));
		for (const id of order) {
			this.#inProgress.add(id);
			void this.#queue.add(async () => this.#generate(open.get(id)!));
		}

		if (this.#policy.keepsCheckpoints) {
			this.#checkpoints.start();
		}

		this.#regenerationTimer = setInterval(() => {
			this.#regenerate();
		}, regenerationIntervalMs);
		const {record: {shares, series, acceptedMs}} = this.#stored;
		this.#settings.log.info('batch_begun', {
			batch: this.id, share: this.share, shares: shares.length, samples: this.samples.length, term: shares[this.share]!.term, series, step, model,
			total: samples.length, wanted: wantedGroups, groups: listGroups(this.#submission).size,
			ageMs: Math.round(this.#settings.readStoreMs() - acceptedMs), listed: this.#results.all.length, ...this.#texts.inheritedCounts,
		});
	}

	/** Stops all runs and all writes. */
	stop(): void {
		this.#abortController.abort();
		this.#results.close();
		this.#regenerations.stop();
		this.#clearTimers();
		this.#results.notifyWaiters();
	}

	/** Resolves when there are results after a position, when this share stops, or after `waitMs` milliseconds. */
	async waitBeyond(position: number, waitMs: number): Promise<void> {
		return this.#results.waitBeyond(position, waitMs);
	}

	/** Has a complete text scored, then adds its result. */
	async completeSample(sample: Sample, text: GeneratedText): Promise<void> {
		const completedAt = performance.now();
		this.#texts.complete.set(sample.id, text);
		this.#settings.lengths.record(this.#findLengthsKey(sample), sample.expectedTokens, text.events.length);
		const score = sample.score ? await scoreSample(this.#settings, sample, this.#abortController.signal, route => this.#findScorePosition(sample, route)) : undefined;
		if (this.#abortController.signal.aborted) {
			return;
		}

		if (sample.score && score === undefined) {
			this.abandon(sample, 'scoring failed');
			return;
		}

		this.#results.add({
			id: sample.id, state: 'made', text: text.events.join('\n'), versions: [...text.versions].toSorted((a, b) => a - b), ...(score === undefined ? {} : {score}),
		}, {
			share: this.share, group: sample.group, events: text.events.length, scoredMs: Math.round(performance.now() - completedAt),
		});
	}

	/** Adds a result that marks a sample as abandoned. */
	abandon(sample: Sample, reason: string): void {
		if (this.#abortController.signal.aborted) {
			return;
		}

		this.#settings.log.warn('sample_abandoned', {batch: this.id, sample: sample.id, reason});
		this.#results.add({
			id: sample.id, state: 'abandoned', text: '', versions: [],
		}, {share: this.share, group: sample.group});
	}

	/** Starts no more samples. Active runs continue until `stop`, since the next batch may need their texts. */
	retire(): void {
		this.#isRetired = true;
		this.#results.close();
		this.#clearTimers();
	}

	/** Returns the texts of groups that are not complete. */
	listUnfinished(): GroupedText[] {
		const keptMs = this.#settings.readStoreMs();
		const open = new Set(this.samples.filter(({id}) => !this.#results.has(id)).map(({group}) => group));
		const results = new Map(this.#results.all.map(result => [result.id, result]));
		return this.samples.flatMap(({id, group}) => {
			const text = group !== undefined && open.has(group) ? this.#texts.findRetainable(id, results.get(id), this.#regenerations.read(id), keptMs) : undefined;
			return text ? [{group: scopeToCustomer(this.#submission.customer, group!), sample: id, text}] : [];
		});
	}

	/** Selects the results of this share from those of the batch. */
	#selectOwn(results: readonly PositionedResult[]): PositionedResult[] {
		return results.filter(({result}) => this.#sampleIds.has(result.id));
	}

	/** Returns the inherited text of a sample if this batch may resume it. */
	#findResumable({id}: Sample): ResumableText | undefined {
		return this.#texts.findResumable(id, {minWeightVersion: this.#submission.leastVersion, isSingleVersion: this.#findRoute()?.isSingleVersion ?? false});
	}

	#getSample(id: string): Sample {
		return this.samples.find(sample => sample.id === id)!;
	}

	/** Starts regenerations of long samples whose groups the trainer may not wait for. */
	#regenerate(): void {
		const {wantedGroups, model} = this.#submission;
		const publishedVersion = model === undefined ? undefined : this.#settings.findPublishedVersion(model);
		const groups = listGroups(this.#submission);
		if (publishedVersion === undefined || !this.#policy.makesSecondTexts) {
			return;
		}

		this.#regenerateFrom ??= publishedVersion + this.#settings.countEarlierOpen();
		// While samples wait to start there is no free slot; and if the trainer waits for all groups, none of them is resubmitted.
		if (publishedVersion < this.#regenerateFrom || this.#hasUnstarted || groups.size <= wantedGroups) {
			return;
		}

		// The trainer always waits for groups that were carried over.
		const texts = [...this.#texts.runs].filter(([id]) => !this.#texts.isCarriedOver(id)).map(([id, {text}]) => ({
			id, events: text.events.length, oldestVersion: Math.min(...text.versions), isRenewed: this.#regenerations.has(id),
		}));
		for (const id of chooseRegenerations(texts, publishedVersion)) {
			this.#settings.log.info('text_renewed', {
				batch: this.id, sample: id, events: this.#texts.runs.get(id)?.text.events.length, published: publishedVersion,
			});
			this.#regenerations.start(id, publishedVersion);
		}

		this.#discardRegenerations([...listGroups(this).values()]);
	}

	/** Discards regenerations of groups that are complete. */
	#discardRegenerations(groups: readonly Sample[][]): void {
		for (const group of groups) {
			if (group.every(({id}) => this.#results.has(id))) {
				for (const {id} of group) {
					this.#regenerations.discard(id);
				}
			}
		}
	}

	/** Returns the sample ids of this share in their starting order. The order is planned over the whole batch, since `wantedGroups` counts all its groups. */
	#planOrder(): string[] {
		const {samples, wantedGroups} = this.#submission;
		return sampleOrders[this.#policy.sampleOrder](toOrderedSamples(samples, id => this.#texts.isCarriedOver(id)), wantedGroups).filter(id => this.#sampleIds.has(id));
	}

	#findScorePosition({group, id}: Sample, route: Route): QueuePosition {
		const missing = this.samples.filter(other => (group === undefined ? other.id === id : other.group === group) && !this.#results.has(other.id)).length;
		const done = this.samples.filter(other => this.#results.has(other.id) || this.#texts.complete.has(other.id)).length;
		return this.#positions.findScore(this.#findRoute(), route, missing, done / this.samples.length);
	}

	/** Whether samples wait to start. */
	get #hasUnstarted(): boolean {
		return this.#queue.size > 0 || [...this.#texts.runs.values()].some(({isWaiting}) => isWaiting);
	}

	#clearTimers(): void {
		this.#checkpoints.stop();
		clearInterval(this.#regenerationTimer);
	}

	#countSlots(): number {
		const services = new Set(this.#findRoute()?.targets.map(({service}) => service));
		const slots = this.#settings.directory.list().filter(({service}) => services.has(service)).reduce((sum, endpoint) => sum + endpoint.slots, 0);
		return Math.max(minConcurrency, slots);
	}

	#findRoute(): Route | undefined {
		const deployment = this.#settings.findDeployment();
		// Asked for each event of each text, while configurations with many routes change once in seconds.
		if (deployment !== this.#found?.deployment) {
			this.#found = {deployment, route: findCurrentRoute(deployment, this.#submission)};
		}

		return this.#found?.route;
	}

	/** Time at which the batch was accepted, on the monotonic clock. */
	get #acceptedAt(): number {
		return performance.now() - (this.#settings.readStoreMs() - this.#stored.record.acceptedMs);
	}

	/** Returns the time after which samples may be abandoned, on the monotonic clock. */
	#findDeadline(): number {
		return this.#acceptedAt + (this.#findRoute()?.sampleTtlMs ?? 0);
	}

	/** Returns the due time and the expected length of a text, by which endpoints are chosen. A regeneration has neither, since nobody waits for it. */
	#planGeneration(sample: Sample, isRegeneration: boolean): Pick<SampleRequest, 'dueAt' | 'expectLeft'> {
		const dueMs = this.#findRoute()?.dueMs;
		return this.#policy.plansTexts && !isRegeneration
			? {
				dueAt: dueMs === undefined ? undefined : this.#acceptedAt + (generationFraction * dueMs),
				expectLeft: generatedCount => this.#settings.lengths.estimateRemaining(this.#findLengthsKey(sample), sample.expectedTokens, generatedCount),
			}
			: {};
	}

	/** Returns the key under which text lengths are recorded: texts of one trainer are comparable, separately with and without a length hint. */
	#findLengthsKey({expectedTokens}: Sample): string {
		return `${this.#stored.record.series}/${expectedTokens === undefined ? '' : 'hinted'}`;
	}

	async #generate(sample: Sample): Promise<void> {
		if (this.#abortController.signal.aborted || this.#isRetired || this.#results.has(sample.id)) {
			return;
		}

		try {
			const outcome = await this.#runSample(sample);
			if (this.#isRetired) {
				this.#recordRetiredOutcome(sample, outcome);
				return;
			}

			await outcomeHandlers[outcome.kind](this, sample, outcome);
		} catch (error) {
			this.#settings.log.error('sample_failed', {batch: this.id, sample: sample.id, reason: describeError(error)});
			this.#retryLater(sample);
		} finally {
			// The run of a retired share is still needed by `listUnfinished`.
			if (!this.#isRetired) {
				this.#texts.runs.delete(sample.id);
			}

			this.#inProgress.delete(sample.id);
		}
	}

	/** Generates a sample again after an error of this process, since it is owed as long as the share is owned here. */
	#retryLater(sample: Sample): void {
		setTimeout(() => {
			this.#inProgress.add(sample.id);
			void this.#queue.add(async () => this.#generate(sample));
		}, errorRetryMs);
	}

	/** Stores a text that was completed after the batch's end, for the next batch. */
	#recordRetiredOutcome({id}: Sample, outcome: SampleOutcome): void {
		if (outcome.kind === 'made') {
			this.#texts.complete.set(id, outcome.text);
		}
	}

	async #runSample(sample: Sample): Promise<SampleOutcome> {
		const resumable = this.#findResumable(sample);
		if (resumable?.isWhole) {
			return {kind: 'made', text: toSampleText(resumable)};
		}

		const {leastVersion: minWeightVersion} = this.#submission;
		const run = this.#createRun(sample, {minWeightVersion, signal: this.#abortController.signal, text: resumable && toSampleText(resumable)});
		this.#texts.runs.set(sample.id, run);
		return run.run();
	}

	#createRun(sample: Sample, {
		minWeightVersion, signal, text, avoidsFull,
	}: RunPlan): SampleRun {
		const {
			directory, client, log, random, findDedicatedEndpoints, queue,
		} = this.#settings;
		const {host, model, customer} = this.#submission;
		return new SampleRun({
			directory, client, log, queue, findRoute: () => this.#isRetired ? undefined : this.#findRoute(), chance: () => random.next(), findDedicated: findDedicatedEndpoints,
		}, {
			id: sample.id,
			batch: this.id,
			model,
			minWeightVersion,
			isSingleVersion: this.#findRoute()?.isSingleVersion ?? false,
			group: sample.group,
			deadlineAt: this.#findDeadline(),
			avoidsFull,
			queuePosition: this.#positions.findGeneration(sample.id),
			...this.#planGeneration(sample, avoidsFull ?? false),
			request: {
				method: 'POST', path: sample.path, host, headers: sample.headers, body: Buffer.from(sample.body, 'base64'), customer,
			},
		}, signal, text);
	}
}

/** Creates the controller that ends all samples of a share; each sample adds a listener. */
function createAbortController(): AbortController {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	return controller;
}

type OutcomeHandler = (owner: ShareOwner, sample: Sample, outcome: SampleOutcome) => Promise<void>;

const outcomeHandlers: Readonly<Record<SampleOutcome['kind'], OutcomeHandler>> = {
	async made(owner, sample, outcome) {
		if (outcome.kind === 'made') {
			await owner.completeSample(sample, outcome.text);
		}
	},
	async impossible(owner, sample) {
		owner.abandon(sample, 'an endpoint reported that the request can never succeed');
	},
	async failed(owner, sample) {
		owner.abandon(sample, 'attempts failed as often as the route allows');
	},
	async expired(owner, sample) {
		owner.abandon(sample, 'deadline passed');
	},
	async stopped() {
		// The batch has ended or has another owner; there is no result.
	},
};
