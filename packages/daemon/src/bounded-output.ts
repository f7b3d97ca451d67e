/**
 * Standard output that never holds up the process.
 *
 * Node.js writes to a pipe synchronously, so a reader that stalls stops the process. Lines are written asynchronously
 * here and dropped beyond a bound, with a count.
 */
import sonicBoom from 'sonic-boom';

/** Most bytes that wait to be written; some thousand lines. */
const maxWaitingBytes = 1_048_576;

/** Lines for standard output. */
export class BoundedOutput {
	readonly #destination: InstanceType<typeof sonicBoom.SonicBoom>;
	#dropped = 0;
	#told = 0;

	/** @param fd - file descriptor; 1 is standard output */
	constructor(fd = 1) {
		this.#destination = new sonicBoom.SonicBoom({fd, sync: false, maxLength: maxWaitingBytes});
		this.#destination.on('drop', () => {
			this.#dropped += 1;
		});
		// Without a reader there is nowhere to tell of it; the count of dropped lines does.
		this.#destination.on('error', () => {
			this.#dropped += 1;
		});
	}

	/** Lines that were dropped so far. */
	get dropped(): number {
		return this.#dropped;
	}

	/** Writes a line, and before it how many were dropped since the last one. */
	write(line: string): void {
		if (this.#dropped > this.#told) {
			const dropped = this.#dropped - this.#told;
			this.#told = this.#dropped;
			this.#destination.write(`level=warn event=log_lines_dropped lines=${dropped}\n`);
		}

		this.#destination.write(`${line}\n`);
	}

	/** Writes what waits, at the end of the process. */
	finish(): void {
		try {
			this.#destination.flushSync();
		} catch {
			// The reader is gone; its lines are lost with it.
		}
	}
}
