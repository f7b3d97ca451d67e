import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {Route} from '@wasabiusher/shared';
import {EndpointQueue, SampleRun, type SampleOutcome} from '../src/index.js';
import {
	createBench, createRoute, createSample, type Bench,
} from './fixtures.js';

describe('SampleSearch in the wait queue of a host', () => {
	let clock: Clock;
	let bench: Bench;
	let queue: EndpointQueue;
	let route: Route | undefined;
	let stop: AbortController;
	let outcomes: Record<string, SampleOutcome['kind']>;

	beforeEach(() => {
		clock = install();
		bench = createBench(1);
		bench.endpoints[0]!.switches.eventMs = 40;
		queue = new EndpointQueue(bench.directory);
		route = createRoute({kind: 'batch'});
		stop = new AbortController();
		outcomes = {};
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Starts samples that must begin in the order of their ranks; the endpoint has four slots. */
	function start(ranks: readonly number[]): void {
		for (const rank of ranks) {
			void run(rank);
		}
	}

	async function run(rank: number): Promise<void> {
		const {directory, client, log} = bench;
		const id = `s${rank}`;
		const sample = createSample({id, queuePosition: {turn: 't', dueAt: 10_000, rank}});
		const {kind} = await new SampleRun({
			directory, client, log, queue, findRoute: () => route, chance: () => 0,
		}, sample, stop.signal).run();
		outcomes[id] = kind;
	}

	function listBegun(): string[] {
		return bench.endpoints[0]!.runs.map(({attemptId}) => attemptId);
	}

	it('begins samples in their planned order, as many as there are slots', async () => {
		start([0, 1, 2, 3, 6, 5, 4, 7]);
		await clock.tickAsync(20);
		expect([listBegun(), queue.size]).to.deep.equal([['s0', 's1', 's2', 's3'], 4]);
		await clock.tickAsync(5000);
		expect(listBegun().slice(4)).to.deep.equal(['s4', 's5', 's6', 's7']);
		expect(new Set(Object.values(outcomes))).to.deep.equal(new Set(['made']));
	});

	it('starts no more samples of a route that was removed while they waited', async () => {
		start([0, 1, 2, 3, 4, 5]);
		await clock.tickAsync(20);
		route = undefined;
		await clock.tickAsync(5000);
		expect([outcomes.s4, outcomes.s5, listBegun().length]).to.deep.equal(['failed', 'failed', 4]);
	});

	it('restarts a text at once if no endpoint has its required version any more', async () => {
		const {directory, client, log, endpoints: [endpoint]} = bench;
		directory.put({...directory.get(endpoint!.id)!, models: [{model: 'm', version: 2}]});
		endpoint!.version = 2;
		const text = {events: ['a', 'b'], versions: new Set([1])};
		void new SampleRun({
			directory, client, log, queue, findRoute: () => createRoute({kind: 'batch', isSingleVersion: true}), chance: () => 0,
		}, createSample({id: 's', isSingleVersion: true}), stop.signal, text).run();
		await clock.tickAsync(100);
		expect(listBegun()).to.deep.equal(['s']);
	});

	it('restarts a text whose version only a draining endpoint holds', async () => {
		const {directory, client, log} = bench;
		const endpoint = bench.serving.add('a1', 'i1');
		directory.put({...directory.get('i0')!, isDraining: true});
		directory.put({
			...directory.get('i0')!, id: 'i1', address: 'a1', isDraining: false, models: [{model: 'm', version: 2}],
		});
		endpoint.version = 2;
		const text = {events: ['a', 'b'], versions: new Set([1])};
		void new SampleRun({
			directory, client, log, queue, findRoute: () => createRoute({kind: 'batch', isSingleVersion: true}), chance: () => 0,
		}, createSample({id: 's', isSingleVersion: true}), stop.signal, text).run();
		await clock.tickAsync(100);
		expect(endpoint.runs.map(({resumeAfter}) => resumeAfter)).to.deep.equal([undefined]);
	});

	it('restarts a text after three seconds in which no endpoint that holds its version could be used, while another has room', async () => {
		const {directory, client, log} = bench;
		const endpoint = bench.serving.add('a1', 'i1');
		directory.put({
			...directory.get('i0')!, id: 'i1', address: 'a1', models: [{model: 'm', version: 2}],
		});
		endpoint.version = 2;
		directory.pause('i0', 60_000);
		const text = {events: ['a', 'b'], versions: new Set([1])};
		void new SampleRun({
			directory, client, log, queue, findRoute: () => createRoute({kind: 'batch', isSingleVersion: true}), chance: () => 0,
		}, createSample({id: 's', isSingleVersion: true}), stop.signal, text).run();
		await clock.tickAsync(2500);
		expect(endpoint.runs).to.deep.equal([]);
		await clock.tickAsync(1700);
		expect(endpoint.runs.map(({resumeAfter}) => resumeAfter)).to.deep.equal([undefined]);
	});

	it('retains a text while no endpoint is registered, and resumes it once its version is available again', async () => {
		const {directory, client, log, endpoints: [endpoint]} = bench;
		const registered = directory.get(endpoint!.id)!;
		directory.remove(endpoint!.id);
		await clock.tickAsync(1300);
		const text = {events: ['a', 'b'], versions: new Set([1])};
		void new SampleRun({
			directory, client, log, queue, findRoute: () => createRoute({kind: 'batch', isSingleVersion: true}), chance: () => 0,
		}, createSample({id: 's', isSingleVersion: true}), stop.signal, text).run();
		await clock.tickAsync(3000);
		directory.put(registered);
		await clock.tickAsync(100);
		expect(endpoint!.runs.map(({resumeAfter}) => resumeAfter)).to.deep.equal([2]);
	});

	it('leaves the queue when its batch stops, and holds no slot', async () => {
		start([0, 1, 2, 3, 4, 5]);
		await clock.tickAsync(20);
		stop.abort();
		await clock.tickAsync(100);
		expect([new Set(Object.values(outcomes)), queue.size, bench.directory.countOpen('i0')]).to.deep.equal([new Set(['stopped']), 0, 0]);
	});
});
