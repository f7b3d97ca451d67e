/**
 * Row format of one host's observations of a poison request, which crashes endpoints.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';

/** Limit of crashes in one row. */
const maxCrashes = 1000;

const crashRowSchema = z.object({
	/** Crashes, as `<endpoint>@<start>`. */
	crashes: z.array(z.string()).max(maxCrashes),
	/** Crashes that an answer has shown not to be caused by the request. */
	cleared: z.array(z.string()).max(maxCrashes),
	/** Expiry of the row on the store's clock, in milliseconds. */
	untilMs: z.number(),
	/** Number of quarantine terms so far. */
	terms: z.int().nonnegative(),
});

export type CrashRow = z.infer<typeof crashRowSchema>;

export function encodeCrashRow(row: CrashRow): Uint8Array {
	return Buffer.from(JSON.stringify(row));
}

/** Decodes a row; throws if it doesn't match the schema. */
export function decodeCrashRow(value: Uint8Array): CrashRow {
	return crashRowSchema.parse(JSON.parse(Buffer.from(value).toString()));
}
