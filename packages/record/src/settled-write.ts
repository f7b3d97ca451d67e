/**
 * Conditional writes that are applied at most once, even if answers are lost.
 *
 * The store can apply a write and lose the answer. Each write therefore has an attempt id in
 * one of its rows, the witness. After an unknown answer the witness is read back; if it is
 * unchanged, the same conditional write is sent again. This is safe, since at most one of
 * all its copies, including one still in flight, can satisfy the condition.
 */
import {PlatformError, type ConditionalWrite, type TableService} from '@wasabiusher/backends';
import {z} from 'zod';
import {RecordError} from './errors.js';

/** A write with a required condition. */
export type GuardedWrite = ConditionalWrite & {expect: number};

/** A transaction; its first write is the witness, whose value contains the attempt id. */
export type WitnessedTransaction = {
	writes: [GuardedWrite, ...GuardedWrite[]];
	attempt: string;
};

/** Maximum number of times that one write is sent; a store that loses three answers in a row counts as unavailable. */
const maxSends = 3;

const witnessSchema = z.object({attempt: z.string()});

/** Version of the witness if it has the attempt id of this write; otherwise whether the row is unchanged or written by another. */
type Witness = number | 'unchanged' | 'other';

/**
 * Writes a transaction and resolves unknown answers.
 *
 * @returns the new version of the witness; undefined if a condition did not hold
 * @throws {RecordError} `unavailable` if nothing was written, `unknown` if it could not be found out whether it was
 */
export async function writeSettled(tables: TableService, {writes, attempt}: WitnessedTransaction): Promise<number | undefined> {
	let mayBeApplied = false;
	for (let sends = 0; sends < maxSends; sends += 1) {
		// Each send depends on the outcome of the previous one.
		// eslint-disable-next-line no-await-in-loop
		const outcome = await send(tables, writes);
		if (typeof outcome === 'number') {
			return outcome;
		}

		// A refusal proves that nothing was written only while no earlier copy may have been applied.
		if (!mayBeApplied && outcome !== 'unknown') {
			throwIfUnavailable(outcome);
			return undefined;
		}

		mayBeApplied = true;
		// eslint-disable-next-line no-await-in-loop
		const witness = await readWitness(tables, writes[0], attempt);
		if (witness !== 'unchanged') {
			return typeof witness === 'number' ? witness : undefined;
		}
	}

	throw new RecordError('unknown', `unknown after ${maxSends} sends whether ${writes[0].table}/${writes[0].key} was written`);
}

/** New version of the witness, or the reason why there is none. */
type SendOutcome = number | 'conflict' | 'unavailable' | 'unknown';

async function send(tables: TableService, writes: readonly GuardedWrite[]): Promise<SendOutcome> {
	try {
		const [version] = await tables.transact(writes);
		return version!;
	} catch (error) {
		const code = error instanceof PlatformError ? error.code : 'unknown';
		return sendOutcomes[code] ?? 'unknown';
	}
}

const sendOutcomes: Partial<Record<PlatformError['code'], 'conflict' | 'unavailable'>> = {
	conflict: 'conflict', unavailable: 'unavailable', limited: 'unavailable',
};

function throwIfUnavailable(outcome: 'conflict' | 'unavailable'): void {
	if (outcome === 'conflict') {
		return;
	}

	throw new RecordError('unavailable', 'the store is not writable at present; nothing was changed');
}

async function readWitness(tables: TableService, {table, key, expect}: GuardedWrite, attempt: string): Promise<Witness> {
	try {
		const row = await tables.read(table, key);
		if (witnessSchema.safeParse(row?.value).data?.attempt === attempt) {
			return row!.version;
		}

		return (row?.version ?? 0) === expect ? 'unchanged' : 'other';
	} catch (error) {
		throw new RecordError('unknown', `unknown whether ${table}/${key} was written: it can not be read back`, error);
	}
}
