import {expect} from 'chai';
import {Registry} from 'prom-client';
import type {IdleEndpoint} from '@wasabiusher/decisions';
import {
	createProblem, createSilentLog, profileSchema, Random, type Problem, type Sample,
} from '@wasabiusher/shared';
import {Faults, FaultyObjects, FaultyTables} from '../../record/__tests__/faulty-storage.js';
import {
	Invariants, StepRunner, type Call, type CallListener, type Run, type Step, type StepRequest,
} from '../src/index.js';

/** The engines and the scorer behind any number of entries. */
export class FakeEndpoints {
	version = 1;
	sampleMs = 100;
	scoreMs = 10;
	/** Generations that crash, by how often from now on. */
	crashes = 0;
	/** Takes the place of the engine for a call; undefined leaves it to the engine. */
	treat: ((call: Call) => Problem | 'hang' | undefined) | undefined;
	generated = 0;
	/** Characters of a sample. */
	textLength = 2;
	/** Ids of the samples that a scorer was asked about, by idempotency key. */
	readonly scored = new Map<string, number>();
	/** Scores whose answer is lost, by how often from now on. */
	lostScores = 0;
	running = 0;
	/** Endpoints that a second attempt could go to. */
	idle: IdleEndpoint[] = [];

	/** The dispatcher of one entry; a dead one's listeners hear nothing. */
	createDispatcher(): {submit(call: Call, listener: CallListener): Run; kill(): void} {
		let isDead = false;
		return {
			submit: (call, listener) => {
				let isOver = false;
				const later = (ms: number, act: () => void) => {
					setTimeout(() => {
						if (!isOver && !isDead) {
							act();
						}
					}, ms);
				};

				this.running += 1;
				const end = () => {
					this.running -= isOver ? 0 : 1;
					isOver = true;
				};

				this.#serve(call, {
					later, end, onEvent: listener.onEvent, onFailed: listener.onFailed,
				});
				return {cancel: end};
			},
			kill() {
				isDead = true;
			},
		};
	}

	#serve(call: Call, {later, end, onEvent, onFailed}: Served): void {
		const treatment = this.treat?.(call);
		if (treatment === 'hang') {
			return;
		}

		if (treatment) {
			end();
			onFailed(treatment);
		} else if (call.work.kind === 'forward') {
			this.#score(call, {
				later, end, onEvent, onFailed,
			});
		} else {
			this.#generate({
				later, end, onEvent, onFailed,
			});
		}
	}

	#generate({later, end, onEvent, onFailed}: Served): void {
		const first = this.version;
		later(this.sampleMs / 2, () => {
			onEvent({kind: 'parts', parts: [{text: 'a', tokens: 1, version: first}]}, 1);
		});
		later(this.sampleMs, () => {
			end();
			if (this.crashes > 0) {
				this.crashes -= 1;
				onFailed(createProblem('endpoint-failed', 'crashed', 'unknown'));
				return;
			}

			this.generated += 1;
			onEvent({kind: 'parts', parts: [{text: 'b'.repeat(this.textLength - 1), tokens: 1, version: this.version}]}, 1);
			onEvent({kind: 'finished', reason: 'stop'}, 1);
		});
	}

	#score({work}: Call, {later, end, onEvent, onFailed}: Served): void {
		const key = work.kind === 'forward' ? work.headers['idempotency-key']! : '';
		this.scored.set(key, (this.scored.get(key) ?? 0) + 1);
		later(this.scoreMs, () => {
			end();
			if (this.lostScores > 0) {
				this.lostScores -= 1;
				onFailed(createProblem('endpoint-failed', 'the answer was lost', 'unknown'));
				return;
			}

			onEvent({kind: 'head', status: 200, headers: {}}, 1);
			onEvent({kind: 'body', chunk: new TextEncoder().encode('{"score":0.5}')}, 1);
			onEvent({kind: 'finished'}, 1);
		});
	}
}

type Served = Pick<CallListener, 'onEvent' | 'onFailed'> & {later(ms: number, act: () => void): void; end(): void};

export type FakeEntry = {runner: StepRunner; registry: Registry; kill(): void};

/** Entries over one store and one set of endpoints. */
export class World {
	readonly endpoints = new FakeEndpoints();
	readonly faults = new Faults();
	readonly tables = new FaultyTables(this.faults);
	readonly objects = new FaultyObjects(this.faults);
	readonly entries: FakeEntry[] = [];
	/** Events counted for objectives: good ones, then bad ones. */
	readonly objectives = {answeredInTime: [0, 0], trainerBusy: [0, 0], fresh: [0, 0]};

	createEntry(name: string): FakeEntry {
		const log = createSilentLog();
		const registry = new Registry();
		const dispatcher = this.endpoints.createDispatcher();
		const runner = new StepRunner({
			dispatcher,
			name,
			tables: this.tables,
			objects: this.objects,
			invariants: new Invariants(log, registry),
			random: new Random(name.length),
			log,
			registry,
			objectives: {
				record: (_profile: string, objective: keyof typeof this.objectives, isGood: boolean, weight?: number) => {
					this.objectives[objective][isGood ? 0 : 1]! += weight ?? 1;
				},
			},
			address: () => name,
			endpoints: {
				listVersions: () => [this.endpoints.version],
				listIdle: () => this.endpoints.idle,
			},
		});
		const entry = {
			runner,
			registry,
			kill() {
				dispatcher.kill();
				runner.stop();
			},
		};
		this.entries.push(entry);
		return entry;
	}

	stop(): void {
		for (const {runner} of this.entries) {
			runner.stop();
		}
	}
}

export function createRequest(overrides: Partial<StepRequest> = {}): StepRequest {
	return {
		id: 'step-1',
		profileName: 'drift',
		profile: profileSchema.parse({
			class: 'rollout', idempotent: true, deadlineMs: 10_000, freshness: {versions: 1},
		}),
		service: 'models',
		trainer: 'hazard',
		model: 'trail',
		groups: [{prompt: 'a'}, {prompt: 'b'}, {prompt: 'c'}],
		groupSize: 4,
		maxTokens: 8,
		...overrides,
	};
}

/** The trainer's side: keeps what it received, and fails the test if a sample comes twice. */
export class FakeTrainer {
	readonly received = new Map<string, Sample>();
	readonly failed: string[] = [];
	cursor = '';
	version = 1;
	isWhole = false;
	/** Lost on the way: these are written to the stream but never arrive. */
	loses = 0;
	/** Time it takes over each sample, in milliseconds. */
	readMs = 0;

	/** Pulls until the stream ends or the signal is aborted. */
	async pull(runner: StepRunner, step: Step, signal = new AbortController().signal): Promise<void> {
		const deliveries = runner.pull(step, {after: this.cursor, version: this.version, signal});
		if ('kind' in deliveries) {
			throw new Error(deliveries.detail);
		}

		for await (const delivery of deliveries) {
			if (this.readMs > 0) {
				await new Promise(resolve => {
					setTimeout(resolve, this.readMs);
				});
			}

			if (this.loses > 0 && delivery.kind !== 'whole') {
				this.loses -= 1;
				return;
			}

			if (delivery.kind === 'sample') {
				expect(this.received.has(delivery.sample.id), `${delivery.sample.id} came twice`).to.be.false;
				this.received.set(delivery.sample.id, delivery.sample);
				this.cursor = delivery.cursor;
			} else if (delivery.kind === 'failed') {
				this.failed.push(delivery.id);
				this.cursor = delivery.cursor;
			} else {
				this.isWhole = true;
			}
		}
	}
}

export async function openHere({runner}: FakeEntry, request = createRequest()): Promise<Step> {
	const placement = await runner.open(request);
	if (placement.kind !== 'here') {
		throw new Error(`the step is ${placement.kind}`);
	}

	return placement.step;
}

export async function locateHere({runner}: FakeEntry, options = {}, id = 'step-1'): Promise<Step> {
	const placement = await runner.locate(id, options);
	if (placement.kind !== 'here') {
		throw new Error(`the step is ${placement.kind}`);
	}

	return placement.step;
}
