/**
 * Measures processor time and heap within the current process.
 */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Duration of a measurement, in milliseconds. A warm-up of the same duration precedes it. */
const measurementMs = 150;

/** Returns the garbage collector function, which Node.js exposes only with the V8 flag `--expose_gc`. */
function exposeCollector(): () => void {
	setFlagsFromString('--expose_gc');
	// `gc` is defined only in contexts created after the flag is set.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return runInNewContext('gc') as () => void;
}

const collectGarbage = exposeCollector();

/** Returns the time of one call, in microseconds: the minimum over several batches, because interference by other processes only adds time. */
export function measureUs(run: () => unknown): number {
	const batch = findBatchSize(run);
	let least = Number.POSITIVE_INFINITY;
	const until = performance.now() + measurementMs;
	while (performance.now() < until) {
		least = Math.min(least, timeBatch(run, batch));
	}

	return least * 1000 / batch;
}

/** Returns the time of one asynchronous call, in microseconds. `run` makes `callsPerRun` calls. */
export async function measureAsyncUs(run: () => Promise<unknown>, callsPerRun: number): Promise<number> {
	let least = Number.POSITIVE_INFINITY;
	const until = performance.now() + (2 * measurementMs);
	while (performance.now() < until) {
		const startedAt = performance.now();
		// Batches run one after the other.
		// eslint-disable-next-line no-await-in-loop
		await run();
		least = Math.min(least, performance.now() - startedAt);
	}

	return least * 1000 / callsPerRun;
}

/** Returns the number of calls that take about one millisecond. Warms up the code in the process. */
function findBatchSize(run: () => unknown): number {
	const until = performance.now() + measurementMs;
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

/** Number of heap measurements. Their median is used, because unrelated objects are freed during a measurement. */
const heapRounds = 5;

/** Returns the heap that the result of `create` keeps alive, in bytes. */
export function measureHeap(create: () => unknown): number {
	const rounds = Array.from({length: heapRounds}, () => measureHeapOnce(create));
	return rounds.toSorted((a, b) => a - b)[Math.floor(heapRounds / 2)]!;
}

function measureHeapOnce(create: () => unknown): number {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const kept = create();
	collectGarbage();
	const bytes = process.memoryUsage().heapUsed - before;
	// Referenced after the measurement, so that it is not collected earlier.
	return kept === undefined ? 0 : bytes;
}
