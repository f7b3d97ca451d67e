/**
 * The parts of the store's tables among which batches and groups are divided.
 */
import {hashToNumber} from '@wasabiusher/shared';

/** Each part carries some hundred transactions a second, one after another. */
const partCount = 4;

export const batchParts: readonly string[] = Array.from({length: partCount}, (_, i) => `b${i}`);

/** The part in which all rows of a batch or group lie, so that they can change together. */
export function findPart(name: string): string {
	return batchParts[hashToNumber(name) % partCount]!;
}
