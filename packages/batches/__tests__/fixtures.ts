/** A cluster of several processes with one store and a few endpoints, under a fake clock. */
import type {Clock} from '@sinonjs/fake-timers';
import {EndpointDirectory} from '@wasabiusher/direct';
import {MemoryRowStore, MemoryServing, type RowStoreSwitches} from '@wasabiusher/standins';
import {
	createSilentLog, Random, type Deployment, type Route,
} from '@wasabiusher/shared';
import {TableFollower} from '@wasabiusher/record';
import {
	Batches, batchParts, BatchStore, batchTable, HostRegistry, hostTable, RetainedTexts, type Submission,
} from '../src/index.js';

export function createRoute(changes: Partial<Route> = {}): Route {
	return {
		name: 'steps', host: 'h', prefix: '/steps/', kind: 'batch', isResumable: true, timeoutMs: 10_000, objectiveMs: 400, priority: 0,
		targets: [{service: 's', weight: 1}], maxAttempts: 3, sampleTtlMs: 40_000, isSingleVersion: false, isOpen: false, ...changes,
	};
}

export function createDeployment(routes: Route[] = [createRoute(), createRoute({
	name: 'scores', prefix: '/scores/', kind: 'idempotent', timeoutMs: 1000, targets: [{service: 'scorer', weight: 1}],
})]): Deployment {
	return {
		version: 1, routes, services: [], limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
}

export function createSubmission(samples: number, changes: Partial<Submission> = {}): Submission {
	return {
		host: 'h', path: '/steps/x', model: 'm', leastVersion: 1, wantedGroups: samples,
		samples: Array.from({length: samples}, (_, i) => ({
			id: `s${i}`, path: '/steps/s', headers: {}, body: 'AAAA', group: `g${i}`,
		})),
		...changes,
	};
}

/** One process of the cluster. */
export type Process = {
	store: MemoryRowStore;
	batches: Batches;
	hosts: HostRegistry;
	directory: EndpointDirectory;
	/** Stops the process without a handover, as a kill does. */
	kill(): void;
};

export type Cluster = {
	root: MemoryRowStore;
	serving: MemoryServing;
	deployment: {current: Deployment; published: number};
	/** @param switches - switches of its view of the store, in effect from its start on; `settings`: of its batches */
	createProcess(host: string, switches?: Partial<RowStoreSwitches>, settings?: {maxSubmissionBytes?: number}): Process;
};

export function createCluster(endpoints = 2): Cluster {
	const root = new MemoryRowStore();
	const serving = new MemoryServing();
	const deployment = {current: createDeployment(), published: 1};
	for (let i = 0; i < endpoints; i += 1) {
		serving.add(`e${i}`, `i${i}`);
	}

	serving.add('scorer', 'sc');
	const createProcess = (host: string, switches: Partial<RowStoreSwitches> = {}, settings: {maxSubmissionBytes?: number} = {}): Process => {
		const store = root.createView();
		Object.assign(store.switches, switches);
		const log = createSilentLog();
		const random = new Random(host.codePointAt(0) ?? 0);
		const directory = new EndpointDirectory(random);
		for (let i = 0; i < endpoints; i += 1) {
			directory.put({
				id: `i${i}`, service: 's', address: `e${i}`, dataCentre: 'd', slots: 4, isDraining: false, models: [{model: 'm', version: 1}], orderCount: 0, coldMs: 0,
			});
		}

		directory.put({
			id: 'sc', service: 'scorer', address: 'scorer', dataCentre: 'd', slots: 8, isDraining: false, models: [], orderCount: 0, coldMs: 0,
		});
		const hosts = new HostRegistry({
			rows: store, host, log, hasWork: () => batches.hasWork, listWaiting: () => batches.listWaiting(),
		});
		const batches: Batches = new Batches({
			store: new BatchStore(store, store), retainedTexts: new RetainedTexts(store), hosts, host, directory, client: serving, random, log,
			findDeployment: () => deployment.current, findPublishedVersion: () => deployment.published, readStoreMs: () => performance.now(),
			...settings,
		});
		const followers = [
			new TableFollower({
				store, table: batchTable, parts: batchParts, log, apply(change) {
					batches.apply(change);
				},
			}),
			new TableFollower({
				store, table: hostTable, parts: [''], log,
				apply(change) {
					hosts.apply(change);
				},
				onContact() {
					hosts.recordContact();
				},
			}),
		];
		for (const follower of followers) {
			void follower.run();
		}

		hosts.start();
		batches.start();
		return {
			store,
			batches,
			hosts,
			directory,
			kill() {
				store.switches.isDown = true;
				hosts.stop();
				batches.stop();
				for (const follower of followers) {
					follower.stop();
				}
			},
		};
	};

	return {
		root, serving, deployment, createProcess,
	};
}

/** Maximum simulated time for one asynchronous call of a test, in milliseconds. */
const maxWorkMs = 5000;

/** Advances the fake clock until a promise is settled. */
export async function tickUntilDone<Result>(clock: Clock, work: Promise<Result>): Promise<Result> {
	const until = Date.now() + maxWorkMs;
	const state = {isDone: false};
	const watched = work.finally(() => {
		state.isDone = true;
	});
	// The caller handles the rejection.
	watched.catch(() => undefined);
	while (!state.isDone && Date.now() < until) {
		// eslint-disable-next-line no-await-in-loop
		await clock.tickAsync(10);
	}

	return watched;
}
