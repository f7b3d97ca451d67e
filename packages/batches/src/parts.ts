/**
 * Divides batches and groups among parts of the store's tables.
 */
import {hashToNumber} from '@wasabiusher/shared';

/** Each part handles a few hundred transactions a second, sequentially. */
const partCount = 4;

export const batchParts: readonly string[] = Array.from({length: partCount}, (_, i) => `b${i}`);

/** Returns the part that holds all rows of a batch or group, so that one transaction can change them. */
export function findPart(name: string): string {
	return batchParts[hashToNumber(name) % partCount]!;
}
