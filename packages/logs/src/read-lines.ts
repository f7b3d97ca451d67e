/**
 * Reads log files line by line, so that memory use does not depend on their size.
 */
import {createReadStream} from 'node:fs';
import {describeError, LayerError} from '@wasabiusher/shared';
import {parseLine, type LogLine} from './line.js';

/** A file that can't be read. */
export class LogFileError extends LayerError<'unreadable'> {
	override readonly name = 'LogFileError';
}

/** Lines that were read, and those of them that could not be parsed. */
export type LineCounts = {lines: number; skipped: number};

/** Size of the chunks in which a file is read, in bytes. */
const chunkBytes = 1_048_576;

/** Yields the lines of each chunk of a stream. A line that continues in the next chunk is yielded with that chunk. */
async function * splitLines(stream: AsyncIterable<string>): AsyncIterable<string[]> {
	let incompleteLine = '';
	for await (const chunk of stream) {
		const rawLines = `${incompleteLine}${chunk}`.split('\n');
		incompleteLine = rawLines.pop()!;
		yield rawLines;
	}

	if (incompleteLine !== '') {
		yield [incompleteLine];
	}
}

function processLines(rawLines: readonly string[], count: LineCounts, processLine: (line: LogLine) => void, shouldParse: (text: string) => boolean): void {
	for (const text of rawLines) {
		count.lines += 1;
		if (!shouldParse(text)) {
			continue;
		}

		const line = parseLine(text);
		if (line) {
			processLine(line);
		} else {
			count.skipped += 1;
		}
	}
}

/**
 * Passes each line of the files to a callback, one file after the other.
 *
 * @param shouldParse - whether a line is relevant, judged by its text before it is parsed
 * @returns the number of lines read, and how many of them other programs wrote or were truncated
 * @throws {LogFileError}
 */
export async function readLines(files: readonly string[], processLine: (line: LogLine) => void, shouldParse: (text: string) => boolean = () => true): Promise<LineCounts> {
	const count = {lines: 0, skipped: 0};
	for (const file of files) {
		try {
			// The files are read one after the other, since they share one count.
			// eslint-disable-next-line no-await-in-loop
			for await (const rawLines of splitLines(createReadStream(file, {encoding: 'utf8', highWaterMark: chunkBytes}))) {
				processLines(rawLines, count, processLine, shouldParse);
			}
		} catch (error) {
			throw new LogFileError('unreadable', `${file}: the file can not be read: ${describeError(error)}`, error);
		}
	}

	return count;
}
