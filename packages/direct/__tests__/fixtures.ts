/** Test fixtures: in-memory endpoints that are registered in a directory, routes, requests and samples. */
import {createSilentLog, Random, type Route} from '@wasabiusher/shared';
import {MemoryServing, type MemoryEndpoint} from '@wasabiusher/standins';
import {
	EndpointDirectory, type CallerRequest, type CallSettings, type SampleRequest,
} from '../src/index.js';

export type Bench = CallSettings & {serving: MemoryServing; endpoints: MemoryEndpoint[]};

export function createBench(count: number, models: readonly string[] = ['m']): Bench {
	const serving = new MemoryServing();
	const directory = new EndpointDirectory(new Random(1));
	const endpoints = Array.from({length: count}, (_, i) => {
		directory.put({
			id: `i${i}`, service: 's', address: `a${i}`, dataCentre: 'd', slots: 4, isDraining: false,
			models: models.map(model => ({model, version: 1})), orderCount: 0, coldMs: 0,
		});
		return serving.add(`a${i}`, `i${i}`);
	});
	return {
		serving, endpoints, directory, client: serving, random: new Random(2), log: createSilentLog(),
	};
}

export function createRoute(changes: Partial<Route> = {}): Route {
	return {
		name: 'r', host: 'h', prefix: '/', kind: 'idempotent', isResumable: false, timeoutMs: 1000, objectiveMs: 100, priority: 0,
		targets: [{service: 's', weight: 1}], maxAttempts: 3, sampleTtlMs: 40_000, isSingleVersion: false, isOpen: false, ...changes,
	};
}

export function createRequest(deadlineMs = 1000): CallerRequest {
	return {
		method: 'POST', path: '/x', host: 'h', headers: {}, body: new Uint8Array([1]), attemptId: 'r1', deadlineAt: performance.now() + deadlineMs,
	};
}

export function createSample(changes: Partial<SampleRequest> = {}): SampleRequest {
	return {
		id: 's1', model: 'm', minWeightVersion: 1, isSingleVersion: false, group: 'g', deadlineAt: performance.now() + 40_000,
		request: {
			method: 'POST', path: '/s', host: 'h', headers: {}, body: new Uint8Array(),
		},
		...changes,
	};
}
