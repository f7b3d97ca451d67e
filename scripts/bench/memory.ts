/**
 * Measures the heap per endpoint, request, profile and sample.
 */
import {MemoryObjectStore, MemoryTableService} from '@wasabiusher/standins';
import {createSilentLog, Random, type Sample} from '@wasabiusher/shared';
import {Dispatcher, type Call} from '@wasabiusher/systems';
import {createSlope, type Figure} from './figure.js';
import {measureHeap} from './measure.js';
import {createConfiguration, createProfile} from './messages.js';

/** Numbers of rows, large enough that garbage which survives a collection is negligible. */
const sizes = [500, 1000, 4000] as const;

/** Tokens of a sample in flight, whose text is retained until the sample is handed over. */
const sampleTokens = 512;

function createDispatcher(endpoints: number): Dispatcher {
	const dispatcher = new Dispatcher({random: new Random(1), dataCentre: 'innsbruck-a', send: () => true});
	for (let i = 0; i < endpoints; i += 1) {
		dispatcher.attach(`agent-${i}`, 'innsbruck-a');
		dispatcher.receive(`agent-${i}`, {
			kind: 'status',
			status: {
				service: 'models',
				models: [{model: 'trail', version: 3}],
				role: 'any',
				limit: 64,
				running: 0,
				waiting: 0,
				waitingWork: 0,
				workPerSecond: 100,
				isLeaving: false,
				isHealthy: true,
				configurationVersion: 1,
				fence: 0,
			},
		});
	}

	return dispatcher;
}

/** Profile shared by all calls, as in an entry. */
const profile = {...createProfile(), deadlineMs: 600_000};

function createCall(index: number): Call {
	return {
		id: `request-${index}`,
		service: 'models',
		model: 'trail',
		work: {kind: 'generate', request: {model: 'trail', prompt: `prompt ${index}`, maxTokens: 256}},
		caller: `caller-${index % 100}`,
		profileName: 'ranger-query',
		profile,
		deadlineAt: performance.now() + 600_000,
		cost: 256,
		fingerprint: String(index),
	};
}

const silentListener = {
	onEvent: () => undefined,
	onRestart: () => true,
	onFailed: () => undefined,
};

/** Creates requests that were sent to endpoints and are not answered yet. */
function createOpenRequests(count: number): unknown {
	const dispatcher = createDispatcher(Math.ceil(count / 50));
	const runs = Array.from({length: count}, (_, index) => dispatcher.submit(createCall(index), silentListener));
	return {dispatcher, runs};
}

function createSamples(count: number): Sample[] {
	return Array.from({length: count}, (_, index) => ({
		id: `step-1/${index}/0`,
		step: 'step-1',
		group: index,
		index: 0,
		attempt: 1,
		model: 'trail',
		versions: [{version: 3, from: 0, to: sampleTokens}],
		// Built from pieces, because a generated text arrives in pieces.
		text: Array.from({length: sampleTokens}, (_token, token) => `t${token} `).join(''),
		tokens: sampleTokens,
	}));
}

/** Functions that create the measured rows, by the name of the figure. */
const factories: Readonly<Record<string, (count: number) => unknown>> = {
	'heap of an endpoint row': createDispatcher,
	'heap of a request row': createOpenRequests,
	'heap of a profile': createConfiguration,
	'heap of a sample in flight': createSamples,
};

export function measureMemory(): Figure[] {
	// Initializes lazily loaded code, so that it does not count in the first figure.
	measureHeap(() => [createDispatcher(1), createOpenRequests(1), new MemoryTableService(), new MemoryObjectStore(), createSilentLog()]);
	return Object.entries(factories).map(([name, create]) => createSlope(name, 'B', sizes.map(n => ({n, value: measureHeap(() => create(n))}))));
}
