/**
 * Reads the bodies of requests into memory that a budget bounds.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {BodySegments} from './body-segments.js';
import {HttpError} from './http-error.js';
import type {Hold, MemoryBudget} from './memory-budget.js';

/** Time after which a request that found no room should be sent again, in milliseconds; bodies of ordinary callers occupy memory for less. */
const noRoomRetryMs = 500;

/**
 * Reason for which a body is not read to its end:
 * - `evicted`: it has given way to another one
 * - `no-room`: the budget is used up by complete bodies
 * - `too-large`: it exceeds the limit
 */
export type BodyRefusal = 'evicted' | 'no-room' | 'too-large';

/** A refused body: why, what it occupied, and what all bodies occupy of their budget, in bytes. */
export type RefusedBody = {reason: BodyRefusal; client: string; bodyBytes: number; heldBytes: number; totalBytes: number};

/** Called with each refused body. */
export type RefusalListener = (refused: RefusedBody) => void;

/** The body of one request while it is read, waits or may be sent again. */
export class IncomingBody {
	readonly #request: IncomingMessage;
	readonly #budget: MemoryBudget;
	readonly #limitBytes: number;
	readonly #onRefuse: RefusalListener | undefined;
	readonly #segments: BodySegments;
	readonly #hold: Hold;
	readonly #whole: Promise<readonly Uint8Array[]>;
	#resolve: (segments: readonly Uint8Array[]) => void = ignore;
	#reject: (error: HttpError) => void = ignore;
	#isSettled = false;
	/** Memory charged for the content, and beside it, in bytes. */
	#contentBytes = 0;
	#extraBytes = 0;

	constructor(request: IncomingMessage, {budget, limitBytes, onRefuse}: {budget: MemoryBudget; limitBytes: number; onRefuse?: RefusalListener}) {
		this.#request = request;
		this.#budget = budget;
		this.#limitBytes = limitBytes;
		this.#onRefuse = onRefuse;
		const announced = request.headers['content-length'];
		const announcedBytes = announced === undefined ? undefined : Number(announced);
		this.#segments = new BodySegments(announcedBytes);
		this.#hold = budget.open(performance.now(), () => {
			this.#refuse('evicted', createNoRoom());
		});
		this.#whole = new Promise((resolve, reject) => {
			this.#resolve = resolve;
			this.#reject = reject;
		});
		// The handler may never ask for the body.
		this.#whole.catch(ignore);
		if (announcedBytes !== undefined && announcedBytes > limitBytes) {
			this.#refuse('too-large', createTooLarge(limitBytes));
			return;
		}

		request.on('data', this.#append);
		request.once('end', this.#finish);
		request.once('error', this.#cutOff);
		request.once('close', this.#cutOff);
	}

	/** Resolves to the segments of the whole body; rejects with `HttpError`. */
	async readSegments(): Promise<readonly Uint8Array[]> {
		return this.#whole;
	}

	/**
	 * Charges further memory that the request takes while its body is processed.
	 *
	 * @throws {HttpError} `no-room`
	 */
	charge(bytes: number): void {
		if (!this.#budget.charge(this.#hold, bytes, performance.now())) {
			this.#report('no-room');
			throw createNoRoom();
		}

		this.#extraBytes += bytes;
	}

	/**
	 * Charges further memory until it is `bytes` in all.
	 *
	 * @throws {HttpError} `no-room`, also if it exceeds `maxBytes`
	 */
	ensureCharged(bytes: number, maxBytes: number): void {
		if (bytes > maxBytes) {
			this.#report('no-room');
			throw createNoRoom();
		}

		if (bytes > this.#extraBytes) {
			this.charge(bytes - this.#extraBytes);
		}
	}

	/** Drops the content of a complete body that was converted; what was charged beside it stays charged. */
	dropContent(): void {
		this.#segments.clear();
		this.#budget.discharge(this.#hold, this.#contentBytes);
		this.#contentBytes = 0;
	}

	/** Returns the memory, at the end of the exchange or as soon as the body is not needed any more. */
	release(): void {
		this.#settle(new HttpError('cut-off', 'the body was released'));
		// The segments of a complete body may still be on their way to an endpoint.
		if (!this.#hold.isComplete) {
			this.#segments.clear();
		}

		this.#budget.release(this.#hold);
	}

	readonly #append = (chunk: Uint8Array): void => {
		if (this.#segments.length + chunk.length > this.#limitBytes) {
			this.#refuse('too-large', createTooLarge(this.#limitBytes));
			return;
		}

		const bytes = this.#segments.findCost(chunk);
		if (this.#budget.charge(this.#hold, bytes, performance.now())) {
			this.#segments.append(chunk);
			this.#contentBytes += bytes;
		} else if (!this.#isSettled) {
			this.#refuse('no-room', createNoRoom());
		}
	};

	readonly #finish = (): void => {
		this.#hold.isComplete = true;
		this.#settle();
	};

	readonly #cutOff = (): void => {
		if (!this.#isSettled) {
			this.#settle(new HttpError('cut-off', 'the request ended before its body was whole'));
			this.release();
		}
	};

	#refuse(reason: BodyRefusal, error: HttpError): void {
		this.#report(reason);
		this.#settle(error);
		this.release();
	}

	#report(reason: BodyRefusal): void {
		this.#onRefuse?.({
			reason, client: this.#request.socket.remoteAddress ?? '', bodyBytes: this.#segments.length, heldBytes: this.#budget.heldBytes, totalBytes: this.#budget.limits.totalBytes,
		});
	}

	/** Resolves with the body, or rejects with the error; what still arrives is dropped. */
	#settle(error?: HttpError): void {
		if (this.#isSettled) {
			return;
		}

		this.#isSettled = true;
		this.#request.off('data', this.#append);
		this.#request.off('end', this.#finish);
		if (error) {
			this.#reject(error);
			this.#request.resume();
		} else {
			this.#resolve(this.#segments.finish());
		}
	}
}

/** Reads the bodies of a server's requests. */
export class RequestBodies {
	readonly budget: MemoryBudget;
	readonly #onRefuse: RefusalListener | undefined;
	/** Bodies of open exchanges. */
	readonly #bodies = new WeakMap<IncomingMessage, IncomingBody>();

	constructor(budget: MemoryBudget, onRefuse?: RefusalListener) {
		this.budget = budget;
		this.#onRefuse = onRefuse;
	}

	/** Begins to read a body. Its memory is released when `end` is called for its request. */
	begin(request: IncomingMessage, limitBytes: number): IncomingBody {
		const body = new IncomingBody(request, {budget: this.budget, limitBytes, onRefuse: this.#onRefuse});
		this.#bodies.set(request, body);
		return body;
	}

	/** Ends an exchange. */
	end(request: IncomingMessage): void {
		this.#bodies.get(request)?.release();
	}
}

/** Whether a request with these headers has a body. */
export function hasBody({headers}: Pick<IncomingMessage, 'headers'>): boolean {
	return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

/** Sends 100 Continue if the client waits for it before it sends the body. */
export function continueIfExpected(request: IncomingMessage, response: ServerResponse): void {
	if (request.headers.expect?.toLowerCase() === '100-continue') {
		response.writeContinue();
	}
}

function ignore(): void {
	// Nothing waits for the body.
}

function createTooLarge(limitBytes: number): HttpError {
	return new HttpError('too-large', `the body exceeds ${limitBytes} bytes`);
}

function createNoRoom(): HttpError {
	return new HttpError('no-room', 'the memory for request bodies is in use', undefined, noRoomRetryMs);
}
