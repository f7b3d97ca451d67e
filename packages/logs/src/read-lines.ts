/**
 * Reads log files line by line, so that their size does not matter.
 */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {describeError, LayerError} from '@wasabiusher/shared';
import {parseLine, type LogLine} from './line.js';

/** A file that can't be read. */
export class LogFileError extends LayerError<'unreadable'> {
	override readonly name = 'LogFileError';
}

/** What a reading has come across. */
export type ReadingCount = {lines: number; skipped: number};

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
			for await (const text of createInterface({input: createReadStream(file), crlfDelay: Number.POSITIVE_INFINITY})) {
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
		} catch (error) {
			throw new LogFileError('unreadable', `${file}: the file can not be read: ${describeError(error)}`, error);
		}
	}

	return count;
}
