/**
 * Reads the stream of one run into its replay buffer, with back-pressure from the acknowledgements of its entry.
 */
import type {AnswerEvent} from '@wasabiusher/link';
import {PlatformError} from '@wasabiusher/backends';
import {streamRun, type Endpoint} from './endpoint-run.js';
import type {Execution} from './execution.js';
import type {RunObservation} from './executor-load.js';
import type {NumberedEvent} from './answer-buffer.js';
import {findMaxHoldMs, PartCoalescer, type PartRate} from './part-coalescer.js';

/** HTTP statuses by which a plain service reports overload. */
const overloadStatuses = new Set([429, 503]);

/** Measurements of a stream so far. */
export type Reading = Pick<RunObservation, 'tokens' | 'firstTokens' | 'firstAt' | 'isOverloaded'> & {isFinished: boolean};

export type RunSettings = {
	endpoint: Endpoint;
	/** Rate of parts of all runs of the endpoint. */
	rate: PartRate;
	/** Called with each event after it has been buffered. */
	send(numbered: NumberedEvent): void;
};

/**
 * Reads the stream until its terminal event.
 *
 * Rejects with the endpoint's error, or with `PlatformError` (`unknown`) if the run was stopped or the stream ended without
 * a terminal event. Rejects immediately when the run is stopped, even if the endpoint's client hangs.
 */
export async function readRun(execution: Execution, {endpoint, rate, send}: RunSettings): Promise<Reading> {
	const {open, work, runAbort, buffer} = execution;
	const reading: Reading = {
		tokens: 0, firstTokens: 0, firstAt: 0, isOverloaded: false, isFinished: false,
	};
	const gatherer = new PartCoalescer(() => findMaxHoldMs(open.class, rate), event => {
		send(buffer.append(event));
	});
	const events = streamRun(endpoint, {open, work: work!, signal: runAbort.signal})[Symbol.asyncIterator]();
	const aborted = createAbortPromise(runAbort.signal);
	try {
		while (!reading.isFinished) {
			// Events are read one at a time.
			// eslint-disable-next-line no-await-in-loop
			await Promise.race([buffer.waitForWindow(), aborted.promise]);
			// eslint-disable-next-line no-await-in-loop
			const result = await Promise.race([events.next(), aborted.promise]);
			if (result.done) {
				throw new PlatformError('unknown', 'the answer ended without its terminal event');
			}

			observeEvent(reading, result.value);
			rate.record(performance.now());
			gatherer.push(result.value);
		}
	} finally {
		aborted.dispose();
		gatherer.flush();
		if (!reading.isFinished) {
			// Not awaited, because a client that hangs may never return.
			void events.return?.().catch(() => undefined);
		}
	}

	return reading;
}

/** Creates a promise that rejects when the signal is aborted. */
function createAbortPromise(signal: AbortSignal): {promise: Promise<never>; dispose(): void} {
	let dispose: () => void = () => undefined;
	const promise = new Promise<never>((_resolve, reject) => {
		const stop = () => {
			reject(new PlatformError('unknown', `stopped while running: ${String(signal.reason)}`));
		};

		dispose = () => {
			signal.removeEventListener('abort', stop);
		};

		signal.addEventListener('abort', stop);
		if (signal.aborted) {
			stop();
		}
	});
	// Prevents an unhandled rejection if the abort comes when nothing awaits the promise.
	promise.catch(() => undefined);
	return {promise, dispose};
}

/** Updates the measurements by the kind of the event. */
const observers: {[Kind in AnswerEvent['kind']]?: (reading: Reading, event: Extract<AnswerEvent, {kind: Kind}>) => void} = {
	head(reading, {status}) {
		reading.isOverloaded = overloadStatuses.has(status);
	},
	parts(reading, {parts}) {
		const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
		if (reading.tokens === 0) {
			reading.firstTokens = tokens;
			reading.firstAt = performance.now();
		}

		reading.tokens += tokens;
	},
	finished(reading) {
		reading.isFinished = true;
	},
};

function observeEvent(reading: Reading, event: AnswerEvent): void {
	// The table pairs each kind with a function of that kind's event.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	(observers[event.kind] as ((reading: Reading, event: AnswerEvent) => void) | undefined)?.(reading, event);
}
