/**
 * Decides which samples of a step to start: in which order, with which second attempts, and whether to start yet.
 *
 * Lengths are recorded across all steps of the process, since prompts recur; versions are recorded by trainer and model.
 */
import {
	decideDispatch, LengthPrediction, observeVersion, orderSamples, planCopies, type IdleEndpoint, type Straggler, type VersionForecast,
} from '@wasabiusher/decisions';
import {hashText, dropOldest} from '@wasabiusher/shared';
import {toPosition, type StepRequest} from './steps-request.js';
import type {SlotFacts} from './steps-slots.js';

/** Weight of the newest sample in the smoothed time per token. */
const msPerTokenSmoothing = 0.1;

/** Maximum number of version forecasts kept, one for each trainer and model. */
const maxForecasts = 1000;

/** Position of a step among its trainer's steps, and the version of the engines. */
export type StartFacts = {
	/** Newest version that endpoints report; undefined if none reports one. */
	engineVersion: number | undefined;
	/** Number of steps that the trainer consumes before this one. */
	stepsAhead: number;
};

/** Makes the decisions for all steps of a process. */
export class StepDecisions {
	readonly #lengths = new LengthPrediction();
	readonly #forecasts = new Map<string, VersionForecast>();
	readonly #promptHashes = new WeakMap<StepRequest, string[]>();
	#msPerToken: number | undefined;

	/** Records the version that a trainer states. */
	recordTrainerVersion(request: StepRequest, version: number): void {
		const key = formatTrainerKey(request);
		const forecast = observeVersion(this.#forecasts.get(key), version, performance.now());
		this.#forecasts.delete(key);
		this.#forecasts.set(key, forecast);
		dropOldest(this.#forecasts, maxForecasts);
	}

	/** Records the length and the time of a finished sample. */
	recordFinishedSample(request: StepRequest, {group, startedAt}: Pick<SlotFacts, 'group' | 'startedAt'>, tokens: number): void {
		this.#lengths.record(formatLengthKey(request), this.#findPromptHash(request, group), tokens);
		const msPerToken = (performance.now() - startedAt) / Math.max(1, tokens);
		this.#msPerToken = this.#msPerToken === undefined ? msPerToken : this.#msPerToken + (msPerTokenSmoothing * (msPerToken - this.#msPerToken));
	}

	/** Returns whether samples started now can still be fresh when the trainer receives them; otherwise they would be discarded. */
	shouldStart(request: StepRequest, {engineVersion, stepsAhead}: StartFacts): boolean {
		const {freshness} = request.profile;
		const forecast = this.#forecasts.get(formatTrainerKey(request));
		if (!freshness || !forecast || engineVersion === undefined) {
			return true;
		}

		const now = performance.now();
		// A trainer that waits for this step publishes no new version until it has received it.
		const known = stepsAhead === 0 ? {...forecast, intervalMs: undefined} : forecast;
		const finishAt = now + ((this.#msPerToken ?? 0) * request.maxTokens);
		return decideDispatch(freshness, known, {engineVersion, finishAt, stepsAhead}, now) === 'start';
	}

	/** Returns idle samples in the order in which to start them. */
	orderIdle(request: StepRequest, idle: readonly SlotFacts[]): SlotFacts[] {
		const lengthKey = formatLengthKey(request);
		const byPosition = new Map(idle.map(facts => [facts.position, facts]));
		const pending = idle.map(({position, group, startedAttempts}) => ({
			group,
			index: position % request.groupSize,
			predictedTokens: this.#lengths.predict(lengthKey, this.#findPromptHash(request, group), request.maxTokens),
			isRedrawn: startedAttempts > 0,
		}));
		return orderSamples(pending).map(({group, index}) => byPosition.get(toPosition(request, group, index))!);
	}

	/** Returns the positions of samples that get a second attempt beside the running one. */
	planSecondAttempts(request: StepRequest, facts: readonly SlotFacts[], idle: readonly IdleEndpoint[]): number[] {
		const lengthKey = formatLengthKey(request);
		const now = performance.now();
		const drawing = facts.filter(({state}) => state === 'drawing');
		const running = drawing.map(slot => this.#describeRunning(request, slot, now));
		const capacity = running.reduce((sum, {speed}) => sum + speed, 0);
		const waitingTokens = facts
			.filter(({state}) => state === 'idle')
			.reduce((sum, {group}) => sum + this.#lengths.predict(lengthKey, this.#findPromptHash(request, group), request.maxTokens), 0);
		const leftTokens = running.reduce((sum, {remainingTokens}) => sum + remainingTokens, waitingTokens);
		const stragglers = running.map(straggler => ({...straggler, stepLeftMs: leftTokens / capacity}));
		const startedFraction = facts.filter(({state}) => state !== 'idle').length / facts.length;
		return planCopies(stragglers, idle, startedFraction, false).map(({sample}) => Number(sample));
	}

	#describeRunning(request: StepRequest, {position, group, tokens, runningAttempts, startedAt, endpoint}: SlotFacts, now: number): Straggler {
		const lengthKey = formatLengthKey(request);
		const promptHash = this.#findPromptHash(request, group);
		this.#lengths.recordProgress(lengthKey, promptHash, tokens);
		return {
			id: String(position),
			endpoint,
			remainingTokens: this.#lengths.predictRemaining(lengthKey, promptHash, tokens, request.maxTokens),
			madeTokens: tokens,
			speed: Math.max(tokens, 1) / Math.max(1, now - startedAt),
			hasCopy: runningAttempts > 1,
		};
	}

	#findPromptHash(request: StepRequest, group: number): string {
		let prompts = this.#promptHashes.get(request);
		if (!prompts) {
			prompts = request.groups.map(({prompt}) => hashText(prompt));
			this.#promptHashes.set(request, prompts);
		}

		return prompts[group]!;
	}
}

function formatLengthKey({profileName, model}: StepRequest): string {
	return `${profileName}/${model}`;
}

function formatTrainerKey({trainer, model}: StepRequest): string {
	return `${trainer}/${model}`;
}
