/**
 * A simulated trainer: pulls one step while weights change, reconnects to another entry after a failure, and records the samples that it receives.
 */
import {findOldestVersion, type Sample} from '@wasabiusher/shared';
import type {Step, StepRequest} from '@wasabiusher/systems';
import type {EntryNode} from './entry-node.js';
import {modelName, profiles, type World} from './world.js';

const groupCount = 3;
const groupSize = 2;

/** Number of tokens in a sample. */
const sampleTokens = 8;

/** Times of the weight changes, in milliseconds after the start: during generation and between handovers. */
const changesMs = [100, 260, 900];

/** Delay before the next pull, in milliseconds. */
const againMs = 300;

type Received = {sample: Sample; statedVersion: number};

/** Pulls one step, and checks the samples. */
export class StepTrainer {
	readonly received: Received[] = [];
	readonly failed: string[] = [];
	readonly #world: World;
	readonly #request: StepRequest;
	#version = 1;
	#turn = 0;
	#cursor = '';
	#isWhole = false;

	constructor(world: World) {
		this.#world = world;
		this.#request = {
			id: 'step-1',
			profileName: 'rollout',
			profile: profiles.rollout,
			service: 'models',
			trainer: 'trainer',
			model: modelName,
			groups: Array.from({length: groupCount}, (_, index) => ({prompt: `group-${index}`})),
			groupSize,
			maxTokens: sampleTokens,
		};
	}

	/** Pulls until the step is complete. */
	async draw(): Promise<void> {
		this.#changeWeights();
		while (!this.#isWhole) {
			const entry = this.#world.pickEntry(this.#turn);
			// Each pull resumes where the previous one ended.
			// eslint-disable-next-line no-await-in-loop
			await Promise.race([entry ? this.#pullFrom(entry) : pause(againMs), entry ? waitUntilDead(entry) : pause(againMs)]);
			if (entry && !entry.isAlive) {
				this.#turn += 1;
			}

			// eslint-disable-next-line no-await-in-loop
			await pause(againMs);
		}
	}

	findBroken(): string[] {
		const total = groupCount * groupSize;
		const ids = this.received.map(({sample}) => sample.id);
		const lines = this.received.flatMap(received => judge(received, this.#request));
		if (new Set(ids).size !== ids.length) {
			lines.push(`a sample was handed over twice: ${ids.join(' ')}`);
		}

		if (!this.#isWhole || new Set(ids).size + this.failed.length !== total) {
			lines.push(`the step is not whole: ${ids.length} of ${total}, failed ${this.failed.join(' ')}`);
		}

		return lines;
	}

	summarize(): Record<string, number> {
		return {delivered: this.received.length, ...(this.failed.length > 0 ? {failed: this.failed.length} : {})};
	}

	/** Schedules the weight changes: engines swap one after another, and the trainer states the new version from its next pull on. */
	#changeWeights(): void {
		for (const [index, afterMs] of changesMs.entries()) {
			const version = index + 2;
			setTimeout(() => {
				this.#version = version;
			}, afterMs);
			for (const [place, engine] of this.#world.engines.entries()) {
				setTimeout(() => {
					engine.setVersion(modelName, version);
				}, afterMs + (place * 30));
			}
		}
	}

	async #pullFrom(entry: EntryNode): Promise<void> {
		this.#world.hooks.pass({step: 'admit', entry: entry.name});
		const found = await this.#findStep(entry);
		if (found && entry.isAlive) {
			await this.#pull(entry, found.runner, found.step);
		} else {
			this.#turn += 1;
		}
	}

	/** Finds the step as an entry's routes do: at its owner, or at the given entry if the owner has died. */
	async #findStep(entry: EntryNode): Promise<{runner: EntryNode; step: Step} | undefined> {
		const first = await entry.steps.open(this.#request);
		if (first.kind !== 'elsewhere') {
			return first.kind === 'here' ? {runner: entry, step: first.step} : undefined;
		}

		const owner = this.#world.entries.find(({name, isAlive}) => name === first.address && isAlive);
		const runner = owner ?? entry;
		const second = await runner.steps.open(this.#request, {isOwnerGone: true});
		return second.kind === 'here' ? {runner, step: second.step} : undefined;
	}

	async #pull(entry: EntryNode, runner: EntryNode, step: Step): Promise<void> {
		const statedVersion = this.#version;
		const gone = new AbortController();
		const deliveries = runner.steps.pull(step, {after: this.#cursor, version: statedVersion, signal: gone.signal});
		if ('kind' in deliveries) {
			throw new Error(deliveries.detail);
		}

		const watch = setInterval(() => {
			if (!entry.isAlive || !runner.isAlive || this.#version !== statedVersion) {
				gone.abort();
			}
		}, 50);
		for await (const delivery of deliveries) {
			if (!entry.isAlive || !runner.isAlive) {
				break;
			}

			if (delivery.kind === 'sample') {
				this.#world.hooks.pass({step: 'hand-over', entry: runner.name});
				// The fault at this step may have killed the entry before the sample reached the trainer.
				if (!entry.isAlive || !runner.isAlive) {
					break;
				}

				this.#cursor = delivery.cursor;
				this.received.push({sample: delivery.sample, statedVersion});
				this.#acknowledge(runner, step, delivery.sample.id);
			} else if (delivery.kind === 'failed') {
				this.#cursor = delivery.cursor;
				this.failed.push(delivery.id);
			} else {
				this.#isWhole = true;
			}
		}

		clearInterval(watch);
	}

	#acknowledge(runner: EntryNode, step: Step, id: string): void {
		this.#world.hooks.pass({step: 'acknowledge', entry: runner.name});
		if (runner.isAlive) {
			runner.steps.acknowledge(step, [id]);
		}
	}
}

/** Checks a received sample. The text of each token names the weight version that generated it. */
function judge({sample, statedVersion}: Received, {maxTokens, groups}: StepRequest): string[] {
	const made = sample.text.trim().split(' ').map(token => Number(/@(?<version>\d+):/v.exec(token)?.groups?.version));
	const labelled = sample.versions.flatMap(({version, from, to}) => Array.from({length: to - from}, () => version));
	const behind = statedVersion - findOldestVersion(sample.versions);
	const lines: string[] = [];
	if (made.join(',') !== labelled.join(',') || made.length !== maxTokens) {
		lines.push(`${sample.id} is labelled ${labelled.join(',')} and was made by ${made.join(',')}`);
	}

	if (behind > profiles.rollout.freshness!.versions) {
		lines.push(`${sample.id} is ${behind} versions behind`);
	}

	if (!sample.text.includes(`:${groups[sample.group]!.prompt} `)) {
		lines.push(`${sample.id} answers another prompt: ${sample.text}`);
	}

	return lines;
}

async function pause(ms: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, ms);
	});
}

async function waitUntilDead(entry: EntryNode): Promise<void> {
	while (entry.isAlive) {
		// eslint-disable-next-line no-await-in-loop
		await pause(againMs);
	}
}
