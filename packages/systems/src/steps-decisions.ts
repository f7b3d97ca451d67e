/**
 * What a step starts when, by the decisions on steps: in which order, with which copies, and whether yet.
 *
 * Lengths are learned over all steps of the process, since prompts come back; versions by trainer and model.
 */
import {
	judgeDispatch, LengthPrediction, observeVersion, orderSamples, planCopies, type IdleEndpoint, type Straggler, type VersionForecast,
} from '@wasabiusher/decisions';
import {hashText, dropOldest} from '@wasabiusher/shared';
import {toPlace, type StepRequest} from './steps-request.js';
import type {SlotFacts} from './steps-slots.js';

/** Weight of the newest sample in the time that a token takes. */
const smoothing = 0.1;

/** Trainers and models whose versions are remembered. */
const maxForecasts = 1000;

/** Where a step stands among its trainer's, and what engines have. */
export type StartFacts = {
	/** Newest version that endpoints report; undefined if none does. */
	engineVersion: number | undefined;
	/** Steps that the trainer takes before this one. */
	stepsAhead: number;
};

/** Decisions of all steps of a process. */
export class StepDecisions {
	readonly #lengths = new LengthPrediction();
	readonly #forecasts = new Map<string, VersionForecast>();
	readonly #prompts = new WeakMap<StepRequest, string[]>();
	#msPerToken: number | undefined;

	/** A trainer has stated its version. */
	noteVersion(request: StepRequest, version: number): void {
		const key = formatTrainer(request);
		const forecast = observeVersion(this.#forecasts.get(key), version, performance.now());
		this.#forecasts.delete(key);
		this.#forecasts.set(key, forecast);
		dropOldest(this.#forecasts, maxForecasts);
	}

	/** A sample was finished. */
	noteFinished(request: StepRequest, {group, startedAt}: Pick<SlotFacts, 'group' | 'startedAt'>, tokens: number): void {
		this.#lengths.record(formatKind(request), this.#promptOf(request, group), tokens);
		const msPerToken = (performance.now() - startedAt) / Math.max(1, tokens);
		this.#msPerToken = this.#msPerToken === undefined ? msPerToken : this.#msPerToken + (smoothing * (msPerToken - this.#msPerToken));
	}

	/** Whether what is started now can be fresh when its trainer takes it; otherwise it would be thrown away. */
	mayStart(request: StepRequest, {engineVersion, stepsAhead}: StartFacts): boolean {
		const {freshness} = request.profile;
		const forecast = this.#forecasts.get(formatTrainer(request));
		if (!freshness || !forecast || engineVersion === undefined) {
			return true;
		}

		const now = performance.now();
		// A trainer that waits for this very step makes no new version until it has it.
		const known = stepsAhead === 0 ? {...forecast, intervalMs: undefined} : forecast;
		const finishAt = now + ((this.#msPerToken ?? 0) * request.maxTokens);
		return judgeDispatch(freshness, known, {engineVersion, finishAt, stepsAhead}, now) === 'start';
	}

	/** In which order idle places are started. */
	order(request: StepRequest, idle: readonly SlotFacts[]): SlotFacts[] {
		const kind = formatKind(request);
		const byPlace = new Map(idle.map(facts => [facts.place, facts]));
		const pending = idle.map(({place, group, draws}) => ({
			group,
			index: place % request.groupSize,
			predictedTokens: this.#lengths.predict(kind, this.#promptOf(request, group), request.maxTokens),
			isRedrawn: draws > 0,
		}));
		return orderSamples(pending).map(({group, index}) => byPlace.get(toPlace(request, group, index))!);
	}

	/** Places to be drawn a second time beside the attempt under way. */
	double(request: StepRequest, facts: readonly SlotFacts[], idle: readonly IdleEndpoint[]): number[] {
		const kind = formatKind(request);
		const now = performance.now();
		const drawing = facts.filter(({state}) => state === 'drawing');
		const running = drawing.map(slot => this.#describeRunning(request, slot, now));
		const capacity = running.reduce((sum, {speed}) => sum + speed, 0);
		const waitingTokens = facts
			.filter(({state}) => state === 'idle')
			.reduce((sum, {group}) => sum + this.#lengths.predict(kind, this.#promptOf(request, group), request.maxTokens), 0);
		const leftTokens = running.reduce((sum, {remainingTokens}) => sum + remainingTokens, waitingTokens);
		const stragglers = running.map(straggler => ({...straggler, stepLeftMs: leftTokens / capacity}));
		const startedFraction = facts.filter(({state}) => state !== 'idle').length / facts.length;
		return planCopies(stragglers, idle, startedFraction, false).map(({sample}) => Number(sample));
	}

	#describeRunning(request: StepRequest, {place, group, tokens, attempts, startedAt, endpoint}: SlotFacts, now: number): Straggler {
		const kind = formatKind(request);
		const prompt = this.#promptOf(request, group);
		this.#lengths.recordProgress(kind, prompt, tokens);
		return {
			id: String(place),
			endpoint,
			remainingTokens: this.#lengths.predictRemaining(kind, prompt, tokens, request.maxTokens),
			madeTokens: tokens,
			speed: Math.max(tokens, 1) / Math.max(1, now - startedAt),
			isDoubled: attempts > 1,
		};
	}

	#promptOf(request: StepRequest, group: number): string {
		let prompts = this.#prompts.get(request);
		if (!prompts) {
			prompts = request.groups.map(({prompt}) => hashText(prompt));
			this.#prompts.set(request, prompts);
		}

		return prompts[group]!;
	}
}

function formatKind({profileName, model}: StepRequest): string {
	return `${profileName}/${model}`;
}

function formatTrainer({trainer, model}: StepRequest): string {
	return `${trainer}/${model}`;
}
