/**
 * Runs an open-loop load: sends each request when it is due, whether or not earlier requests have been answered.
 */
import {Random} from '@wasabiusher/shared';
import {createArrivals, type Arrival} from './arrivals.js';
import {judgePosting, readPostings} from './ledger-check.js';
import type {Outcome} from './outcome.js';
import {Sender} from './sender.js';
import type {LoadSettings} from './settings.js';

export type LoadResult = {
	outcomes: Outcome[];
	/** Requests that fell due while the concurrency limit was reached; they are skipped. */
	notSent: number;
	elapsedMs: number;
};

/** Requests due within this time are sent at once, in milliseconds: timers are no more precise. */
const timerResolutionMs = 1;

export async function runLoad(settings: LoadSettings): Promise<LoadResult> {
	const arrivals = createArrivals(settings, new Random(settings.seed));
	const sender = new Sender(settings);
	const startedAt = performance.now();
	const {sent, notSent} = await sendAll(arrivals, sender, {concurrency: settings.concurrency, startedAt});
	const outcomes = await Promise.all(sent);
	const elapsedMs = performance.now() - startedAt;
	await sender.close();
	return {outcomes: await checkPostings(settings, outcomes), notSent, elapsedMs};
}

type Pace = {concurrency: number; startedAt: number};

async function sendAll(arrivals: readonly Arrival[], sender: Sender, {concurrency, startedAt}: Pace): Promise<{sent: Array<Promise<Outcome>>; notSent: number}> {
	const sent: Array<Promise<Outcome>> = [];
	let notSent = 0;
	for (const arrival of arrivals) {
		const dueAt = startedAt + arrival.atMs;
		const remainingMs = dueAt - performance.now();
		if (remainingMs > timerResolutionMs) {
			// Requests are sent in the order in which they are due.
			// eslint-disable-next-line no-await-in-loop
			await wait(remainingMs);
		}

		if (sender.open >= concurrency) {
			notSent += 1;
			continue;
		}

		sent.push(sender.send(arrival, dueAt));
	}

	return {sent, notSent};
}

async function wait(timeMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, timeMs);
	});
}

/** Adds the violations found by comparing the outcomes of postings with the ledgers' counts. */
async function checkPostings({kind, ledgers}: LoadSettings, outcomes: Outcome[]): Promise<Outcome[]> {
	if (kind !== 'posting' || ledgers.length === 0) {
		return outcomes;
	}

	const counts = await readPostings(ledgers);
	return outcomes.map(outcome => ({
		...outcome, violations: [...outcome.violations, ...judgePosting(outcome, counts.get(outcome.id) ?? 0)],
	}));
}
