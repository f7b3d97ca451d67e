/**
 * Executes relayed store calls and converts their outcomes to answers and errors.
 */
import {PlatformError, type RowStore} from '@wasabiusher/backends';
import type {StoreAnswer, StoreWork} from '@wasabiusher/link';
import {describeError} from '@wasabiusher/shared';

const executors: Readonly<Record<StoreWork['op'], (store: RowStore, work: StoreWork) => Promise<StoreAnswer>>> = {
	async commit(store, work) {
		return isWork(work, 'commit') ? {outcome: 'committed', ...await store.commit(work)} : mismatchAnswer;
	},
	async read(store, work) {
		return isWork(work, 'read') ? {outcome: 'page', ...await store.read(work.range)} : mismatchAnswer;
	},
	async follow(store, work) {
		return isWork(work, 'follow') ? {outcome: 'changes', ...await store.follow(work.table, work.after, work.waitMs)} : mismatchAnswer;
	},
};

/** Never returned: `executors` pairs each operation with its own function. */
const mismatchAnswer: StoreAnswer = {outcome: 'failed', code: 'refused', reason: 'the operation and the content of the relayed call do not match'};

function isWork<Op extends StoreWork['op']>(work: StoreWork, op: Op): work is Extract<StoreWork, {op: Op}> {
	return work.op === op;
}

/** Executes a relayed call at the store. Never rejects; a failure becomes a `failed` answer. */
export async function executeStoreWork(store: RowStore, work: StoreWork): Promise<StoreAnswer> {
	try {
		return await executors[work.op](store, work);
	} catch (error) {
		const code = error instanceof PlatformError && error.code !== 'fenced' ? error.code : 'unknown';
		return {outcome: 'failed', code, reason: describeError(error)};
	}
}

function isOutcome<Outcome extends StoreAnswer['outcome']>(answer: StoreAnswer, outcome: Outcome): answer is Extract<StoreAnswer, {outcome: Outcome}> {
	return answer.outcome === outcome;
}

/** Returns the answer if it has the expected outcome; throws the `PlatformError` that it reports otherwise. */
export function expectOutcome<Outcome extends StoreAnswer['outcome']>(answer: StoreAnswer, outcome: Outcome): Extract<StoreAnswer, {outcome: Outcome}> {
	if (isOutcome(answer, outcome)) {
		return answer;
	}

	throw isOutcome(answer, 'failed')
		? new PlatformError(answer.code, `call relayed through another host failed: ${answer.reason}`)
		: new PlatformError('unknown', `call relayed through another host: expected the answer ${outcome}, got ${answer.outcome}`);
}
