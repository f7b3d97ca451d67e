/**
 * Requests whose bodies are large, or arrive in very small chunks, take turns.
 *
 * Load pattern: a hundred clients send bodies as fast as they can. Without turns, each of their connections is read as often as it has bytes, the
 * system enlarges the buffers of all, and other callers wait for the reads of all. Chunks of a byte are worse: the HTTP parser turns one read of a
 * connection into ten thousand chunks, which takes tens of milliseconds. So a connection is not read again before its turn has come.
 */
import {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import process from 'node:process';

/** Size up to which a body takes no turns, in bytes. */
const freeBytes = 65_536;

/** Chunks after which their mean size is judged, and the size below which a read is expensive, in bytes. */
const judgedChunks = 256;
const minMeanBytes = 64;

/** Cost of the next read of a request, and the cost of all that are read in one iteration of the event loop. */
const costs = {
	// Not known yet; the first read may be expensive.
	first: 8, large: 1, expensive: 8,
} as const;
const costPerIteration = 8;

type TurnKind = keyof typeof costs;

/** Kinds of turns, those first that come first. */
const turnOrder: readonly TurnKind[] = ['first', 'large', 'expensive'];

/** Lets requests go on. */
class Pacer {
	readonly #waiting: Readonly<Record<TurnKind, Array<() => void>>> = {first: [], large: [], expensive: []};
	#isScheduled = false;

	add(kind: TurnKind, resume: () => void): void {
		this.#waiting[kind].push(resume);
		this.#schedule();
	}

	#schedule(): void {
		if (this.#isScheduled || turnOrder.every(kind => this.#waiting[kind].length === 0)) {
			return;
		}

		this.#isScheduled = true;
		setImmediate(() => {
			this.#isScheduled = false;
			this.#resumeSome();
			this.#schedule();
		});
	}

	#resumeSome(): void {
		let cost = 0;
		for (const kind of turnOrder) {
			const waiting = this.#waiting[kind];
			while (waiting.length > 0 && cost + costs[kind] <= costPerIteration) {
				cost += costs[kind];
				waiting.shift()!();
			}
		}
	}
}

/** All servers of a process share its processor. */
const pacer = new Pacer();

/** Connections of which no further request is parsed. */
const endedSockets = new WeakSet<Socket>();

/**
 * Stops the parser of a connection that is closed for too many requests. One read can hold thousands, and each would be an object before the next is read.
 */
export function stopParsing(socket: Socket): void {
	endedSockets.add(socket);
}

/** A request that waits for its turn between the reads of its body. */
export class PacedRequest extends IncomingMessage {
	/** Whether the client asks for another protocol; set by the server. */
	#hasUpgrade = false;
	/** Bytes of the body, and of those the ones of the present turn, with their chunks. */
	#bytes = 0;
	#turnBytes = 0;
	#turnChunks = 0;
	#isWaiting = false;

	/** Waits for the first turn if more of a body in chunks is to come than what has arrived with its head. */
	begin(): void {
		process.nextTick(() => {
			if (this.headers['transfer-encoding'] !== undefined && !this.complete && !this.#isWaiting && !this.destroyed) {
				this.#wait('first');
				this.socket.pause();
			}
		});
	}

	/** The server leaves the rest of a read alone after a request for another protocol. */
	get upgrade(): boolean {
		return endedSockets.has(this.socket) || this.#readUpgrade();
	}

	set upgrade(value: boolean) {
		// The base class sets it before this class has any fields.
		if (#hasUpgrade in this) {
			this.#hasUpgrade = value;
		}
	}

	override push(chunk: unknown, encoding?: BufferEncoding): boolean {
		const wantsMore = super.push(chunk, encoding);
		// At the end of the body there is none.
		if (!(chunk instanceof Uint8Array)) {
			return wantsMore;
		}

		this.#bytes += chunk.length;
		this.#turnBytes += chunk.length;
		this.#turnChunks += 1;
		const isExpensive = this.#turnChunks >= judgedChunks && this.#turnBytes < this.#turnChunks * minMeanBytes;
		if (!this.#isWaiting && (isExpensive || this.#bytes > freeBytes)) {
			this.#wait(isExpensive ? 'expensive' : 'large');
		}

		// With false, the server stops reading the connection.
		return wantsMore && !this.#isWaiting;
	}

	override _read(size: number): void {
		if (!this.#isWaiting) {
			super._read(size);
		}
	}

	#readUpgrade(): boolean {
		return #hasUpgrade in this && this.#hasUpgrade;
	}

	#wait(kind: TurnKind): void {
		this.#isWaiting = true;
		pacer.add(kind, () => {
			this.#isWaiting = false;
			this.#turnBytes = 0;
			this.#turnChunks = 0;
			if (!this.destroyed) {
				this._read(0);
			}
		});
	}
}
