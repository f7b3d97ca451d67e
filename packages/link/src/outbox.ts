/**
 * Gathers messages that are sent in the same turn of the event loop into one frame.
 *
 * Load pattern: hundreds of streams make a message each per token. A write to the
 * network costs several times what encoding a message does, so without this the
 * process spends its time in system calls. Nothing waits for a timer: the frame goes
 * out as soon as the input at hand has been handled.
 */
import {Buffer} from 'node:buffer';
import {fullFrameBytes} from './codec.js';

/** The messages of one socket that wait for the end of this turn. */
export class Outbox {
	readonly #write: (frame: Uint8Array) => void;
	#messages: Uint8Array[] = [];
	#bytes = 0;
	#immediate: NodeJS.Immediate | undefined;

	/** @param write - sends one frame */
	constructor(write: (frame: Uint8Array) => void) {
		this.#write = write;
	}

	/** Bytes that wait. */
	get bytes(): number {
		return this.#bytes;
	}

	push(message: Uint8Array): void {
		this.#messages.push(message);
		this.#bytes += message.length;
		if (this.#bytes >= fullFrameBytes) {
			this.flush();
			return;
		}

		this.#immediate ??= setImmediate(() => {
			this.flush();
		});
	}

	/** Sends what waits, now. */
	flush(): void {
		const messages = this.#messages;
		this.clear();
		if (messages.length > 0) {
			this.#write(messages.length === 1 ? messages[0]! : Buffer.concat(messages));
		}
	}

	/** Drops what waits. */
	clear(): void {
		clearImmediate(this.#immediate);
		this.#immediate = undefined;
		this.#messages = [];
		this.#bytes = 0;
	}
}
