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

type Witness = 'ours' | 'unchanged' | 'other';

/**
 * Writes, and settles an unknown answer.
 *
 * @returns whether it was written; false when a condition did not hold
 * @throws {RecordError} `unavailable` if nothing was written, `unknown` if that could not be settled
 */
export async function writeSettled(tables: TableService, {writes, attempt}: SettledWrite): Promise<boolean> {
	let isDoubtful = false;
	for (let sends = 0; sends < maxSends; sends += 1) {
		// Each send depends on what the last one has left.
		// eslint-disable-next-line no-await-in-loop
		const outcome = await send(tables, writes);
		if (outcome === 'written') {
			return true;
		}

		// A refusal is certain only while no earlier copy may have been applied.
		if (!isDoubtful && outcome !== 'unknown') {
			return settleRefusal(outcome);
		}

		isDoubtful = true;
		// eslint-disable-next-line no-await-in-loop
		const witness = await readWitness(tables, writes[0], attempt);
		if (witness !== 'unchanged') {
			return witness === 'ours';
		}
	}

	throw new RecordError('unknown', `after ${maxSends} sends it is not known whether ${writes[0].table}/${writes[0].key} was written`);
}

type SendOutcome = 'written' | 'conflict' | 'unavailable' | 'unknown';

async function send(tables: TableService, writes: readonly GuardedWrite[]): Promise<SendOutcome> {
	try {
		await tables.transact(writes);
		return 'written';
	} catch (error) {
		const code = error instanceof PlatformError ? error.code : 'unknown';
		return sendOutcomes[code] ?? 'unknown';
	}
}

const sendOutcomes: Partial<Record<PlatformError['code'], SendOutcome>> = {
	conflict: 'conflict', unavailable: 'unavailable', limited: 'unavailable',
};

function settleRefusal(outcome: SendOutcome): false {
	if (outcome === 'conflict') {
		return false;
	}

	throw new RecordError('unavailable', 'the store can not be written at present; nothing was changed');
}

async function readWitness(tables: TableService, {table, key, expect}: GuardedWrite, attempt: string): Promise<Witness> {
	try {
		const row = await tables.read(table, key);
		if (witnessSchema.safeParse(row?.value).data?.attempt === attempt) {
			return 'ours';
		}

		return (row?.version ?? 0) === expect ? 'unchanged' : 'other';
	} catch (error) {
		throw new RecordError('unknown', `it is not known whether ${table}/${key} was written: it can not be read back`, error);
	}
}
