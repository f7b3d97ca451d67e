/**
 * Streams one run at an endpoint, and confirms that a stopped run has ended.
 */
import type {AnswerEvent, MessageOf, Work} from '@wasabiusher/link';
import {PlatformError, type Engine, type PlainService} from '@wasabiusher/backends';
import {maxChunkBytes} from './answer-buffer.js';

/** The endpoint that an agent serves. */
export type Endpoint = {kind: 'model'; engine: Engine} | {kind: 'plain'; service: PlainService};

/** The work of a run, its identity and priority, and the signal that stops it. */
export type EndpointRun = {open: Pick<MessageOf<'open'>, 'request' | 'attempt' | 'priority'>; work: Work; signal: AbortSignal};

/** Initial delay before `cancel` is repeated, in milliseconds; doubled up to the maximum. */
const firstCancelDelayMs = 100;

/** Maximum delay, in milliseconds. Kept short, because a draining run occupies a slot. */
const maxCancelDelayMs = 2000;

/**
 * Maximum time for which a plain service is assumed to continue a call whose connection was closed, in
 * milliseconds. Plain services can't confirm a stop, so the run time of their calls is the only indication.
 */
const maxPlainDrainMs = 30_000;

/** Returns the request ID of a run at the engine. */
export function formatRunId({request, attempt}: Pick<MessageOf<'open'>, 'request' | 'attempt'>): string {
	return `${request}.${attempt}`;
}

/** Streams the events of a run. Throws `PlatformError`, with code `refused` if the endpoint can't run this kind of work. */
export function streamRun(endpoint: Endpoint, {open, work, signal}: EndpointRun): AsyncIterable<AnswerEvent> {
	if (endpoint.kind === 'model' && work.kind === 'generate') {
		return streamGeneration(endpoint.engine.generate(work.request, {requestId: formatRunId(open), priority: open.priority, signal}));
	}

	if (endpoint.kind === 'plain' && work.kind === 'forward') {
		return streamForward(endpoint.service.forward(work, signal));
	}

	throw new PlatformError('refused', `a ${endpoint.kind} endpoint can not run ${work.kind}`);
}

/** A run that was stopped, for `confirmStop`. */
export type StoppedRun = {
	runId: string;
	/** Whether the endpoint had started to answer. */
	hasAnswered: boolean;
	/** Run time up to the stop, in milliseconds. */
	ranMs: number;
	/** Typical run time at this endpoint, in milliseconds. */
	typicalMs: number;
	/** Aborted when the endpoint has restarted, which ends all runs, or when the wait is abandoned. */
	restartSignal: AbortSignal;
};

/** Resolves when the endpoint no longer works on the run. */
export async function confirmStop(endpoint: Endpoint, run: StoppedRun): Promise<void> {
	await (endpoint.kind === 'model' ? confirmCancelled(endpoint.engine, run) : waitForPlainCall(run));
}

async function confirmCancelled(engine: Engine, {runId, hasAnswered, restartSignal}: StoppedRun): Promise<void> {
	let waitMs = firstCancelDelayMs;
	// If the engine has not answered, the request may still be in flight to it; then a single confirmation is not enough.
	let confirmationsLeft = hasAnswered ? 1 : 2;
	while (!restartSignal.aborted) {
		// Attempts are sequential.
		// eslint-disable-next-line no-await-in-loop
		const wasRunning = await tryCancel(engine, runId);
		confirmationsLeft -= wasRunning === undefined ? 0 : 1;
		if (wasRunning === true || confirmationsLeft === 0) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await wait(waitMs, restartSignal);
		waitMs = Math.min(maxCancelDelayMs, waitMs * 2);
	}
}

/** Returns whether the engine knew the run; undefined if it did not confirm. */
async function tryCancel(engine: Engine, runId: string): Promise<boolean | undefined> {
	try {
		return await engine.cancel(runId);
	} catch {
		return undefined;
	}
}

/** Waits until a plain call has presumably ended. A service that has started to answer has done its work; otherwise the typical run time is the only indication. */
async function waitForPlainCall({hasAnswered, ranMs, typicalMs, restartSignal}: StoppedRun): Promise<void> {
	if (!hasAnswered) {
		await wait(Math.min(maxPlainDrainMs, Math.max(0, typicalMs - ranMs)), restartSignal);
	}
}

async function wait(waitMs: number, signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			clearTimeout(timer);
			signal.removeEventListener('abort', finish);
			resolve();
		};

		const timer = setTimeout(finish, waitMs);
		signal.addEventListener('abort', finish);
	});
}

async function * streamGeneration(events: ReturnType<Engine['generate']>): AsyncIterable<AnswerEvent> {
	for await (const event of events) {
		yield event.kind === 'part' ? {kind: 'parts', parts: [event.part]} : {kind: 'finished', reason: event.reason};
	}
}

async function * streamForward(events: ReturnType<PlainService['forward']>): AsyncIterable<AnswerEvent> {
	for await (const event of events) {
		yield * event.kind === 'body' ? splitBody(event.chunk) : [event];
	}
}

function splitBody(chunk: Uint8Array): AnswerEvent[] {
	const count = Math.ceil(chunk.length / maxChunkBytes);
	return Array.from({length: count}, (_, index) => ({kind: 'body', chunk: chunk.subarray(index * maxChunkBytes, (index + 1) * maxChunkBytes)}));
}
