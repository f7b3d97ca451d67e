/**
 * Continuous batching: which generations hold a slot, and the tokens that each step makes.
 */

/** Where a generation's tokens go. */
export type Sink = {
	write(event: BatchEvent): void;
	/** Ends the stream without its terminal event. */
	cut(): void;
	/** False while the reader is behind; the generation then pauses in its slot. */
	isReady(): boolean;
};

/** Tokens made by one version; `reason` is set on the last event. */
export type BatchEvent = {text: string; tokens: number; version: number; reason?: 'stop' | 'length'};

export type Generation = {
	id: string;
	model: string;
	prompt: string;
	/** Higher goes first. */
	priority: number;
	/** Tokens that stood in the text to go on from. */
	resumed: number;
	made: number;
	total: number;
	/** Why it will end at `total`. */
	reason: 'stop' | 'length';
	/** Steps until the prompt is computed. */
	prefillSteps: number;
	pending: BatchEvent | undefined;
	sink: Sink;
};

export type BatchSettings = {
	slots: number;
	tokensPerStep: number;
	tokensPerEvent: number;
	/** Version of a model in force now; undefined when it is not held. */
	versionOf(model: string): number | undefined;
};

/** A prompt may name a length, `length=12`, at which the generation stops by itself. */
const lengthPattern = /\blength=(?<length>\d+)/v;

/** A prompt may name a tag, `tag=abc`, which stands in each token, so that a caller knows its own answer. */
const tagPattern = /\btag=(?<tag>[\w\-]+)/v;

/** Tells after how many tokens a prompt's generation ends, and why. */
export function findEnd(prompt: string, maxTokens: number): Pick<Generation, 'total' | 'reason'> {
	const length = Number(lengthPattern.exec(prompt)?.groups?.length ?? Number.POSITIVE_INFINITY);
	return length <= maxTokens ? {total: Math.max(1, length), reason: 'stop'} : {total: maxTokens, reason: 'length'};
}

/** The text of a generation's token by its place in the whole answer. */
export function formatToken(prompt: string, place: number): string {
	const tag = tagPattern.exec(prompt)?.groups?.tag;
	return tag === undefined ? `t${place} ` : `t${place}:${tag} `;
}

/** Generations by arrival; the first in order of priority hold the slots until they end. */
export class Batch {
	/** Tokens made, finished or not. */
	tokensMade = 0;
	readonly #settings: BatchSettings;
	readonly #generations = new Map<string, Generation>();
	readonly #running = new Set<Generation>();

	constructor(settings: BatchSettings) {
		this.#settings = settings;
	}

	get running(): number {
		return this.#running.size;
	}

	get size(): number {
		return this.#generations.size;
	}

	get(id: string): Generation | undefined {
		return this.#generations.get(id);
	}

	add(generation: Generation): void {
		this.#generations.set(generation.id, generation);
		this.#fill();
	}

	/** Takes a generation out; false when there is none. */
	remove(id: string): boolean {
		const generation = this.#generations.get(id);
		if (!generation) {
			return false;
		}

		this.#running.delete(generation);
		return this.#generations.delete(id);
	}

	/** Makes the next tokens of all that hold a slot. */
	step(): void {
		this.#fill();
		for (const generation of this.#running) {
			this.#advance(generation);
		}
	}

	/** Frees slots go to the most urgent, then to the first come; who holds one keeps it. */
	#fill(): void {
		const free = this.#settings.slots - this.#running.size;
		if (free === 0 || this.#running.size === this.#generations.size) {
			return;
		}

		const waiting = [...this.#generations.values()]
			.filter(generation => !this.#running.has(generation))
			.toSorted((a, b) => b.priority - a.priority);
		for (const generation of waiting.slice(0, free)) {
			this.#running.add(generation);
		}
	}

	#advance(generation: Generation): void {
		if (generation.prefillSteps > 0) {
			generation.prefillSteps -= 1;
			return;
		}

		if (!generation.sink.isReady()) {
			return;
		}

		const version = this.#settings.versionOf(generation.model) ?? 0;
		const count = Math.min(this.#settings.tokensPerStep, generation.total - generation.made);
		for (let i = 0; i < count; i += 1) {
			this.#makeToken(generation, version);
		}

		if (generation.made === generation.total) {
			this.remove(generation.id);
			this.#flush(generation, generation.reason);
		}
	}

	#makeToken(generation: Generation, version: number): void {
		if (generation.pending && generation.pending.version !== version) {
			this.#flush(generation);
		}

		generation.made += 1;
		this.tokensMade += 1;
		const pending = generation.pending ?? {text: '', tokens: 0, version};
		pending.text += formatToken(generation.prompt, generation.resumed + generation.made);
		pending.tokens += 1;
		generation.pending = pending;
		if (pending.tokens === this.#settings.tokensPerEvent && generation.made < generation.total) {
			this.#flush(generation);
		}
	}

	#flush(generation: Generation, reason?: BatchEvent['reason']): void {
		const {pending} = generation;
		generation.pending = undefined;
		if (pending) {
			generation.sink.write({...pending, reason});
		}
	}
}
