/**
 * One attempt of a call at one endpoint, from its `open` message to its proven end.
 *
 * A cancelled attempt is not over: until the agent confirms that the work has stopped
 * it is `stopping`, and counts as draining at its endpoint.
 */
import {
	acknowledgeEvery, type AnswerEvent, type Message, type MessageOf,
} from '@wasabiusher/link';
import type {Ran} from '@wasabiusher/shared';
import {toOutcome, type AttemptOutcome} from './dispatcher-outcome.js';

export type AttemptSettings = {
	request: string;
	/** Counts up from 1 within a call. */
	number: number;
	/** Name of the endpoint's agent. */
	endpoint: string;
	/** Sends to that agent; false if it has no link at present. */
	send(message: Message): boolean;
	onEvent(event: AnswerEvent): void;
	/** Called when the attempt is cancelled and its stop is awaited. */
	onStopping(): void;
	/** Called once; `wasStopping` if `onStopping` was called before. */
	onSettled(outcome: AttemptOutcome, wasStopping: boolean): void;
};

export type AttemptState = 'open' | 'stopping' | 'settled';

/** The table's key of an attempt. */
export function formatAttemptKey(request: string, number: number): string {
	return `${request} ${number}`;
}

/** Messages of an agent that concern one attempt. */
export type AttemptMessage = MessageOf<'part' | 'refused' | 'failed' | 'stopped' | 'started'>;

export class Attempt {
	readonly id: string;
	readonly number: number;
	readonly endpoint: string;
	readonly #settings: AttemptSettings;
	#state: AttemptState = 'open';
	/** Next sequence number expected. */
	#next = 0;
	#acknowledged = 0;
	/** When it was opened, on the monotonic clock. */
	#sentAt = 0;
	/** Where the last gap began, so that it is asked for once. */
	#gapAt = -1;
	#isPaused = false;
	#wasPaused = false;
	/** Since when it runs: when it was sent, until the agent tells when it has left the line there. */
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

	/** What is known of an attempt that was sent and has not ended. */
	get ran(): Ran {
		return this.#next > 0 ? 'yes' : 'unknown';
	}

	/** How long it has run so far, in milliseconds, without its wait in the agent's line. */
	get runMs(): number {
		return performance.now() - this.#startedAt;
	}

	/** Whether its caller has held it back, so that its time says nothing of the endpoint. */
	get wasPaused(): boolean {
		return this.#wasPaused;
	}

	/** Sends the request; the attempt fails as not run when the link is down. */
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

	/** The link was replaced: asks for what the old one lost, and repeats a cancellation, which may be among it. */
	relink(): void {
		if (this.#state === 'stopping') {
			this.#sendCancel();
		}

		this.#sendResume();
	}

	/** Stops the work; the attempt settles once the agent confirms that. */
	cancel(): void {
		if (this.#state !== 'open') {
			return;
		}

		this.#state = 'stopping';
		this.#settings.onStopping();
		this.#sendCancel();
	}

	/** Gives the attempt up: nothing more can be learnt of it. */
	abandon(reason: string): void {
		if (this.#state !== 'settled') {
			this.#settle({
				kind: 'failed', ran: this.ran, reason, hasCrashed: false,
			});
		}
	}

	/** Withholds acknowledgements, so that the agent stops reading when its window is full. */
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
			this.#askFromGap();
			return;
		}

		// An earlier one was sent again by a resume that crossed it.
		if (sequence < this.#next) {
			return;
		}

		this.#next += 1;
		const isLast = event.kind === 'finished';
		if (isLast || (!this.#isPaused && this.#next - this.#acknowledged >= acknowledgeEvery)) {
			this.#sendAcknowledge();
		}

		if (this.#state === 'open') {
			this.#settings.onEvent(event);
		}

		if (isLast) {
			this.#settle({kind: 'finished'});
		}
	}

	#askFromGap(): void {
		if (this.#gapAt !== this.#next) {
			this.#gapAt = this.#next;
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
		// By its age the agent can prove that the request never came, if nothing of the answer has.
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
