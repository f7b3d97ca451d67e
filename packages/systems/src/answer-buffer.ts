/**
 * The agent's replay buffer of one answer: what was sent and not yet acknowledged.
 *
 * It lets a replaced link go on where the old one stopped, and bounds what a slow
 * reader can make the agent hold.
 */
import type {AnswerEvent} from '@wasabiusher/link';

/**
 * Events kept unacknowledged before the engine's stream is no longer read.
 * At 32 tokens an event this is some seconds of one stream's output.
 */
const windowEvents = 64;

/** A numbered event. */
export type NumberedEvent = {sequence: number; event: AnswerEvent};

/** Events from the first unacknowledged to the last appended. */
export class AnswerBuffer {
	#events: NumberedEvent[] = [];
	#nextSequence = 0;
	#openWindow: (() => void) | undefined;

	/** Appends an event and returns it with its number. */
	append(event: AnswerEvent): NumberedEvent {
		const numbered = {sequence: this.#nextSequence, event};
		this.#nextSequence += 1;
		this.#events.push(numbered);
		return numbered;
	}

	/** All events before `next` have arrived and are dropped. */
	acknowledge(next: number): void {
		this.#events = this.#events.filter(({sequence}) => sequence >= next);
		if (this.#events.length < windowEvents) {
			this.#openWindow?.();
			this.#openWindow = undefined;
		}
	}

	/** The events from `next` on; undefined if some of them were dropped already. */
	listFrom(next: number): NumberedEvent[] | undefined {
		const first = this.#events[0]?.sequence ?? this.#nextSequence;
		return next < first ? undefined : this.#events.filter(({sequence}) => sequence >= next);
	}

	/** Resolves when there is room in the window. */
	async waitForRoom(): Promise<void> {
		if (this.#events.length < windowEvents) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#openWindow = resolve;
		});
	}

	/** Lets a waiting writer go on although nothing was acknowledged: the run was cancelled. */
	release(): void {
		this.#openWindow?.();
		this.#openWindow = undefined;
	}
}
