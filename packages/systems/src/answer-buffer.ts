/**
 * The agent's replay buffer of one answer: what was sent and not yet acknowledged.
 *
 * It lets a replaced link go on where the old one stopped, and bounds what a slow
 * reader can make the agent hold.
 */
import {acknowledgeEvery, type AnswerEvent} from '@wasabiusher/link';

/**
 * Events kept unacknowledged before the endpoint's stream is no longer read: four times
 * what an entry takes before it acknowledges, so that a stream is never held up by it.
 */
export const windowEvents = 4 * acknowledgeEvery;

/** Greatest piece of a body in one event, in bytes; larger ones are split. */
export const maxChunkBytes = 32 * 1024;

/**
 * Bytes kept likewise: twice what an entry takes before it acknowledges, if all of it are
 * the greatest pieces. That is 1 MiB an answer, and a body still fills 1 Gbit/s at a round trip of 4 ms.
 */
export const windowBytes = 2 * acknowledgeEvery * maxChunkBytes;

/** What an event weighs besides its content, in bytes: names, numbers and the object itself. */
const envelopeBytes = 100;

/** A numbered event. */
export type NumberedEvent = {sequence: number; event: AnswerEvent};

type Held = NumberedEvent & {bytes: number};

/** Events from the first unacknowledged to the last appended. */
export class AnswerBuffer {
	readonly #events: Held[] = [];
	#bytes = 0;
	#nextSequence = 0;
	#openWindow: (() => void) | undefined;

	/** Bytes held. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Events appended so far, acknowledged or not. */
	get length(): number {
		return this.#nextSequence;
	}

	/** Whether all that was appended has been acknowledged. */
	get isEmpty(): boolean {
		return this.#events.length === 0;
	}

	/** Appends an event and returns it with its number. */
	append(event: AnswerEvent): NumberedEvent {
		const bytes = weigh(event);
		const numbered = {sequence: this.#nextSequence, event};
		this.#nextSequence += 1;
		this.#events.push({...numbered, bytes});
		this.#bytes += bytes;
		return numbered;
	}

	/** All events before `next` have arrived and are dropped. */
	acknowledge(next: number): void {
		const count = this.#events.findIndex(({sequence}) => sequence >= next);
		const dropped = this.#events.splice(0, count === -1 ? this.#events.length : count);
		this.#bytes -= dropped.reduce((sum, {bytes}) => sum + bytes, 0);
		if (this.#hasRoom()) {
			this.release();
		}
	}

	/** The events from `next` on; undefined if some of them were dropped already. */
	listFrom(next: number): NumberedEvent[] | undefined {
		const first = this.#events[0]?.sequence ?? this.#nextSequence;
		if (next < first) {
			return undefined;
		}

		return this.#events.filter(({sequence}) => sequence >= next).map(({sequence, event}) => ({sequence, event}));
	}

	/** Resolves when there is room in the window. */
	async waitForRoom(): Promise<void> {
		if (this.#hasRoom()) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#openWindow = resolve;
		});
	}

	/** Lets a waiting writer go on although nothing was acknowledged: the run was stopped. */
	release(): void {
		this.#openWindow?.();
		this.#openWindow = undefined;
	}

	#hasRoom(): boolean {
		return this.#events.length < windowEvents && this.#bytes < windowBytes;
	}
}

/** Bytes of each kind of event, as far as its content goes. */
const weights: {[Kind in AnswerEvent['kind']]: (event: Extract<AnswerEvent, {kind: Kind}>) => number} = {
	head: ({headers}) => Object.entries(headers).reduce((sum, [name, value]) => sum + name.length + value.length, 0),
	body: ({chunk}) => chunk.length,
	parts: ({parts}) => parts.reduce((sum, {text}) => sum + text.length + envelopeBytes, 0),
	finished: () => 0,
};

function weigh(event: AnswerEvent): number {
	// The table pairs each kind with a function of that kind's event.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const weighContent = weights[event.kind] as (event: AnswerEvent) => number;
	return envelopeBytes + weighContent(event);
}
