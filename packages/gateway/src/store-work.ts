/**
 * Calls to the store in the form in which one host makes them for another, and what came of them.
 */
import {PlatformError, type RowStore} from '@wasabiusher/backends';
import type {StoreAnswer, StoreWork} from '@wasabiusher/link';
import {describeError} from '@wasabiusher/shared';

const workers: Readonly<Record<StoreWork['op'], (store: RowStore, work: StoreWork) => Promise<StoreAnswer>>> = {
	async commit(store, work) {
		return isWork(work, 'commit') ? {outcome: 'committed', ...await store.commit(work)} : mismatch;
	},
	async read(store, work) {
		return isWork(work, 'read') ? {outcome: 'page', ...await store.read(work.range)} : mismatch;
	},
	async follow(store, work) {
		return isWork(work, 'follow') ? {outcome: 'changes', ...await store.follow(work.table, work.after, work.waitMs)} : mismatch;
	},
};

/** The table pairs each kind of work with its worker, so this is never given. */
const mismatch: StoreAnswer = {outcome: 'failed', code: 'refused', reason: 'the work is not of the kind that it names'};

function isWork<Op extends StoreWork['op']>(work: StoreWork, op: Op): work is Extract<StoreWork, {op: Op}> {
	return work.op === op;
}

/** Makes a call at a store; never rejects, since a failure is an answer too. */
export async function doStoreWork(store: RowStore, work: StoreWork): Promise<StoreAnswer> {
	try {
		return await workers[work.op](store, work);
	} catch (error) {
		const code = error instanceof PlatformError && error.code !== 'fenced' ? error.code : 'unknown';
		return {outcome: 'failed', code, reason: describeError(error)};
	}
}

function isOutcome<Outcome extends StoreAnswer['outcome']>(answer: StoreAnswer, outcome: Outcome): answer is Extract<StoreAnswer, {outcome: Outcome}> {
	return answer.outcome === outcome;
}

/** The answer of the kind that the work asks for; throws the `PlatformError` that it tells otherwise. */
export function expectOutcome<Outcome extends StoreAnswer['outcome']>(answer: StoreAnswer, outcome: Outcome): Extract<StoreAnswer, {outcome: Outcome}> {
	if (isOutcome(answer, outcome)) {
		return answer;
	}

	throw isOutcome(answer, 'failed')
		? new PlatformError(answer.code, `by way of another host: ${answer.reason}`)
		: new PlatformError('unknown', `by way of another host: expected ${outcome}, got ${answer.outcome}`);
}
