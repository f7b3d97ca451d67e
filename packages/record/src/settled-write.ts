/**
 * Conditional writes whose answer may be lost.
 *
 * The store can apply a write and lose the answer. Each write therefore carries an attempt id in
 * one of its rows, the witness. After an unknown answer the witness is read back; only
 * when it is unchanged is the same conditional write sent again, which is safe because of
 * all its copies, one still on its way included, at most one can meet the condition.
 */
import {PlatformError, type ConditionalWrite, type TableService} from '@wasabiusher/backends';
import {z} from 'zod';
import {RecordError} from './errors.js';

/** A write that is never blind. */
export type GuardedWrite = ConditionalWrite & {expect: number};

/** A transaction; the first write is the witness, and its value carries the attempt id. */
export type SettledWrite = {
	writes: [GuardedWrite, ...GuardedWrite[]];
	attempt: string;
};

/** Most sends of one write; a store that loses three answers in a row is treated as gone. */
const maxSends = 3;

const witnessSchema = z.object({attempt: z.string()});

/** Version at which the witness was found if it is ours, otherwise how the row differs. */
type Witness = number | 'unchanged' | 'other';

/**
 * Writes, and settles an unknown answer.
 *
 * @returns the new version of the witness; undefined when a condition did not hold
 * @throws {RecordError} `unavailable` if nothing was written, `unknown` if that could not be settled
 */
export async function writeSettled(tables: TableService, {writes, attempt}: SettledWrite): Promise<number | undefined> {
	let isDoubtful = false;
	for (let sends = 0; sends < maxSends; sends += 1) {
		// Each send depends on what the last one has left.
		// eslint-disable-next-line no-await-in-loop
		const outcome = await send(tables, writes);
		if (typeof outcome === 'number') {
			return outcome;
		}

		// A refusal is certain only while no earlier copy may have been applied.
		if (!isDoubtful && outcome !== 'unknown') {
			settleRefusal(outcome);
			return undefined;
		}

		isDoubtful = true;
		// eslint-disable-next-line no-await-in-loop
		const witness = await readWitness(tables, writes[0], attempt);
		if (witness !== 'unchanged') {
			return typeof witness === 'number' ? witness : undefined;
		}
	}

	throw new RecordError('unknown', `after ${maxSends} sends it is not known whether ${writes[0].table}/${writes[0].key} was written`);
}

/** The witness's new version, or why there is none. */
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

function settleRefusal(outcome: 'conflict' | 'unavailable'): void {
	if (outcome === 'conflict') {
		return;
	}

	throw new RecordError('unavailable', 'the store can not be written at present; nothing was changed');
}

async function readWitness(tables: TableService, {table, key, expect}: GuardedWrite, attempt: string): Promise<Witness> {
	try {
		const row = await tables.read(table, key);
		if (witnessSchema.safeParse(row?.value).data?.attempt === attempt) {
			return row!.version;
		}

		return (row?.version ?? 0) === expect ? 'unchanged' : 'other';
	} catch (error) {
		throw new RecordError('unknown', `it is not known whether ${table}/${key} was written: it can not be read back`, error);
	}
}
