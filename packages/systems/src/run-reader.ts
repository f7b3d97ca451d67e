/**
 * Reads one run's stream into its replay buffer, at the pace of the entry that acknowledges.
 */
import type {AnswerEvent} from '@wasabiusher/link';
import {PlatformError} from '@wasabiusher/backends';
import {streamRun, type Endpoint} from './endpoint-run.js';
import type {Execution} from './execution.js';
import type {RunObservation} from './executor-load.js';
import type {NumberedEvent} from './answer-buffer.js';
import {findGatherMs, PartGatherer, type PartRate} from './part-gatherer.js';

/** Statuses by which a plain service says that it has no capacity. */
const overloadStatuses = new Set([429, 503]);

/** What a stream has shown so far. */
export type Reading = Pick<RunObservation, 'tokens' | 'firstTokens' | 'firstAt' | 'isOverloaded'> & {isFinished: boolean};

export type RunSettings = {
	endpoint: Endpoint;
	/** Of all runs of the endpoint. */
	rate: PartRate;
	/** Takes each event as soon as it is in the buffer. */
	send(numbered: NumberedEvent): void;
};

/**
 * Resolves when the stream has ended with its terminal event; throws the endpoint's error, or
 * `PlatformError` (`unknown`) when it was stopped or ended without that event. Returns at once when it is
 * stopped, whether or not the endpoint's client does.
 */
export async function readRun(execution: Execution, {endpoint, rate, send}: RunSettings): Promise<Reading> {
	const {open, work, run, buffer} = execution;
	const reading: Reading = {
		tokens: 0, firstTokens: 0, firstAt: 0, isOverloaded: false, isFinished: false,
	};
	const gatherer = new PartGatherer(() => findGatherMs(open.class, rate), event => {
		send(buffer.append(event));
	});
	const events = streamRun(endpoint, {open, work: work!, signal: run.signal})[Symbol.asyncIterator]();
	const stopped = createStop(run.signal);
	try {
		while (!reading.isFinished) {
			// Events follow one another.
			// eslint-disable-next-line no-await-in-loop
			await Promise.race([buffer.waitForRoom(), stopped.promise]);
			// eslint-disable-next-line no-await-in-loop
			const result = await Promise.race([events.next(), stopped.promise]);
			if (result.done) {
				throw new PlatformError('unknown', 'the answer ended without its terminal event');
			}

			note(reading, result.value);
			rate.record(performance.now());
			gatherer.push(result.value);
		}
	} finally {
		stopped.dispose();
		gatherer.flush();
		if (!reading.isFinished) {
			// A client that is stuck may never return; nothing waits for it.
			void events.return?.().catch(() => undefined);
		}
	}

	return reading;
}

/** A promise that rejects when the signal is aborted. */
function createStop(signal: AbortSignal): {promise: Promise<never>; dispose(): void} {
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
	// It may be aborted when nothing waits for it any more.
	promise.catch(() => undefined);
	return {promise, dispose};
}

/** What each kind of event shows. */
const notes: {[Kind in AnswerEvent['kind']]?: (reading: Reading, event: Extract<AnswerEvent, {kind: Kind}>) => void} = {
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

function note(reading: Reading, event: AnswerEvent): void {
	// The table pairs each kind with a function of that kind's event.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	(notes[event.kind] as ((reading: Reading, event: AnswerEvent) => void) | undefined)?.(reading, event);
}
