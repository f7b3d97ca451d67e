/**
 * Gathers the parts of one stream, so that tokens made within a few milliseconds go out together.
 *
 * Load pattern: hundreds of streams make a token every few milliseconds each. Without this
 * each token is a message, an event of the caller's stream and a share of an acknowledgement.
 * The first part goes out at once, as do all other events, and at a low rate each part does; parts stay apart within an event,
 * so their versions and texts are what the engine made.
 */
import type {AnswerEvent} from '@wasabiusher/link';
import type {GenerationPart, PriorityClass} from '@wasabiusher/shared';

/**
 * How long a part may wait for others, in milliseconds. Nobody sees 8 ms between tokens on a
 * screen (60 pictures a second); nobody at all reads a rollout while it is made.
 */
const coalescingMs: Readonly<Record<PriorityClass, number>> = {interactive: 8, rollout: 50, background: 50};

/** Parts a second at one agent up to which those of interactive callers go out as they come: some 2% of a core. */
const lowRatePartsPerSecond = 2000;

/** Time over which the rate is measured, in milliseconds. */
const rateWindowMs = 100;

/** How many parts an agent passes on in a second. */
export class PartRate {
	#windowStart = 0;
	#count = 0;
	#perSecond = 0;

	get isLow(): boolean {
		return this.#perSecond <= lowRatePartsPerSecond;
	}

	record(now: number): void {
		this.#count += 1;
		const elapsedMs = now - this.#windowStart;
		if (elapsedMs >= rateWindowMs) {
			this.#perSecond = this.#count * 1000 / elapsedMs;
			this.#count = 0;
			this.#windowStart = now;
		}
	}
}

/** How long a part of a class may wait for others at this rate, in milliseconds. */
export function findGatherMs(name: PriorityClass, rate: PartRate): number {
	return name === 'interactive' && rate.isLow ? 0 : coalescingMs[name];
}

/** Parts of one stream on their way to its entry. */
export class PartGatherer {
	readonly #findWindowMs: () => number;
	readonly #send: (event: AnswerEvent) => void;
	#parts: GenerationPart[] = [];
	#lastSentAt = Number.NEGATIVE_INFINITY;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param findWindowMs - longest wait of a part at present, in milliseconds
	 * @param send - takes each event in order
	 */
	constructor(findWindowMs: () => number, send: (event: AnswerEvent) => void) {
		this.#findWindowMs = findWindowMs;
		this.#send = send;
	}

	push(event: AnswerEvent): void {
		if (event.kind !== 'parts') {
			this.flush();
			this.#send(event);
			return;
		}

		this.#parts.push(...event.parts);
		const waitMs = this.#lastSentAt + this.#findWindowMs() - performance.now();
		if (waitMs <= 0) {
			this.flush();
			return;
		}

		this.#timer ??= setTimeout(() => {
			this.flush();
		}, waitMs);
	}

	/** Sends what was gathered, now. */
	flush(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		if (this.#parts.length > 0) {
			const parts = this.#parts;
			this.#parts = [];
			this.#lastSentAt = performance.now();
			this.#send({kind: 'parts', parts});
		}
	}
}
