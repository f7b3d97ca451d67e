/**
 * The row of a lease in the table service.
 */
import {PlatformError, type StoredRow, type TableService} from '@wasabiusher/backends';
import {z} from 'zod';
import {RecordError} from './errors.js';

export const leaseTable = 'leases';

/** Longest term that is waited out, in milliseconds; a row with a longer one is another writer's. */
const maxTermMs = 600_000;

export const leaseSchema = z.object({
	/** Name of the process that holds it; empty once it was released. */
	holder: z.string(),
	/** Differs for each start of the process, so that a restarted one is not taken for its predecessor. */
	incarnation: z.string(),
	/** Where the holder can be reached, `ip:port`; empty if nobody needs to reach it. */
	address: z.string(),
	/** Counts up by one with each change of holder; never goes back. */
	fence: z.int().positive(),
	termMs: z.number().positive().max(maxTermMs),
	/** Wall clock of the holder, in milliseconds; for people to read, never judged by. */
	expiresAt: z.number(),
	attempt: z.string(),
});

/** A lease as it is stored. */
export type Lease = z.infer<typeof leaseSchema>;

/** Who holds a lease, as last seen. */
export type LeaseOwner = Pick<Lease, 'holder' | 'address' | 'fence'>;

/**
 * Reads a lease from its row.
 *
 * A row that another writer has spoilt counts as held by nobody known for one term, after which it is taken over. Its fence is the row's
 * version: each fence has taken a version of its own, so none that was ever used is higher.
 */
export function decodeLease({value, version}: StoredRow, termMs: number): Lease {
	const parsed = leaseSchema.safeParse(value);
	return parsed.success
		? parsed.data
		: {
			holder: unknownHolder, incarnation: '', address: '', fence: Math.max(1, version), termMs, expiresAt: 0, attempt: '',
		};
}

/** Holds a lease whose row can't be read; no host can have this name. */
const unknownHolder = '?';

/** Reads who holds a lease, without trying for it; undefined if nobody does. Throws `RecordError`. */
export async function readLeaseOwner(tables: TableService, shard: string): Promise<LeaseOwner | undefined> {
	try {
		const row = await tables.read(leaseTable, shard);
		const lease = row && leaseSchema.parse(row.value);
		return lease?.holder ? lease : undefined;
	} catch (error) {
		const reason = error instanceof PlatformError ? 'can not be read' : 'is not valid';
		throw new RecordError('unavailable', `the lease of ${shard} ${reason}`, error);
	}
}
