/**
 * Replay buffer of one answer at an agent: holds the events that are not yet acknowledged.
 *
 * It lets a replaced link resume where the old one stopped, and bounds the memory that a slow
 * reader can occupy at the agent.
 */
import {maxUnacknowledgedParts, type AnswerEvent} from '@wasabiusher/link';

/**
 * Maximum number of unacknowledged events; at this number, reading from the endpoint stops. Four times the
 * number after which an entry acknowledges, so that the acknowledgements do not delay a stream.
 */
export const windowEvents = 4 * maxUnacknowledgedParts;

/** Maximum size of a body chunk in one event, in bytes. Larger chunks are split. */
export const maxChunkBytes = 32 * 1024;

/**
 * Maximum number of unacknowledged bytes: twice the size of the largest chunks that an entry receives before it
 * acknowledges. This is 1 MiB per answer, and a body can still use 1 Gbit/s at a round trip of 4 ms.
 */
export const windowBytes = 2 * maxUnacknowledgedParts * maxChunkBytes;

/** Estimated size of an event without its content, in bytes: names, numbers and the object itself. */
const envelopeBytes = 100;

/** A numbered event. */
export type NumberedEvent = {sequence: number; event: AnswerEvent};

type BufferedEvent = NumberedEvent & {bytes: number};

/** Buffer of the events from the first unacknowledged one on. */
export class AnswerBuffer {
	readonly #events: BufferedEvent[] = [];
	#bytes = 0;
	#nextSequence = 0;
	#openWindow: (() => void) | undefined;

	/** Size of the buffered events, in bytes. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Number of events appended so far, including acknowledged ones. */
	get length(): number {
		return this.#nextSequence;
	}

	/** Whether all events have been acknowledged. */
	get isEmpty(): boolean {
		return this.#events.length === 0;
	}

	/** Appends an event and returns it with its sequence number. */
	append(event: AnswerEvent): NumberedEvent {
		const bytes = measureBytes(event);
		const numbered = {sequence: this.#nextSequence, event};
		this.#nextSequence += 1;
		this.#events.push({...numbered, bytes});
		this.#bytes += bytes;
		return numbered;
	}

	/** Drops all events before `next`, which have been received. */
	acknowledge(next: number): void {
		const count = this.#events.findIndex(({sequence}) => sequence >= next);
		const dropped = this.#events.splice(0, count === -1 ? this.#events.length : count);
		this.#bytes -= dropped.reduce((sum, {bytes}) => sum + bytes, 0);
		if (this.#isWindowOpen()) {
			this.release();
		}
	}

	/** Returns the events from `next` on; undefined if some of them were dropped already. */
	listFrom(next: number): NumberedEvent[] | undefined {
		const first = this.#events[0]?.sequence ?? this.#nextSequence;
		if (next < first) {
			return undefined;
		}

		return this.#events.filter(({sequence}) => sequence >= next).map(({sequence, event}) => ({sequence, event}));
	}

	/** Resolves when the window accepts another event. */
	async waitForWindow(): Promise<void> {
		if (this.#isWindowOpen()) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#openWindow = resolve;
		});
	}

	/** Lets a waiting writer continue without an acknowledgement, because the run was stopped or its entry is gone. */
	release(): void {
		this.#openWindow?.();
		this.#openWindow = undefined;
	}

	#isWindowOpen(): boolean {
		return this.#events.length < windowEvents && this.#bytes < windowBytes;
	}
}

/** Size of the content of each kind of event, in bytes. */
const contentBytes: {[Kind in AnswerEvent['kind']]: (event: Extract<AnswerEvent, {kind: Kind}>) => number} = {
	head: ({headers}) => Object.entries(headers).reduce((sum, [name, value]) => sum + name.length + value.length, 0),
	body: ({chunk}) => chunk.length,
	parts: ({parts}) => parts.reduce((sum, {text}) => sum + text.length + envelopeBytes, 0),
	finished: () => 0,
};

function measureBytes(event: AnswerEvent): number {
	// The table pairs each kind with a function of that kind's event.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const measureContent = contentBytes[event.kind] as (event: AnswerEvent) => number;
	return envelopeBytes + measureContent(event);
}
