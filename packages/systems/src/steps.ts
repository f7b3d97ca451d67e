/**
 * Trainers' steps: groups of prompts whose samples are drawn, held until they are acknowledged, and handed over.
 */
import {
	appendSpan, createProblem, findOldestVersion, formatSampleId, hashText, Table, type FinishReason, type GenerationRequest, type Problem, type Profile, type Sample,
} from '@wasabiusher/shared';
import type {Call, Dispatcher} from './dispatcher.js';

/** A step as a trainer asks for it. */
export type StepRequest = {
	id: string;
	profileName: string;
	profile: Profile;
	service: string;
	trainer: string;
	model: string;
	groups: Array<{prompt: string}>;
	groupSize: number;
	maxTokens: number;
};

/** A sample ready for hand-over; the cursor counts up by one a sample. */
export type Delivery = {cursor: number; sample: Sample};

type Draft = {attempt: number; text: string; tokens: number; versions: Sample['versions']};

type Step = {
	id: string;
	request: StepRequest;
	deliveries: Delivery[];
	acknowledged: Set<string>;
	total: number;
	draws: number;
	isClosed: boolean;
	wake: Set<() => void>;
};

/** How a step stands. */
export type StepStatus = {id: string; total: number; ready: number; acknowledged: number; isWhole: boolean};

/** Wait before a failed sample is drawn again, in milliseconds. */
const redrawMs = 200;

/** Runs the steps of the trainers connected to this entry. */
export class StepRunner {
	readonly #dispatcher: Dispatcher;
	readonly #steps = new Table<Step>();

	constructor(dispatcher: Dispatcher) {
		this.#dispatcher = dispatcher;
	}

	/** Opens a step, or finds the one with the same id. */
	open(request: StepRequest): StepStatus {
		if (!this.#steps.has(request.id)) {
			const step: Step = {
				id: request.id, request, deliveries: [], acknowledged: new Set(), total: request.groups.length * request.groupSize, draws: 0, isClosed: false, wake: new Set(),
			};
			this.#steps.put(step);
			for (const [group] of request.groups.entries()) {
				for (let index = 0; index < request.groupSize; index += 1) {
					this.#draw(step, group, index);
				}
			}
		}

		return this.describe(request.id)!;
	}

	describe(id: string): StepStatus | undefined {
		const step = this.#steps.get(id);
		return step && {
			id, total: step.total, ready: step.deliveries.length, acknowledged: step.acknowledged.size, isWhole: step.acknowledged.size === step.total,
		};
	}

	/** Deliveries after a cursor; what is too stale for the trainer's version is drawn again instead. */
	listAfter(id: string, after: number, trainerVersion: number): Delivery[] {
		const step = this.#steps.get(id);
		if (!step) {
			return [];
		}

		const pending = step.deliveries.filter(({cursor, sample}) => cursor > after && !step.acknowledged.has(sample.id));
		return pending.filter(delivery => this.#isFreshOrRedrawn(step, delivery, trainerVersion));
	}

	/** Resolves when something new may be there, or the step has closed. */
	async waitForMore(id: string, signal: AbortSignal): Promise<void> {
		const step = this.#steps.get(id);
		if (!step || signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const wake = () => {
				step.wake.delete(wake);
				signal.removeEventListener('abort', wake);
				resolve();
			};

			step.wake.add(wake);
			signal.addEventListener('abort', wake);
		});
	}

	/** Notes that the trainer has samples; returns a problem if one of them is not known. */
	acknowledge(id: string, sampleIds: readonly string[]): Problem | undefined {
		const step = this.#steps.get(id);
		if (!step) {
			return createProblem('not-found', `there is no step ${id}`, 'no');
		}

		const unknown = sampleIds.find(sampleId => !step.deliveries.some(({sample}) => sample.id === sampleId));
		if (unknown !== undefined) {
			return createProblem('bad-request', `sample ${unknown} was not handed over`, 'no');
		}

		for (const sampleId of sampleIds) {
			step.acknowledged.add(sampleId);
		}

		wakeAll(step);
		return undefined;
	}

	#isFreshOrRedrawn(step: Step, delivery: Delivery, trainerVersion: number): boolean {
		const {freshness} = step.request.profile;
		const {sample} = delivery;
		if (!freshness || trainerVersion - findOldestVersion(sample.versions) <= freshness.versions) {
			return true;
		}

		step.deliveries = step.deliveries.filter(other => other !== delivery);
		this.#draw(step, sample.group, sample.index);
		return false;
	}

	#draw(step: Step, group: number, index: number): void {
		const {request} = step;
		const id = formatSampleId(step.id, group, index);
		step.draws += 1;
		const draw = step.draws;
		const generation: GenerationRequest = {model: request.model, prompt: request.groups[group]!.prompt, maxTokens: request.maxTokens};
		const call: Call = {
			id: `${id}#${draw}`,
			service: request.service,
			model: request.model,
			work: {kind: 'generate', request: generation},
			caller: request.trainer,
			profileName: request.profileName,
			profile: request.profile,
			deadlineAt: performance.now() + request.profile.deadlineMs,
			cost: request.maxTokens,
			fingerprint: hashText(generation.prompt ?? ''),
		};
		let draft = createDraft();
		this.#dispatcher.submit(call, {
			onEvent: event => {
				if (event.kind === 'parts') {
					for (const part of event.parts) {
						draft.text += part.text;
						draft.tokens += part.tokens;
						draft.versions = appendSpan(draft.versions, part.version, part.tokens);
					}
				} else if (event.kind === 'finished') {
					this.#finish(step, createSample(step, {group, index, draw}, draft), event.reason);
				}
			},
			onRestart() {
				draft = createDraft();
				return true;
			},
			onFailed: () => {
				setTimeout(() => {
					this.#draw(step, group, index);
				}, redrawMs).unref();
			},
		});
	}

	#finish(step: Step, sample: Sample, _reason: FinishReason | undefined): void {
		step.deliveries.push({cursor: (step.deliveries.at(-1)?.cursor ?? 0) + 1, sample});
		wakeAll(step);
	}
}

function createDraft(): Draft {
	return {
		attempt: 1, text: '', tokens: 0, versions: [],
	};
}

function createSample({id: step, request}: Step, {group, index, draw}: {group: number; index: number; draw: number}, {text, tokens, versions}: Draft): Sample {
	return {
		id: formatSampleId(step, group, index), step, group, index, attempt: draw, model: request.model, versions, text, tokens,
	};
}

function wakeAll(step: Step): void {
	for (const wake of step.wake) {
		wake();
	}
}
