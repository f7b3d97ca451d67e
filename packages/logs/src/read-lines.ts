/**
 * Reads log files line by line, so that their size does not matter.
 */
import {createReadStream} from 'node:fs';
import {describeError, LayerError} from '@wasabiusher/shared';
import {parseLine, type LogLine} from './line.js';

/** A file that can't be read. */
export class LogFileError extends LayerError<'unreadable'> {
	override readonly name = 'LogFileError';
}

/** What a reading has come across. */
export type ReadingCount = {lines: number; skipped: number};

/** Part of a file that is read at once, in bytes. */
const chunkBytes = 1_048_576;

/** The lines of each part of a stream; a line that goes on in the next part comes with that one. */
async function * splitLines(stream: AsyncIterable<string>): AsyncIterable<string[]> {
	let rest = '';
	for await (const chunk of stream) {
		const texts = `${rest}${chunk}`.split('\n');
		rest = texts.pop()!;
		yield texts;
	}

	if (rest !== '') {
		yield [rest];
	}
}

function takeLines(texts: readonly string[], count: ReadingCount, take: (line: LogLine) => void, filter: (text: string) => boolean): void {
	for (const text of texts) {
		count.lines += 1;
		if (!filter(text)) {
			continue;
		}

		const line = parseLine(text);
		if (line) {
			take(line);
		} else {
			count.skipped += 1;
		}
	}
}

/**
 * Hands on each line of the files, one file after the other.
 *
 * @param filter - whether a line may matter, judged by its text before it is taken apart
 * @returns how many lines there were, and how many of them were none of ours or were cut
 * @throws {LogFileError}
 */
export async function readLines(files: readonly string[], take: (line: LogLine) => void, filter: (text: string) => boolean = () => true): Promise<ReadingCount> {
	const count = {lines: 0, skipped: 0};
	for (const file of files) {
		try {
			// One file after the other, since their lines are counted together.
			// eslint-disable-next-line no-await-in-loop
			for await (const texts of splitLines(createReadStream(file, {encoding: 'utf8', highWaterMark: chunkBytes}))) {
				takeLines(texts, count, take, filter);
			}
		} catch (error) {
			throw new LogFileError('unreadable', `${file}: the file can not be read: ${describeError(error)}`, error);
		}
	}

	return count;
}
