/**
 * Row format of a lease in the table service.
 */
import {PlatformError, type StoredRow, type TableService} from '@wasabiusher/backends';
import {z} from 'zod';
import {RecordError} from './errors.js';

export const leaseTable = 'leases';

/** Longest valid term, in milliseconds; a row with a longer one is corrupt. */
const maxTermMs = 600_000;

export const leaseSchema = z.object({
	/** Name of the process that holds the lease; empty after a release. */
	holder: z.string(),
	/** Unique for each start of the process, so that a restarted one does not count as its predecessor. */
	incarnation: z.string(),
	/** Address of the holder, `ip:port`; empty if no other process needs to reach it. */
	address: z.string(),
	/** Fencing token; increases by one with each change of holder and never decreases. */
	fence: z.int().positive(),
	termMs: z.number().positive().max(maxTermMs),
	/** Wall clock of the holder, in milliseconds; informational only, no decision depends on it. */
	expiresAt: z.number(),
	attempt: z.string(),
});

/** A lease as it is stored. */
export type Lease = z.infer<typeof leaseSchema>;

/** Holder of a lease, as last read. */
export type LeaseOwner = Pick<Lease, 'holder' | 'address' | 'fence'>;

/**
 * Decodes a lease from its row.
 *
 * A row that another writer has corrupted counts as held by an unknown holder for one term, after which it is taken over. Its fence is the row's
 * version: each fence has used a version of its own, so no fence that was ever used is higher.
 */
export function decodeLease({value, version}: StoredRow, termMs: number): Lease {
	const parsed = leaseSchema.safeParse(value);
	return parsed.success
		? parsed.data
		: {
			holder: unknownHolder, incarnation: '', address: '', fence: Math.max(1, version), termMs, expiresAt: 0, attempt: '',
		};
}

/** Holder of a lease whose row can't be decoded; no host can have this name. */
const unknownHolder = '?';

/** Reads the holder of a lease without trying to acquire it; undefined if nobody holds it. Throws `RecordError`. */
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
