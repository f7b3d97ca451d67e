/**
 * Predicts the number of tokens of a sample.
 *
 * Load pattern: lengths in a step are heavy-tailed, and the few longest samples decide when it is complete. Without a prediction they start in arbitrary
 * order, the last of them near the end. Samples of one prompt have similar lengths, and a prompt is used again in later steps; the prediction uses both.
 */
import {dropOldest} from '@wasabiusher/shared';

/** Maximum number of lengths remembered per kind of work; enough for the distribution, recent enough to follow a changing policy. */
const maxLengths = 512;

/** Maximum number of remembered prompts, enough for some steps; 3.4 MB as measured. */
const maxPrompts = 20_000;

/** Weight of the mean of all prompts, in samples of the prompt. */
const priorWeight = 1;

/** Minimum weight of the newest sample of a prompt, as the policy changes. */
const minNewestWeight = 0.1;

/** Expected remaining length of a sample that is longer than all known ones, over its length so far; a Pareto tail of exponent 3 gives a half. */
const tailFactor = 0.5;

type Kind = {lengths: number[]; next: number; sum: number};

type Prompt = {
	mean: number;
	count: number;
	/** Number of tokens of the longest sample still running. */
	soFar: number;
};

/** Tracks lengths by kind of work (for example profile and model) and by prompt. */
export class LengthPrediction {
	readonly #kinds = new Map<string, Kind>();
	readonly #prompts = new Map<string, Prompt>();

	/** Records the length of a finished sample, in tokens. */
	record(kindName: string, prompt: string, tokens: number): void {
		this.#recordKind(kindName, tokens);
		const key = `${kindName}/${prompt}`;
		const {mean, count} = this.#prompts.get(key) ?? {mean: 0, count: 0};
		const weight = Math.max(minNewestWeight, 1 / (count + 1));
		// Samples that are still running report their progress again.
		this.#setPrompt(key, {mean: mean + (weight * (tokens - mean)), count: count + 1, soFar: 0});
	}

	/** Records the progress of a running sample, in tokens; other samples of its prompt are likely to be long too. */
	recordProgress(kindName: string, prompt: string, soFar: number): void {
		const key = `${kindName}/${prompt}`;
		const known = this.#prompts.get(key);
		if (!known) {
			this.#setPrompt(key, {mean: 0, count: 0, soFar});
		} else if (soFar > known.soFar) {
			known.soFar = soFar;
		}
	}

	/** Returns whether a sample of this prompt has finished. */
	hasFinishedSample(kindName: string, prompt: string): boolean {
		return (this.#prompts.get(`${kindName}/${prompt}`)?.count ?? 0) > 0;
	}

	/** Returns the expected number of tokens of a sample, at most `maxTokens`; half of that while nothing is known. */
	predict(kindName: string, prompt: string, maxTokens: number): number {
		const kind = this.#kinds.get(kindName);
		const known = this.#prompts.get(`${kindName}/${prompt}`);
		const kindMean = kind ? kind.sum / kind.lengths.length : maxTokens / 2;
		const count = known?.count ?? 0;
		const mean = ((priorWeight * kindMean) + (count * (known?.mean ?? 0))) / (priorWeight + count);
		const soFar = known?.soFar ?? 0;
		return Math.min(maxTokens, soFar > mean ? (1 + tailFactor) * soFar : mean);
	}

	/** Returns the expected number of remaining tokens of a sample that has made `soFar`: the mean excess of the known longer ones. */
	predictRemaining(kindName: string, prompt: string, soFar: number, maxTokens: number): number {
		const kind = this.#kinds.get(kindName);
		if (!kind) {
			return (maxTokens - soFar) / 2;
		}

		const scale = this.predict(kindName, prompt, maxTokens) / (kind.sum / kind.lengths.length);
		const excesses = kind.lengths.map(length => (scale * length) - soFar).filter(excess => excess > 0);
		const excess = excesses.length === 0 ? tailFactor * soFar : excesses.reduce((sum, value) => sum + value, 0) / excesses.length;
		return Math.min(maxTokens - soFar, excess);
	}

	#setPrompt(key: string, prompt: Prompt): void {
		this.#prompts.delete(key);
		this.#prompts.set(key, prompt);
		dropOldest(this.#prompts, maxPrompts);
	}

	#recordKind(name: string, tokens: number): void {
		let kind = this.#kinds.get(name);
		if (!kind) {
			kind = {lengths: [], next: 0, sum: 0};
			this.#kinds.set(name, kind);
		}

		kind.sum += tokens - (kind.lengths[kind.next] ?? 0);
		kind.lengths[kind.next] = tokens;
		kind.next = (kind.next + 1) % maxLengths;
	}
}
