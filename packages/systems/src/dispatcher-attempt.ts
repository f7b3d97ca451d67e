/**
 * Tracks one attempt of a call at one endpoint, from its `open` message to its confirmed end.
 *
 * A cancelled attempt is `stopping`, and counts as draining at its endpoint, until the agent
 * confirms that the work has stopped.
 */
import {
	maxUnacknowledgedParts, type AnswerEvent, type Message, type MessageOf,
} from '@wasabiusher/link';
import type {Ran} from '@wasabiusher/shared';
import {toOutcome, type AttemptOutcome} from './dispatcher-outcome.js';

export type AttemptSettings = {
	request: string;
	/** Number of the attempt within its call, from 1. */
	number: number;
	/** Name of the endpoint's agent. */
	endpoint: string;
	/** Sends a message to that agent. Returns false if the agent has no link. */
	send(message: Message): boolean;
	onEvent(event: AnswerEvent): void;
	/** Called when the attempt is cancelled and waits for the confirmation of its stop. */
	onStopping(): void;
	/** Called once, at the end of the attempt. `wasStopping` is true if `onStopping` was called before. */
	onSettled(outcome: AttemptOutcome, wasStopping: boolean): void;
};

export type AttemptState = 'open' | 'stopping' | 'settled';

/** Returns the key of an attempt in the table of attempts. */
export function formatAttemptKey(request: string, number: number): string {
	return `${request} ${number}`;
}

/** Messages from an agent that concern one attempt. */
export type AttemptMessage = MessageOf<'part' | 'refused' | 'failed' | 'stopped' | 'started'>;

export class Attempt {
	readonly id: string;
	readonly number: number;
	readonly endpoint: string;
	readonly #settings: AttemptSettings;
	#state: AttemptState = 'open';
	/** Sequence number of the next expected part. */
	#next = 0;
	#acknowledged = 0;
	/** When the request was sent, on the monotonic clock. */
	#sentAt = 0;
	/** First sequence number of the last gap that was requested, so that each gap is requested once. */
	#requestedGap = -1;
	#isPaused = false;
	#wasPaused = false;
	/** Start of the run, on the monotonic clock: when the attempt was created, replaced when the agent reports that it has left the agent's queue. */
	#startedAt = performance.now();

	constructor(settings: AttemptSettings) {
		this.id = formatAttemptKey(settings.request, settings.number);
		this.number = settings.number;
		this.endpoint = settings.endpoint;
		this.#settings = settings;
	}

	get state(): AttemptState {
		return this.#state;
	}

	/** Whether an attempt that was sent and has not ended has run. */
	get ran(): Ran {
		return this.#next > 0 ? 'yes' : 'unknown';
	}

	/** Run time so far, in milliseconds, without the wait in the agent's queue. */
	get runMs(): number {
		return performance.now() - this.#startedAt;
	}

	/** Whether the caller's back-pressure has paused it, so that its run time does not reflect the endpoint's speed. */
	get wasPaused(): boolean {
		return this.#wasPaused;
	}

	/** Sends the request. If the link is down, the attempt fails as not run. */
	start(open: MessageOf<'open'>): void {
		this.#sentAt = performance.now();
		if (!this.#settings.send(open)) {
			this.#settle({
				kind: 'failed', ran: 'no', reason: 'the link to the endpoint was down', hasCrashed: false,
			});
		}
	}

	receive(message: AttemptMessage): void {
		if (this.#state === 'settled') {
			return;
		}

		if (message.kind === 'part') {
			this.#receivePart(message);
			return;
		}

		if (message.kind === 'started') {
			this.#startedAt = performance.now();
		}

		const outcome = toOutcome(message);
		if (outcome) {
			this.#settle(outcome);
		}
	}

	/** Handles a replaced link: requests the messages that were lost with the old one, and repeats a cancellation that may be among them. */
	relink(): void {
		if (this.#state === 'stopping') {
			this.#sendCancel();
		}

		this.#sendResume();
	}

	/** Cancels the work. The attempt settles when the agent confirms the stop. */
	cancel(): void {
		if (this.#state !== 'open') {
			return;
		}

		this.#state = 'stopping';
		this.#settings.onStopping();
		this.#sendCancel();
	}

	/** Fails an attempt whose agent can no longer report on it. */
	abandon(reason: string): void {
		if (this.#state !== 'settled') {
			this.#settle({
				kind: 'failed', ran: this.ran, reason, hasCrashed: false,
			});
		}
	}

	/** Withholds acknowledgements, so that the agent stops reading from the endpoint when its window is full. */
	pause(): void {
		this.#isPaused = true;
		this.#wasPaused = true;
	}

	resume(): void {
		this.#isPaused = false;
		if (this.#state === 'open' && this.#next > this.#acknowledged) {
			this.#sendAcknowledge();
		}
	}

	#receivePart({sequence, event}: MessageOf<'part'>): void {
		if (sequence > this.#next) {
			this.#requestMissingParts();
			return;
		}

		// A duplicate: the part was in flight when a resume requested it again.
		if (sequence < this.#next) {
			return;
		}

		this.#next += 1;
		const isLast = event.kind === 'finished';
		if (isLast || (!this.#isPaused && this.#next - this.#acknowledged >= maxUnacknowledgedParts)) {
			this.#sendAcknowledge();
		}

		if (this.#state === 'open') {
			this.#settings.onEvent(event);
		}

		if (isLast) {
			this.#settle({kind: 'finished'});
		}
	}

	#requestMissingParts(): void {
		if (this.#requestedGap !== this.#next) {
			this.#requestedGap = this.#next;
			this.#sendResume();
		}
	}

	#sendAcknowledge(): void {
		this.#acknowledged = this.#next;
		this.#settings.send({
			kind: 'acknowledge', request: this.#settings.request, attempt: this.number, next: this.#next,
		});
	}

	#sendResume(): void {
		// While no part has arrived, the agent needs the age of the request to prove that it never received it.
		const age = this.#next === 0 ? {sentAgoMs: performance.now() - this.#sentAt} : {};
		this.#settings.send({
			kind: 'resume', request: this.#settings.request, attempt: this.number, next: this.#next, ...age,
		});
	}

	#sendCancel(): void {
		this.#settings.send({kind: 'cancel', request: this.#settings.request, attempt: this.number});
	}

	#settle(outcome: AttemptOutcome): void {
		if (this.#state === 'settled') {
			return;
		}

		const wasStopping = this.#state === 'stopping';
		this.#state = 'settled';
		this.#settings.onSettled(outcome, wasStopping);
	}
}
