/**
 * How many tokens a sample will take.
 *
 * Load pattern: lengths in a step are heavy-tailed, and the few longest decide when it is whole. Without
 * a prediction they start whenever their turn comes, the last of them at the end. Samples of one prompt
 * resemble each other, and a prompt comes back in later steps; both are used.
 */
import {dropOldest} from '@wasabiusher/shared';

/** Lengths of one kind of work that are remembered; enough for its distribution, recent enough to follow a policy that changes. */
const maxLengths = 512;

/** Prompts remembered; some steps' worth. 3.4 MB as measured. */
const maxPrompts = 20_000;

/** Samples of a prompt that weigh as much as what is known of all prompts. */
const priorWeight = 1;

/** Weight of the newest sample of a prompt at the least, as the policy moves. */
const minNewestWeight = 0.1;

/** What remains of a sample that is longer than all known, over its length so far; a Pareto tail of exponent 3 gives a half. */
const tailFactor = 0.5;

type Kind = {lengths: number[]; next: number; sum: number};

type Prompt = {
	mean: number;
	count: number;
	/** Tokens that the longest sample still running has made. */
	soFar: number;
};

/** Learns lengths by kind of work (a profile and model, say) and by prompt. */
export class LengthPrediction {
	readonly #kinds = new Map<string, Kind>();
	readonly #prompts = new Map<string, Prompt>();

	/** A sample was finished with so many tokens. */
	record(kindName: string, prompt: string, tokens: number): void {
		this.#recordKind(kindName, tokens);
		const key = `${kindName}/${prompt}`;
		const {mean, count} = this.#prompts.get(key) ?? {mean: 0, count: 0};
		const weight = Math.max(minNewestWeight, 1 / (count + 1));
		// Those that still run tell their progress again.
		this.#setPrompt(key, {mean: mean + (weight * (tokens - mean)), count: count + 1, soFar: 0});
	}

	/** A sample has made so many tokens and still runs; its siblings will likely be long too. */
	recordProgress(kindName: string, prompt: string, soFar: number): void {
		const key = `${kindName}/${prompt}`;
		const known = this.#prompts.get(key);
		if (!known) {
			this.#setPrompt(key, {mean: 0, count: 0, soFar});
		} else if (soFar > known.soFar) {
			known.soFar = soFar;
		}
	}

	/** Whether a sample of this prompt has finished. */
	knows(kindName: string, prompt: string): boolean {
		return (this.#prompts.get(`${kindName}/${prompt}`)?.count ?? 0) > 0;
	}

	/** Expected tokens of a sample, at most `maxTokens`; half of that while nothing is known. */
	predict(kindName: string, prompt: string, maxTokens: number): number {
		const kind = this.#kinds.get(kindName);
		const known = this.#prompts.get(`${kindName}/${prompt}`);
		const kindMean = kind ? kind.sum / kind.lengths.length : maxTokens / 2;
		const count = known?.count ?? 0;
		const mean = ((priorWeight * kindMean) + (count * (known?.mean ?? 0))) / (priorWeight + count);
		const soFar = known?.soFar ?? 0;
		return Math.min(maxTokens, soFar > mean ? (1 + tailFactor) * soFar : mean);
	}

	/** Expected tokens still to come of a sample that has made `soFar`: the mean excess of those known to be longer. */
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
