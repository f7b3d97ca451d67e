/**
 * Compares the outcomes reported to callers with the postings recorded by the ledgers.
 */
import {request} from 'undici';
import {z} from 'zod';
import type {Outcome, Violation} from './outcome.js';

const countsSchema = z.record(z.string(), z.number());

/** Reads how often each posting was recorded, summed over all ledgers. */
export async function readPostings(ledgers: readonly string[]): Promise<Map<string, number>> {
	const answers = await Promise.all(ledgers.map(async ledger => {
		const {body} = await request(new URL('/postings', ledger));
		return countsSchema.parse(await body.json());
	}));
	const counts = new Map<string, number>();
	for (const [key, count] of answers.flatMap(answer => Object.entries(answer))) {
		counts.set(key, (counts.get(key) ?? 0) + count);
	}

	return counts;
}

/** Number of recorded postings that each kind of outcome permits, and the violation if there are fewer. */
const permittedCounts: Readonly<Record<Outcome['kind'], {max: number; min: number; tooFew: Violation}>> = {
	answered: {min: 1, max: 1, tooFew: 'lost'},
	refused: {min: 0, max: 0, tooFew: 'lost'},
	unknown: {min: 0, max: 1, tooFew: 'lost'},
};

export function judgePosting({kind}: Pick<Outcome, 'kind'>, count: number): Violation[] {
	const {min, max, tooFew} = permittedCounts[kind];
	if (count < min) {
		return [tooFew];
	}

	if (count <= max) {
		return [];
	}

	return count > 1 ? ['doubled'] : ['untrue-refusal'];
}
