/**
 * Batches messages that are sent in the same iteration of the event loop into one frame.
 *
 * Load pattern: hundreds of streams send a message per token each. A network write costs several times as much as encoding a message, so
 * without batching the process spends its time in system calls. No timer is involved: the frame is sent as soon as the pending input has
 * been processed.
 */
import {Buffer} from 'node:buffer';
import {fullFrameBytes} from './codec.js';

/** The messages of one socket that will be sent at the end of this iteration of the event loop. */
export class Outbox {
	readonly #write: (frame: Uint8Array) => void;
	#messages: Uint8Array[] = [];
	#bytes = 0;
	#immediate: NodeJS.Immediate | undefined;

	/** @param write - writes one frame to the socket */
	constructor(write: (frame: Uint8Array) => void) {
		this.#write = write;
	}

	/** Number of bytes that are not sent yet. */
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

	/** Sends the batched messages immediately. */
	flush(): void {
		const messages = this.#messages;
		this.clear();
		if (messages.length > 0) {
			this.#write(messages.length === 1 ? messages[0]! : Buffer.concat(messages));
		}
	}

	/** Drops the batched messages. */
	clear(): void {
		clearImmediate(this.#immediate);
		this.#immediate = undefined;
		this.#messages = [];
		this.#bytes = 0;
	}
}
