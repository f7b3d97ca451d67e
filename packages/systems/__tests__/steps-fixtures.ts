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

/** Simulates the engines and the scorer of any number of entries. */
export class FakeEndpoints {
	version = 1;
	sampleMs = 100;
	scoreMs = 10;
	/** Number of upcoming generations that crash. */
	crashes = 0;
	/** Overrides the outcome of a call; if it returns undefined, the simulated engine or scorer serves the call. */
	treat: ((call: Call) => Problem | 'hang' | undefined) | undefined;
	generated = 0;
	/** Length of a sample's text, in characters. */
	textLength = 2;
	/** Number of requests that the scorer received, by idempotency key. */
	readonly scored = new Map<string, number>();
	/** Number of upcoming scores whose answer is lost. */
	lostScores = 0;
	running = 0;
	/** Endpoints available for a second attempt. */
	idle: IdleEndpoint[] = [];

	/** Creates the dispatcher of one entry; after `kill` its listeners are not called. */
	createDispatcher(): {submit(call: Call, listener: CallListener): Run; kill(): void} {
		let isDead = false;
		return {
			submit: (call, listener) => {
				let isEnded = false;
				const schedule = (ms: number, action: () => void) => {
					setTimeout(() => {
						if (!isEnded && !isDead) {
							action();
						}
					}, ms);
				};

				this.running += 1;
				const end = () => {
					this.running -= isEnded ? 0 : 1;
					isEnded = true;
				};

				this.#serve(call, {
					schedule, end, onEvent: listener.onEvent, onFailed: listener.onFailed,
				});
				return {cancel: end};
			},
			kill() {
				isDead = true;
			},
		};
	}

	#serve(call: Call, {schedule, end, onEvent, onFailed}: CallHandle): void {
		const treatment = this.treat?.(call);
		if (treatment === 'hang') {
			return;
		}

		if (treatment) {
			end();
			onFailed(treatment);
		} else if (call.work.kind === 'forward') {
			this.#score(call, {
				schedule, end, onEvent, onFailed,
			});
		} else {
			this.#generate({
				schedule, end, onEvent, onFailed,
			});
		}
	}

	#generate({schedule, end, onEvent, onFailed}: CallHandle): void {
		const first = this.version;
		schedule(this.sampleMs / 2, () => {
			onEvent({kind: 'parts', parts: [{text: 'a', tokens: 1, version: first}]}, 1);
		});
		schedule(this.sampleMs, () => {
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

	#score({work}: Call, {schedule, end, onEvent, onFailed}: CallHandle): void {
		const key = work.kind === 'forward' ? work.headers['idempotency-key']! : '';
		this.scored.set(key, (this.scored.get(key) ?? 0) + 1);
		schedule(this.scoreMs, () => {
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

type CallHandle = Pick<CallListener, 'onEvent' | 'onFailed'> & {schedule(ms: number, action: () => void): void; end(): void};

export type FakeEntry = {runner: StepRunner; registry: Registry; kill(): void};

/** Simulates entries that share one store and one set of endpoints. */
export class World {
	readonly endpoints = new FakeEndpoints();
	readonly faults = new Faults();
	readonly tables = new FaultyTables(this.faults);
	readonly objects = new FaultyObjects(this.faults);
	readonly entries: FakeEntry[] = [];
	/** Events counted for each objective: number of good ones, number of bad ones. */
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

/** Simulates a trainer: records the samples received, and fails the test if one is delivered twice. */
export class FakeTrainer {
	readonly received = new Map<string, Sample>();
	readonly failed: string[] = [];
	cursor = '';
	version = 1;
	isWhole = false;
	/** Number of upcoming deliveries that are written to the stream but lost. */
	loses = 0;
	/** Time that the trainer takes to read each sample, in milliseconds. */
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
				expect(this.received.has(delivery.sample.id), `${delivery.sample.id} was delivered twice`).to.be.false;
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
		throw new Error(`expected the step to be run here, got placement "${placement.kind}"`);
	}

	return placement.step;
}

export async function locateHere({runner}: FakeEntry, options = {}, id = 'step-1'): Promise<Step> {
	const placement = await runner.locate(id, options);
	if (placement.kind !== 'here') {
		throw new Error(`expected the step to be run here, got placement "${placement.kind}"`);
	}

	return placement.step;
}
