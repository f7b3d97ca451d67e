/**
 * One run at an endpoint: its stream of events, and the proof that it has stopped.
 */
import type {AnswerEvent, MessageOf, Work} from '@wasabiusher/link';
import {PlatformError, type Engine, type PlainService} from '@wasabiusher/backends';
import {maxChunkBytes} from './answer-buffer.js';

/** The endpoint that an agent stands beside. */
export type Endpoint = {kind: 'model'; engine: Engine} | {kind: 'plain'; service: PlainService};

/** What runs, under which name and urgency, and how it is stopped. */
export type EndpointRun = {open: Pick<MessageOf<'open'>, 'request' | 'attempt' | 'priority'>; work: Work; signal: AbortSignal};

/** First wait before an unanswered `cancel` is sent again, in milliseconds; doubled up to the greatest. */
const firstCancelMs = 100;

/** Greatest wait, in milliseconds; a draining run is a slot that nobody can use. */
const maxCancelMs = 2000;

/**
 * Longest time that a plain service is thought to go on with a call whose connection was closed, in
 * milliseconds. It can not confirm; the time that its calls take is what we know.
 */
const maxPlainDrainMs = 30_000;

/** The engine's name of a run. */
export function formatRunId({request, attempt}: Pick<MessageOf<'open'>, 'request' | 'attempt'>): string {
	return `${request}.${attempt}`;
}

/** Streams a run; throws `PlatformError`, `refused` if the endpoint is of the wrong kind for the work. */
export function streamRun(endpoint: Endpoint, {open, work, signal}: EndpointRun): AsyncIterable<AnswerEvent> {
	if (endpoint.kind === 'model' && work.kind === 'generate') {
		return streamGeneration(endpoint.engine.generate(work.request, {requestId: formatRunId(open), priority: open.priority, signal}));
	}

	if (endpoint.kind === 'plain' && work.kind === 'forward') {
		return streamForward(endpoint.service.forward(work, signal));
	}

	throw new PlatformError('refused', `a ${endpoint.kind} endpoint can not run ${work.kind}`);
}

/** What `confirmStop` needs to know of a run that was told to stop. */
export type StoppedRun = {
	runId: string;
	/** Whether the endpoint had begun to answer. */
	hasAnswered: boolean;
	/** How long it ran, in milliseconds. */
	ranMs: number;
	/** How long such runs take, in milliseconds. */
	typicalMs: number;
	/** Aborted when the endpoint is known to have restarted, which ends all runs. */
	gone: AbortSignal;
};

/** Resolves when the endpoint no longer works on the run. */
export async function confirmStop(endpoint: Endpoint, run: StoppedRun): Promise<void> {
	await (endpoint.kind === 'model' ? confirmCancelled(endpoint.engine, run) : waitOutCall(run));
}

async function confirmCancelled(engine: Engine, {runId, hasAnswered, gone}: StoppedRun): Promise<void> {
	let waitMs = firstCancelMs;
	// The request may be on its way to the engine still, if that has not answered: then once is not enough.
	let confirmationsLeft = hasAnswered ? 1 : 2;
	while (!gone.aborted) {
		// Tries follow one another.
		// eslint-disable-next-line no-await-in-loop
		const wasRunning = await tryCancel(engine, runId);
		confirmationsLeft -= wasRunning === undefined ? 0 : 1;
		if (wasRunning === true || confirmationsLeft === 0) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await wait(waitMs, gone);
		waitMs = Math.min(maxCancelMs, waitMs * 2);
	}
}

/** Whether the run was there; undefined if the engine did not confirm anything. */
async function tryCancel(engine: Engine, runId: string): Promise<boolean | undefined> {
	try {
		return await engine.cancel(runId);
	} catch {
		return undefined;
	}
}

/** Once a service has answered it has done its work; until then, all that is known is how long its calls take. */
async function waitOutCall({hasAnswered, ranMs, typicalMs, gone}: StoppedRun): Promise<void> {
	if (!hasAnswered) {
		await wait(Math.min(maxPlainDrainMs, Math.max(0, typicalMs - ranMs)), gone);
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
