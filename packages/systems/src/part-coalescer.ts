/**
 * Coalesces the parts of one stream, so that tokens generated within a few milliseconds are sent together.
 *
 * Load pattern: hundreds of streams each generate a token every few milliseconds. Without coalescing,
 * each token costs a message, an event of the caller's stream and part of an acknowledgement.
 * The first part and all other events are sent at once, and at a low rate so is every part of an interactive stream. Parts are not merged within an event,
 * so their versions and texts stay as the engine generated them.
 */
import type {AnswerEvent} from '@wasabiusher/link';
import type {GenerationPart, PriorityClass} from '@wasabiusher/shared';

/**
 * Maximum time that a part is held for coalescing, in milliseconds. A delay of 8 ms between tokens is not visible on a
 * screen (60 frames per second); a rollout is not read by a person while it is generated.
 */
const coalescingMs: Readonly<Record<PriorityClass, number>> = {interactive: 8, rollout: 50, background: 50};

/** Number of parts per second at one agent up to which parts of interactive callers are sent immediately; costs about 2% of a core. */
const lowRatePartsPerSecond = 2000;

/** Window over which the rate is measured, in milliseconds. */
const rateWindowMs = 100;

/** Measures the number of parts per second that an agent forwards. */
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

/** Returns how long a part of a priority class may be held for coalescing at the current rate, in milliseconds. */
export function findMaxHoldMs(priorityClass: PriorityClass, rate: PartRate): number {
	return priorityClass === 'interactive' && rate.isLow ? 0 : coalescingMs[priorityClass];
}

/** Coalesces the parts of one stream on their way to its entry. */
export class PartCoalescer {
	readonly #findWindowMs: () => number;
	readonly #send: (event: AnswerEvent) => void;
	#parts: GenerationPart[] = [];
	#lastSentAt = Number.NEGATIVE_INFINITY;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param findWindowMs - returns how long a part may currently be held, in milliseconds
	 * @param send - receives each event in order
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

	/** Sends the held parts immediately. */
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
