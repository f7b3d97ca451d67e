/**
 * Standard output that never blocks the process.
 *
 * Node.js writes to a pipe synchronously, so a reader that stalls blocks the process. Here lines are written asynchronously; if too many are
 * buffered, further lines are dropped and counted.
 */
import sonicBoom from 'sonic-boom';

/** Maximum number of buffered bytes; several thousand lines. */
const maxBufferedBytes = 1_048_576;

/** Writes lines to a file descriptor, with a limited buffer. */
export class BoundedOutput {
	readonly #destination: InstanceType<typeof sonicBoom.SonicBoom>;
	#dropped = 0;
	#reportedDropped = 0;

	/** @param fd - file descriptor; 1 is standard output */
	constructor(fd = 1) {
		this.#destination = new sonicBoom.SonicBoom({fd, sync: false, maxLength: maxBufferedBytes});
		this.#destination.on('drop', () => {
			this.#dropped += 1;
		});
		// Without a reader the error can't be logged; it is counted as a dropped line.
		this.#destination.on('error', () => {
			this.#dropped += 1;
		});
	}

	/** Number of lines dropped since the start. */
	get dropped(): number {
		return this.#dropped;
	}

	/** Writes a line, preceded by a line with the number of lines dropped since the previous report, if there are any. */
	write(line: string): void {
		if (this.#dropped > this.#reportedDropped) {
			const dropped = this.#dropped - this.#reportedDropped;
			this.#reportedDropped = this.#dropped;
			this.#destination.write(`level=warn event=log_lines_dropped lines=${dropped}\n`);
		}

		this.#destination.write(`${line}\n`);
	}

	/** Writes the buffered lines synchronously; called at the end of the process. */
	finish(): void {
		try {
			this.#destination.flushSync();
		} catch {
			// Without a reader the lines can't be written.
		}
	}
}
