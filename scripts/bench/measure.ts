/**
 * Measures of processor time and heap within one process.
 */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Time that each measure is repeated for, in milliseconds, after as long a warm-up. */
const measureMs = 150;

/** The collector, which the runtime shows only when told to. */
function findCollector(): () => void {
	setFlagsFromString('--expose_gc');
	// The name exists only in contexts made after the flag was set.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return runInNewContext('gc') as () => void;
}

const collect = findCollector();

/** Time of one call in microseconds: the least of several batches, as other processes only add to it. */
export function measureUs(run: () => unknown): number {
	const batch = findBatch(run);
	let least = Number.POSITIVE_INFINITY;
	const until = performance.now() + measureMs;
	while (performance.now() < until) {
		least = Math.min(least, timeBatch(run, batch));
	}

	return least * 1000 / batch;
}

/** Time of one call in microseconds, of calls that resolve later. */
export async function measureAsyncUs(run: () => Promise<unknown>, batch: number): Promise<number> {
	let least = Number.POSITIVE_INFINITY;
	const until = performance.now() + (2 * measureMs);
	while (performance.now() < until) {
		const startedAt = performance.now();
		// Batches follow one another.
		// eslint-disable-next-line no-await-in-loop
		await run();
		least = Math.min(least, performance.now() - startedAt);
	}

	return least * 1000 / batch;
}

/** Calls in a batch of about a millisecond; warms the code up by the way. */
function findBatch(run: () => unknown): number {
	const until = performance.now() + measureMs;
	let batch = 1;
	while (performance.now() < until) {
		if (timeBatch(run, batch) < 1) {
			batch *= 2;
		}
	}

	return batch;
}

function timeBatch(run: () => unknown, batch: number): number {
	const startedAt = performance.now();
	for (let i = 0; i < batch; i += 1) {
		run();
	}

	return performance.now() - startedAt;
}

/** How often heap is measured; the median is taken, as other things are freed meanwhile. */
const heapRounds = 5;

/** Heap that what `create` returns keeps alive, in bytes. */
export function measureHeap(create: () => unknown): number {
	const rounds = Array.from({length: heapRounds}, () => measureHeapOnce(create));
	return rounds.toSorted((a, b) => a - b)[Math.floor(heapRounds / 2)]!;
}

function measureHeapOnce(create: () => unknown): number {
	collect();
	const before = process.memoryUsage().heapUsed;
	const kept = create();
	collect();
	const bytes = process.memoryUsage().heapUsed - before;
	// Used after the measurement, so that it is not collected before.
	return kept === undefined ? 0 : bytes;
}
