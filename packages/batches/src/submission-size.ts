/**
 * Estimates the memory of submissions.
 */
import type {Submission} from './batch.js';

/** Memory of a sample beside its texts, in bytes: its objects and the state of its generation. */
const sampleBytes = 1000;

/** Estimates the memory that a submission takes while its batch is open, in bytes. */
export function estimateBytes({samples}: Submission): number {
	return samples.reduce((sum, {id, path, body, score}) => sum + sampleBytes + id.length + path.length + body.length + (score?.body.length ?? 0), 0);
}
