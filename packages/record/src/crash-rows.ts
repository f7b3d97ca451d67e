/**
 * What one host has seen of a request that crashes endpoints, as a row of the store.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';

/** Most crashes in a row. */
const maxCrashes = 1000;

const crashRowSchema = z.object({
	/** `<endpoint>@<start>` of each crash. */
	crashes: z.array(z.string()).max(maxCrashes),
	/** Those of them of which an answer has cleared it. */
	cleared: z.array(z.string()).max(maxCrashes),
	/** When the row counts for nothing any more, on the store's clock in milliseconds. */
	untilMs: z.number(),
	/** Terms of quarantine so far. */
	terms: z.int().nonnegative(),
});

export type CrashRow = z.infer<typeof crashRowSchema>;

export function encodeCrashRow(row: CrashRow): Uint8Array {
	return Buffer.from(JSON.stringify(row));
}

/** Reads a row; throws on one of another form. */
export function decodeCrashRow(value: Uint8Array): CrashRow {
	return crashRowSchema.parse(JSON.parse(Buffer.from(value).toString()));
}
